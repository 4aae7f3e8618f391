//! Selects the upstream for a request, from load reports that are always slightly outdated.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use errors::Code;
use fleet::{InstanceId, Location, Millis, Process, Revision};
use wire::Load;

use crate::control::Control;
use crate::entry::Target;
use crate::seed::shared_hash;

/// If more upstreams than this serve a target, an entry uses a fixed subset of this size.
const MAX_CANDIDATES: usize = 24;
/// Cost of each step of distance (another hall, another region), as a share of an upstream's limit.
const DISTANCE_COST: f64 = 0.15;
/// Advantage of the upstream that probably caches the prompt, as a share of its limit.
const AFFINITY_BONUS: f64 = 0.3;
/// Assumed duration of the requests of other entries.
const OTHERS_REQUEST_MS: f64 = 2000.0;
/// How long an upstream that failed is avoided if there are others.
const AVOID_MS: u64 = 1000;
/// How long an upstream that takes no new work is excluded. By then its leave has been reported to this
/// entry.
const EXCLUDE_MS: u64 = 3000;
/// The limit assumed for an upstream that has not reported one.
const DEFAULT_LIMIT: u32 = 16;
/// Share of the assumed limit that is used before a new replica has answered for the first time.
const NEW_REPLICA_SHARE: f64 = 0.5;

/// The state of one upstream, as known to an entry.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    /// The requests of this entry that are running there.
    pub in_flight: u32,
    /// The load that it reported last.
    pub reported: Option<Load>,
    /// The requests of other entries that were running there, according to the last report.
    others: f64,
    reported_at: Millis,
    avoid_until: Millis,
    excluded_until: Millis,
}

/// How an upstream is selected. Only `Weighted` is meant for production; the others are baselines for
/// comparison and ignore limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutingStrategy {
    /// By load, distance and prompt cache. Upstreams at their limit are excluded.
    #[default]
    Weighted,
    /// In turn.
    RoundRobin,
    /// The upstream with the fewest requests of this entry.
    LeastInFlight,
}

/// Selects upstreams for the requests of an entry.
pub struct Router {
    choice: RoutingStrategy,
    upstreams: BTreeMap<InstanceId, Upstream>,
    /// Number of selections, for `RoundRobin`.
    selections: usize,
    /// The candidates of each target, valid for the state in `candidates_state`.
    candidates: BTreeMap<Target, Vec<Candidate>>,
    candidates_state: (u64, Revision),
}

/// An upstream that a request can be sent to.
struct ScoredUpstream {
    id: InstanceId,
    address: SocketAddr,
    cost: f64,
}

impl Router {
    /// Creates a router without any load reports.
    pub fn new(choice: RoutingStrategy) -> Self {
        Self {
            choice,
            upstreams: BTreeMap::new(),
            selections: 0,
            candidates: BTreeMap::new(),
            candidates_state: (0, Revision(0)),
        }
    }

    /// Selects an upstream that has a free slot and counts the request there. Upstreams in `tried` are
    /// excluded.
    pub fn choose(
        &mut self,
        now: Millis,
        control: &Control,
        target: &Target,
        prefix: u64,
        tried: &[InstanceId],
    ) -> Option<(InstanceId, SocketAddr)> {
        let candidates = self.candidates(control, target).to_vec();
        if self.choice != RoutingStrategy::Weighted {
            return self.choose_baseline(candidates, tried);
        }
        let cache_holder =
            candidates.iter().max_by_key(|it| affinity(prefix, &it.0)).map(|it| it.0.clone());
        let place = &control.members.me().place;
        let usable = candidates.into_iter().filter(|it| !tried.contains(&it.0));
        let scored = usable.filter_map(|(id, address, at)| {
            let bonus = if cache_holder.as_ref() == Some(&id) { AFFINITY_BONUS } else { 0.0 };
            let upstream = self.upstreams.get(&id);
            let cost = upstream.cloned().unwrap_or_default().cost(now)?;
            let cost = cost + distance(place, &at) * DISTANCE_COST - bonus;
            Some(ScoredUpstream { id, address, cost })
        });
        let best = scored.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        self.upstreams.entry(best.id.clone()).or_default().in_flight += 1;
        Some((best.id, best.address))
    }

    fn choose_baseline(
        &mut self,
        candidates: Vec<Candidate>,
        tried: &[InstanceId],
    ) -> Option<(InstanceId, SocketAddr)> {
        let mut usable = candidates;
        usable.retain(|it| !tried.contains(&it.0));
        self.selections += 1;
        let index = self.selections % usable.len().max(1);
        let in_flight = |id: &InstanceId| self.upstreams.get(id).map_or(0, |it| it.in_flight);
        let (id, address, _) = match self.choice {
            RoutingStrategy::RoundRobin => usable.into_iter().nth(index)?,
            _ => usable.into_iter().min_by_key(|it| in_flight(&it.0))?,
        };
        self.upstreams.entry(id.clone()).or_default().in_flight += 1;
        Some((id, address))
    }

    /// Whether any upstream serves the target, at its limit or not.
    pub fn is_served(&mut self, control: &Control, target: &Target) -> bool {
        !self.candidates(control, target).is_empty()
    }

    /// The earliest time at which an upstream of a target takes work: in the past, unless all are excluded.
    pub fn available_at(&mut self, control: &Control, target: &Target) -> Millis {
        let candidates = self.candidates(control, target).to_vec();
        let excluded_until =
            |id: &InstanceId| self.upstreams.get(id).map_or(Millis(0), |it| it.excluded_until);
        candidates.iter().map(|it| excluded_until(&it.0)).min().unwrap_or(Millis(0))
    }

    /// The candidates of a target, computed again only when the members or the revision have changed.
    fn candidates(&mut self, control: &Control, target: &Target) -> &[Candidate] {
        let state = (control.members.changes(), control.configuration().revision);
        if self.candidates_state != state {
            self.candidates.clear();
            self.candidates_state = state;
        }
        if !self.candidates.contains_key(target) {
            self.candidates.insert(target.clone(), candidates(control, target));
        }
        &self.candidates[target]
    }

    /// Records the end of a request: its failure, if any, and the load that was reported with it.
    pub fn record_end(
        &mut self,
        now: Millis,
        id: &InstanceId,
        load: Option<Load>,
        failure: Option<Code>,
    ) {
        let upstream = self.upstreams.entry(id.clone()).or_default();
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        match failure {
            // An upstream at its limit has not failed; only its load is recorded.
            None | Some(Code::Overloaded) => {}
            Some(Code::Leaving | Code::Stopping) => upstream.excluded_until = now.plus(EXCLUDE_MS),
            Some(Code::Unreachable) => upstream.excluded_until = now.plus(AVOID_MS),
            Some(_) => upstream.avoid_until = now.plus(AVOID_MS),
        }
        if let Some(load) = load {
            upstream.reported = Some(load);
            upstream.reported_at = now;
            upstream.others = f64::from(load.running.saturating_sub(upstream.in_flight));
        }
    }

    /// Excludes an upstream for `span_ms` milliseconds, as its agent requests.
    pub fn exclude(&mut self, now: Millis, id: &InstanceId, span_ms: u64) {
        let upstream = self.upstreams.entry(id.clone()).or_default();
        upstream.excluded_until = upstream.excluded_until.max(now.plus(span_ms));
    }

    /// Removes upstreams that are no longer members.
    pub fn retain(&mut self, control: &Control) {
        let known = |id: &InstanceId| control.members.get(id).is_some();
        self.upstreams.retain(|id, upstream| upstream.in_flight > 0 || known(id));
    }
}

impl Upstream {
    /// The load as a share of the limit; `None` if no slot is free.
    fn cost(&self, now: Millis) -> Option<f64> {
        let limit = f64::from(self.reported.map_or(DEFAULT_LIMIT, |it| it.limit.max(1)));
        let usable_limit =
            if self.reported.is_some() { limit } else { (limit * NEW_REPLICA_SHARE).max(1.0) };
        let age = now.since(self.reported_at).0 as f64;
        let others = self.others * (1.0 - age / OTHERS_REQUEST_MS).max(0.0);
        let total = f64::from(self.in_flight) + others;
        if total >= usable_limit || now < self.excluded_until {
            return None;
        }
        let avoided = if now < self.avoid_until { 1.0 } else { 0.0 };
        Some(total / limit + avoided)
    }
}

type Candidate = (InstanceId, SocketAddr, Location);

/// The upstreams that serve a target and take new work, or this entry's subset of them.
fn candidates(control: &Control, target: &Target) -> Vec<Candidate> {
    let members = control.members.others().filter(|it| it.is_up());
    let serving = members.filter(|it| match target {
        Target::Model(model) => it.record.serving.iter().any(|tag| tag.is_model(model)),
        Target::Service(name) => it.record.process == Process::Service(name.clone()),
    });
    let accepting = serving.filter(|it| !control.is_leaving(&it.record.id));
    let mut all: Vec<Candidate> = accepting
        .map(|it| (it.record.id.clone(), it.record.address, it.record.place.clone()))
        .collect();
    if all.len() > MAX_CANDIDATES {
        let me = &control.members.me().id;
        all.sort_by_cached_key(|it| shared_hash(&[me.0.as_bytes(), it.0 .0.as_bytes()]));
        all.truncate(MAX_CANDIDATES);
    }
    all
}

fn affinity(prefix: u64, id: &InstanceId) -> u64 {
    shared_hash(&[&prefix.to_le_bytes(), id.0.as_bytes()])
}

fn distance(a: &Location, b: &Location) -> f64 {
    if a == b {
        0.0
    } else if a.region == b.region {
        1.0
    } else {
        2.0
    }
}
