//! Which gateways there are, as sidecars tell.
//!
//! Every gateway subscribes at a part of the sidecars, so sidecars know who lives: each one a part of the gateways, where
//! these are many. A gateway asks some of them now and then and unites what it hears. What it may do alone of a thing that
//! all gateways share follows from how many there are and how sure that is.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use fleet::Millis;
use serde::{Deserialize, Serialize};

/// How long a gateway is remembered beyond the window in which what it used still counts, in milliseconds: the time
/// after which one that is told nothing gives its part up, and what word of it takes to get round.
const MEMORY_MARGIN: u64 = 6000;
/// How long without a word from sidecars a gateway is unsure, in milliseconds: four questions without an answer.
const UNSURE_AFTER: u64 = 4000;
/// How long it takes until all others know of a gateway, in milliseconds: each asks one sidecar a second, and some
/// answers are lost.
const INTRODUCTION: u64 = 5000;
/// How long a gateway counts among those who may be responsible, in milliseconds. Twice the time after which it knows
/// itself that it is not.
const RESPONSIBLE_MEMORY: u64 = 8000;
/// The part of what is shared that gateways use that are sure of each other.
const SURE_PART: f64 = 0.8;
/// The most gateways that are unsure at a time, where the sidecars are no more; the rest of what is shared is theirs.
const MOST_UNSURE: usize = 64;
/// How many times the gateways that are known there may be, where each sidecar knows a part of them only.
const UNHEARD_MARGIN: f64 = 1.1;
/// The most gateways of a deployment that never had a sidecar: nobody can tell how many there are.
const MOST_WITHOUT_SIDECARS: usize = 10;
/// The part of the sidecars that a gateway must hear from to be responsible for anything: of two sides that do not
/// hear each other only one does.
const QUORUM: f64 = 0.5;
/// The time that one lowest reach stands for, in milliseconds.
const REACH_STEP: u64 = 1000;
/// How often the reach is looked at, in milliseconds: a report counts for two seconds.
const REACH_EVERY: u64 = 200;
/// The most gateways in one answer: each takes at most ten bytes, and a datagram holds 1,400.
const MOST_TOLD: usize = 128;
/// Milliseconds in the unit in which ages are told.
const AGE_UNIT: u64 = 100;

/// A gateway, as a sidecar heard of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardGateway {
    /// Where its datagrams come from.
    pub address: SocketAddr,
    /// How long ago the last one came, in tenths of a second.
    pub tenths: u16,
}

/// The gateways that a sidecar has heard lately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayList {
    /// The address of who asked.
    pub asker: SocketAddr,
    /// The gateways, the one that asked among them.
    pub gateways: Vec<HeardGateway>,
}

/// What a sidecar remembers of gateways.
#[derive(Clone, Debug)]
pub struct GatewaysHeard {
    memory_ms: u64,
    heard: BTreeMap<SocketAddr, Millis>,
}

impl GatewaysHeard {
    /// Remembers gateways for as long as what they used counts in a window of so many milliseconds.
    pub fn new(window_ms: u64) -> Self {
        Self { memory_ms: window_ms + MEMORY_MARGIN, heard: BTreeMap::new() }
    }

    /// Goes on with another window.
    pub fn set_window(&mut self, window_ms: u64) {
        self.memory_ms = window_ms + MEMORY_MARGIN;
    }

    /// Takes in that a gateway was heard.
    pub fn note(&mut self, now: Millis, gateway: SocketAddr) {
        self.heard.insert(gateway, now);
        let memory = self.memory_ms;
        self.heard.retain(|_, at| now.since(*at).0 <= memory);
    }

    /// How many there are.
    pub fn count(&self, now: Millis) -> usize {
        self.heard.values().filter(|at| now.since(**at).0 <= self.memory_ms).count()
    }

    /// What a gateway is told that asks. Where there are too many for one answer, each answer holds others, drawn by
    /// the time.
    pub fn list(&self, now: Millis, asker: SocketAddr) -> GatewayList {
        let mut gateways: Vec<HeardGateway> =
            self.heard.iter().map(|(address, at)| heard(now, *address, *at)).collect();
        if gateways.len() > MOST_TOLD {
            let draw = now.0.to_string();
            gateways.sort_by_key(|it| (it.address != asker, weight(&draw, it.address)));
            gateways.truncate(MOST_TOLD);
        }
        GatewayList { asker, gateways }
    }
}

fn heard(now: Millis, address: SocketAddr, at: Millis) -> HeardGateway {
    let tenths = (now.since(at).0 / AGE_UNIT).min(u64::from(u16::MAX)) as u16;
    HeardGateway { address, tenths }
}

/// How sure a gateway is of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sureness {
    /// No sidecar has told of them lately.
    Unsure,
    /// It was told, and may not be known to all of them yet, or what would be its part may have been used.
    New,
    /// It knows the others and they know it.
    Sure,
}

impl Sureness {
    /// The word in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unsure => "unsure",
            Self::New => "new",
            Self::Sure => "sure",
        }
    }
}

/// The gateways that a gateway knows, itself among them.
#[derive(Clone, Debug)]
pub struct Members {
    window_ms: u64,
    me: Option<SocketAddr>,
    heard: BTreeMap<SocketAddr, Millis>,
    told_at: Option<Millis>,
    /// Since when it has been told without a break.
    since: Millis,
    /// Since when the window is no longer than now. What a shorter one had forgotten counts again.
    window_since: Millis,
    /// The lowest part of the sidecars that was heard from in each step of time, oldest first.
    reach: VecDeque<(Millis, f64)>,
    reach_at: Millis,
    /// The most sidecars that were listed at once.
    sidecars: usize,
    /// Whether each sidecar knows a part of the gateways only.
    is_partial: bool,
    /// Whether any sidecar was ever listed.
    has_sidecars: bool,
}

impl Members {
    /// Starts with nobody known. What gateways used counts for `window_ms` milliseconds.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            me: None,
            heard: BTreeMap::new(),
            told_at: None,
            since: Millis(0),
            window_since: Millis(0),
            reach: VecDeque::new(),
            reach_at: Millis(0),
            sidecars: 0,
            is_partial: false,
            has_sidecars: false,
        }
    }

    /// Goes on with another window.
    pub fn set_window(&mut self, now: Millis, window_ms: u64) {
        if window_ms > self.window_ms {
            self.window_since = now;
        }
        self.window_ms = window_ms;
    }

    /// Whether it is time to look which sidecars are heard from.
    pub fn wants_reach(&self, now: Millis) -> bool {
        now.since(self.reach_at).0 >= REACH_EVERY
    }

    /// Takes in how many sidecars are listed, and how many of them this gateway follows.
    pub fn note_sidecars(&mut self, listed: usize, followed: usize) {
        self.has_sidecars |= listed > 0;
        self.sidecars = self.sidecars.max(listed);
        self.is_partial = followed < listed;
    }

    /// Takes in which part of the sidecars that it follows is heard from. `None` where it follows none.
    pub fn note_reach(&mut self, now: Millis, reach: Option<f64>) {
        self.reach_at = now;
        self.has_sidecars |= reach.is_some();
        let reach = reach.unwrap_or(0.0);
        match self.reach.back_mut().filter(|it| now.since(it.0).0 < REACH_STEP) {
            Some((_, lowest)) => *lowest = lowest.min(reach),
            None => self.reach.push_back((now, reach)),
        }
        let span = self.window_ms + INTRODUCTION + REACH_STEP;
        while self.reach.front().is_some_and(|it| now.since(it.0).0 > span) {
            self.reach.pop_front();
        }
    }

    /// Takes in what a sidecar told.
    pub fn take(&mut self, now: Millis, list: GatewayList) {
        if !self.was_told(now) {
            self.since = now;
        }
        self.told_at = Some(now);
        self.me = Some(list.asker);
        for HeardGateway { address, tenths } in list.gateways {
            let at = now.minus(u64::from(tenths) * AGE_UNIT);
            let known = self.heard.entry(address).or_insert(at);
            *known = (*known).max(at);
        }
        let memory = self.window_ms + MEMORY_MARGIN;
        self.heard.retain(|_, at| now.since(*at).0 <= memory);
    }

    /// How many gateways there are, as far as known: at least this one.
    pub fn count(&self, now: Millis) -> usize {
        self.heard_within(now, self.window_ms + MEMORY_MARGIN).count().max(1)
    }

    /// Whether each sidecar knows a part of the gateways only.
    pub fn is_partial(&self) -> bool {
        self.is_partial
    }

    /// How sure that is.
    pub fn sureness(&self, now: Millis) -> Sureness {
        if !self.was_told(now) {
            Sureness::Unsure
        } else if now.since(self.since.max(self.window_since)).0 < self.window_ms + INTRODUCTION {
            Sureness::New
        } else {
            Sureness::Sure
        }
    }

    /// The part that this gateway may use of what all gateways together may use in a window.
    pub fn part(&self, now: Millis) -> f64 {
        match self.sureness(now) {
            Sureness::Sure => {
                // What others used while they were out of reach counts for a window more.
                let reach = self.lowest_reach(now, self.window_ms + INTRODUCTION);
                let margin = if self.is_partial { UNHEARD_MARGIN } else { 1.0 };
                SURE_PART * reach / (self.count(now) as f64 * margin)
            }
            Sureness::Unsure if !self.has_sidecars => 1.0 / MOST_WITHOUT_SIDECARS as f64,
            Sureness::Unsure | Sureness::New => {
                (1.0 - SURE_PART) / self.sidecars.max(MOST_UNSURE) as f64
            }
        }
    }

    /// Among how many gateways, `most` at most, this one shares the responsibility for a thing. `None` where it has
    /// none.
    pub fn responsible(&self, now: Millis, thing: &str, most: usize) -> Option<usize> {
        let me = self.me?;
        let is_known = self.was_told(now) && now.since(self.since).0 >= INTRODUCTION;
        if !is_known || self.lowest_reach(now, INTRODUCTION) <= QUORUM {
            return None;
        }
        let mine = weight(thing, me);
        let others = self.heard_within(now, RESPONSIBLE_MEMORY).filter(|it| *it != me);
        let weights: Vec<u64> = others.map(|it| weight(thing, it)).collect();
        let before = weights.iter().filter(|it| **it > mine).count();
        (before < most).then_some((weights.len() + 1).min(most))
    }

    /// Among how many gateways this one shares something that `most` at most share. `None` where it has no share. Where
    /// there never was a sidecar nobody can tell who is responsible, and as many as there may be share it.
    pub fn sharers(&self, now: Millis, thing: &str, most: usize) -> Option<usize> {
        if !self.has_sidecars {
            return Some(MOST_WITHOUT_SIDECARS);
        }
        self.responsible(now, thing, most)
    }

    /// The lowest part of the sidecars that was heard from in a span that ends now.
    fn lowest_reach(&self, now: Millis, span: u64) -> f64 {
        let steps = self.reach.iter().filter(|it| now.since(it.0).0 <= span + REACH_STEP);
        steps
            .map(|it| it.1)
            .fold(None, |low: Option<f64>, it| Some(low.map_or(it, |low| low.min(it))))
            .unwrap_or(0.0)
    }

    fn was_told(&self, now: Millis) -> bool {
        self.told_at.is_some_and(|at| now.since(at).0 <= UNSURE_AFTER)
    }

    fn heard_within(&self, now: Millis, span: u64) -> impl Iterator<Item = SocketAddr> + '_ {
        let heard = self.heard.iter().filter(move |(_, at)| now.since(**at).0 <= span);
        heard.map(|(address, _)| *address)
    }
}

/// The weight of an address for a thing, the same in every process (FNV-1a, and a mix of its bits, for addresses
/// that differ in the last byte only).
pub(crate) fn weight(thing: &str, address: SocketAddr) -> u64 {
    let text = format!("{thing} {address}");
    let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
