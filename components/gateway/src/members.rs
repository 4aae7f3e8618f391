//! Tracks the gateways of the deployment, as reported by sidecars.
//!
//! Every gateway subscribes to a part of the sidecars, so the sidecars know which gateways are
//! alive: each sidecar knows a part of them if there are many. A gateway regularly asks some
//! sidecars and merges their answers. Its share of a resource that all gateways use follows from
//! their number and from how certain that number is.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use fleet::Millis;
use serde::{Deserialize, Serialize};

/// How long a gateway is remembered after the window in which its usage still counts, in
/// milliseconds: the time after which a gateway that receives no reports gives up its share, plus
/// the propagation delay of its messages.
const MEMORY_MARGIN_MS: u64 = 6000;
/// Time without a report from sidecars after which a gateway is unsure, in milliseconds: four
/// unanswered queries.
const UNSURE_AFTER_MS: u64 = 4000;
/// How long it takes until all other gateways know of a new one, in milliseconds: each asks one
/// sidecar per second, and some answers are lost.
const PROPAGATION_MS: u64 = 5000;
/// How long a gateway counts among those that may be responsible, in milliseconds. Twice the time
/// after which the gateway itself knows that it is not.
const RESPONSIBLE_MEMORY_MS: u64 = 8000;
/// The part of a shared resource that is divided among gateways that are sure of each other.
const SURE_SHARE: f64 = 0.8;
/// Maximum number of simultaneously unsure gateways, if there are not more sidecars than that; they
/// share the rest of the resource.
const MAX_UNSURE: usize = 64;
/// Upper bound on the ratio of existing to known gateways when each sidecar knows only a part of
/// them.
const UNKNOWN_GATEWAYS_FACTOR: f64 = 1.1;
/// Maximum number of gateways of a deployment that never had a sidecar: their real number is
/// unknown.
const MAX_WITHOUT_SIDECARS: usize = 10;
/// The part of the sidecars that a gateway must receive reports from to be responsible for
/// anything. Of two partitions that are cut off from each other at most one has it.
const MIN_COVERAGE: f64 = 0.5;
/// Length of the time buckets in which the lowest reach is recorded, in milliseconds.
const COVERAGE_BUCKET_MS: u64 = 1000;
/// Interval between checks of the reach, in milliseconds: a report counts for two seconds.
const COVERAGE_CHECK_INTERVAL_MS: u64 = 200;
/// Maximum number of gateways in one answer: each takes at most ten bytes, and a datagram holds
/// 1,400.
const MAX_GATEWAYS_PER_MESSAGE: usize = 128;
/// Unit in which ages are sent, in milliseconds.
const AGE_UNIT_MS: u64 = 100;

/// A gateway that a sidecar received a message from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownGateway {
    /// Source address of its datagrams.
    pub address: SocketAddr,
    /// Age of the last datagram, in tenths of a second.
    pub tenths: u16,
}

/// The gateways that a sidecar received messages from recently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayList {
    /// Address of the gateway that asked.
    pub asker: SocketAddr,
    /// The gateways, including the one that asked.
    pub gateways: Vec<KnownGateway>,
}

/// The gateways that a sidecar remembers.
#[derive(Clone, Debug)]
pub struct KnownGateways {
    memory_ms: u64,
    last_received: BTreeMap<SocketAddr, Millis>,
}

impl KnownGateways {
    /// Creates an empty record that remembers gateways for as long as their usage counts in a
    /// window of this length, in milliseconds.
    pub fn new(window_ms: u64) -> Self {
        Self { memory_ms: window_ms + MEMORY_MARGIN_MS, last_received: BTreeMap::new() }
    }

    /// Changes the length of the window, in milliseconds.
    pub fn set_window(&mut self, window_ms: u64) {
        self.memory_ms = window_ms + MEMORY_MARGIN_MS;
    }

    /// Records that a message from a gateway was received.
    pub fn note(&mut self, now: Millis, gateway: SocketAddr) {
        self.last_received.insert(gateway, now);
        let memory = self.memory_ms;
        self.last_received.retain(|_, at| now.since(*at).0 <= memory);
    }

    /// The number of remembered gateways.
    pub fn count(&self, now: Millis) -> usize {
        self.last_received.values().filter(|at| now.since(**at).0 <= self.memory_ms).count()
    }

    /// The answer to a gateway that asks. If there are too many gateways for one answer, each
    /// answer holds a different selection, which depends on the time.
    pub fn list(&self, now: Millis, asker: SocketAddr) -> GatewayList {
        let mut gateways: Vec<KnownGateway> = self
            .last_received
            .iter()
            .map(|(address, at)| known_gateway(now, *address, *at))
            .collect();
        if gateways.len() > MAX_GATEWAYS_PER_MESSAGE {
            let draw = now.0.to_string();
            gateways.sort_by_key(|it| (it.address != asker, weight(&draw, it.address)));
            gateways.truncate(MAX_GATEWAYS_PER_MESSAGE);
        }
        GatewayList { asker, gateways }
    }
}

fn known_gateway(now: Millis, address: SocketAddr, at: Millis) -> KnownGateway {
    let tenths = (now.since(at).0 / AGE_UNIT_MS).min(u64::from(u16::MAX)) as u16;
    KnownGateway { address, tenths }
}

/// How certain a gateway is about the other gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    /// No sidecar has reported the other gateways recently.
    Unsure,
    /// It receives reports, but some of the others may not know it yet, or its share may already
    /// have been used.
    New,
    /// It knows the others and they know it.
    Sure,
}

impl Certainty {
    /// The name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unsure => "unsure",
            Self::New => "new",
            Self::Sure => "sure",
        }
    }
}

/// The gateways that a gateway knows, including itself.
#[derive(Clone, Debug)]
pub struct GatewayMembers {
    window_ms: u64,
    own_address: Option<SocketAddr>,
    last_received: BTreeMap<SocketAddr, Millis>,
    reported_at: Option<Millis>,
    /// Start of the current uninterrupted period of reports.
    since: Millis,
    /// When the window was last made longer. Usage that a shorter window had dropped counts again.
    window_since: Millis,
    /// The lowest part of the sidecars that reported in each time bucket, oldest first.
    coverage: VecDeque<(Millis, f64)>,
    coverage_checked_at: Millis,
    /// The highest number of sidecars that were listed at once.
    sidecars: usize,
    /// Whether each sidecar knows only a part of the gateways.
    is_partial: bool,
    /// Whether any sidecar was ever listed.
    has_sidecars: bool,
}

impl GatewayMembers {
    /// Creates a record with no known gateways. Usage of gateways counts for `window_ms`
    /// milliseconds.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            own_address: None,
            last_received: BTreeMap::new(),
            reported_at: None,
            since: Millis(0),
            window_since: Millis(0),
            coverage: VecDeque::new(),
            coverage_checked_at: Millis(0),
            sidecars: 0,
            is_partial: false,
            has_sidecars: false,
        }
    }

    /// Changes the length of the window, in milliseconds.
    pub fn set_window(&mut self, now: Millis, window_ms: u64) {
        if window_ms > self.window_ms {
            self.window_since = now;
        }
        self.window_ms = window_ms;
    }

    /// Whether a check of which sidecars report is due.
    pub fn is_coverage_check_due(&self, now: Millis) -> bool {
        now.since(self.coverage_checked_at).0 >= COVERAGE_CHECK_INTERVAL_MS
    }

    /// Records how many sidecars are listed, and how many of them this gateway follows.
    pub fn note_sidecars(&mut self, listed: usize, followed: usize) {
        self.has_sidecars |= listed > 0;
        self.sidecars = self.sidecars.max(listed);
        self.is_partial = followed < listed;
    }

    /// Records which part of the followed sidecars reports. `None` if none is followed.
    pub fn note_coverage(&mut self, now: Millis, coverage: Option<f64>) {
        self.coverage_checked_at = now;
        self.has_sidecars |= coverage.is_some();
        let coverage = coverage.unwrap_or(0.0);
        match self.coverage.back_mut().filter(|it| now.since(it.0).0 < COVERAGE_BUCKET_MS) {
            Some((_, lowest)) => *lowest = lowest.min(coverage),
            None => self.coverage.push_back((now, coverage)),
        }
        let span = self.window_ms + PROPAGATION_MS + COVERAGE_BUCKET_MS;
        while self.coverage.front().is_some_and(|it| now.since(it.0).0 > span) {
            self.coverage.pop_front();
        }
    }

    /// Merges the list that a sidecar sent.
    pub fn merge(&mut self, now: Millis, list: GatewayList) {
        if !self.receives_reports(now) {
            self.since = now;
        }
        self.reported_at = Some(now);
        self.own_address = Some(list.asker);
        for KnownGateway { address, tenths } in list.gateways {
            let at = now.minus(u64::from(tenths) * AGE_UNIT_MS);
            let known = self.last_received.entry(address).or_insert(at);
            *known = (*known).max(at);
        }
        let memory = self.window_ms + MEMORY_MARGIN_MS;
        self.last_received.retain(|_, at| now.since(*at).0 <= memory);
    }

    /// The number of known gateways, at least this one.
    pub fn count(&self, now: Millis) -> usize {
        self.known_within(now, self.window_ms + MEMORY_MARGIN_MS).count().max(1)
    }

    /// Whether each sidecar knows only a part of the gateways.
    pub fn is_partial(&self) -> bool {
        self.is_partial
    }

    /// How certain the number of gateways is.
    pub fn certainty(&self, now: Millis) -> Certainty {
        if !self.receives_reports(now) {
            Certainty::Unsure
        } else if now.since(self.since.max(self.window_since)).0 < self.window_ms + PROPAGATION_MS {
            Certainty::New
        } else {
            Certainty::Sure
        }
    }

    /// The share that this gateway may use of what all gateways together may use in a window.
    pub fn share(&self, now: Millis) -> f64 {
        match self.certainty(now) {
            Certainty::Sure => {
                // Usage of gateways that were unreachable counts for one more window.
                let coverage = self.lowest_coverage(now, self.window_ms + PROPAGATION_MS);
                let margin = if self.is_partial { UNKNOWN_GATEWAYS_FACTOR } else { 1.0 };
                SURE_SHARE * coverage / (self.count(now) as f64 * margin)
            }
            Certainty::Unsure if !self.has_sidecars => 1.0 / MAX_WITHOUT_SIDECARS as f64,
            Certainty::Unsure | Certainty::New => {
                (1.0 - SURE_SHARE) / self.sidecars.max(MAX_UNSURE) as f64
            }
        }
    }

    /// The number of gateways, `most` at most, that share the responsibility for `resource` with
    /// this one. `None` if this gateway is not responsible.
    pub fn responsible_count(&self, now: Millis, resource: &str, most: usize) -> Option<usize> {
        let own_address = self.own_address?;
        let is_known = self.receives_reports(now) && now.since(self.since).0 >= PROPAGATION_MS;
        if !is_known || self.lowest_coverage(now, PROPAGATION_MS) <= MIN_COVERAGE {
            return None;
        }
        let own_weight = weight(resource, own_address);
        let others = self.known_within(now, RESPONSIBLE_MEMORY_MS).filter(|it| *it != own_address);
        let weights: Vec<u64> = others.map(|it| weight(resource, it)).collect();
        let higher = weights.iter().filter(|it| **it > own_weight).count();
        (higher < most).then_some((weights.len() + 1).min(most))
    }

    /// The number of gateways, `most` at most, that share a resource. `None` if this gateway has no
    /// share. If there never was a sidecar, responsibility cannot be determined, and the maximum
    /// number of such gateways share it.
    pub fn sharing_gateways(&self, now: Millis, resource: &str, most: usize) -> Option<usize> {
        if !self.has_sidecars {
            return Some(MAX_WITHOUT_SIDECARS);
        }
        self.responsible_count(now, resource, most)
    }

    /// The lowest part of the sidecars that reported in a time span that ends now.
    fn lowest_coverage(&self, now: Millis, span: u64) -> f64 {
        let buckets =
            self.coverage.iter().filter(|it| now.since(it.0).0 <= span + COVERAGE_BUCKET_MS);
        buckets
            .map(|it| it.1)
            .fold(None, |low: Option<f64>, it| Some(low.map_or(it, |low| low.min(it))))
            .unwrap_or(0.0)
    }

    fn receives_reports(&self, now: Millis) -> bool {
        self.reported_at.is_some_and(|at| now.since(at).0 <= UNSURE_AFTER_MS)
    }

    fn known_within(&self, now: Millis, span: u64) -> impl Iterator<Item = SocketAddr> + '_ {
        let last_received =
            self.last_received.iter().filter(move |(_, at)| now.since(**at).0 <= span);
        last_received.map(|(address, _)| *address)
    }
}

/// The rendezvous hash weight of an address for `resource`, the same in every process: FNV-1a, with
/// a final mix of the bits for addresses that differ only in the last byte.
pub(crate) fn weight(resource: &str, address: SocketAddr) -> u64 {
    let text = format!("{resource} {address}");
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
