//! Which upstream a request goes to, judged on facts that are always a little old.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use errors::Code;
use fleet::{InstanceId, Millis, Place, Process, Revision};
use wire::Load;

use crate::control::Control;
use crate::entry::Target;
use crate::seed::shared_hash;

/// Beyond this many upstreams for a target an entry uses a fixed subset of them.
const SUBSET: usize = 24;
/// What a step further away costs, as a share of an upstream's limit.
const DISTANCE_COST: f64 = 0.15;
/// What the upstream that probably caches the prompt is preferred by, as a share of its limit.
const AFFINITY_GAIN: f64 = 0.3;
/// How long other entries' requests are assumed to last, in milliseconds.
const OTHERS_TIME: f64 = 2000.0;
/// How long an upstream that failed is avoided while there are others, in milliseconds.
const AVOID_TIME: u64 = 1000;
/// How long an upstream that takes no new work is left out, in milliseconds; the news that it leaves
/// is here by then.
const CLOSED_TIME: u64 = 3000;
/// The limit assumed before an upstream has reported one.
const USUAL_LIMIT: u32 = 16;
/// A replica that just went live takes this share of its limit until it has answered.
const WARM_SHARE: f64 = 0.5;

/// What an entry knows of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    /// This entry's requests there.
    pub in_flight: u32,
    /// The load it last reported.
    pub reported: Option<Load>,
    /// Requests of other entries there, as of the report.
    others: f64,
    reported_at: Millis,
    avoid_until: Millis,
    closed_until: Millis,
}

/// How an upstream is chosen. Only the first is meant for use; the others are the naive versions
/// that it is measured against. They know no limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouteChoice {
    /// Load, distance and the prompt's cache, weighed; none without room.
    #[default]
    Weighed,
    /// One after the other.
    RoundRobin,
    /// The fewest of this entry's own requests.
    LeastInFlight,
}

/// The upstreams of an entry.
pub struct Router {
    choice: RouteChoice,
    upstreams: BTreeMap<InstanceId, Upstream>,
    /// Turns taken, for the naive choice.
    turns: usize,
    /// The candidates of each target, as of a state of the members and a revision.
    candidates: BTreeMap<Target, Vec<Candidate>>,
    candidates_of: (u64, Revision),
}

/// Where a request may go.
struct Choice {
    id: InstanceId,
    address: SocketAddr,
    cost: f64,
}

impl Router {
    /// Starts with nothing known.
    pub fn new(choice: RouteChoice) -> Self {
        Self {
            choice,
            upstreams: BTreeMap::new(),
            turns: 0,
            candidates: BTreeMap::new(),
            candidates_of: (0, Revision(0)),
        }
    }

    /// Chooses an upstream with room, and counts the request there. `tried` are left out.
    pub fn choose(
        &mut self,
        now: Millis,
        control: &Control,
        target: &Target,
        prefix: u64,
        tried: &[InstanceId],
    ) -> Option<(InstanceId, SocketAddr)> {
        let candidates = self.candidates(control, target).to_vec();
        if self.choice != RouteChoice::Weighed {
            return self.choose_naively(candidates, tried);
        }
        let home =
            candidates.iter().max_by_key(|it| affinity(prefix, &it.0)).map(|it| it.0.clone());
        let place = &control.members.me().place;
        let usable = candidates.into_iter().filter(|it| !tried.contains(&it.0));
        let choices = usable.filter_map(|(id, address, at)| {
            let gain = if home.as_ref() == Some(&id) { AFFINITY_GAIN } else { 0.0 };
            let upstream = self.upstreams.get(&id);
            let cost = upstream.cloned().unwrap_or_default().cost(now)?;
            let cost = cost + steps(place, &at) * DISTANCE_COST - gain;
            Some(Choice { id, address, cost })
        });
        let best = choices.min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        self.upstreams.entry(best.id.clone()).or_default().in_flight += 1;
        Some((best.id, best.address))
    }

    fn choose_naively(
        &mut self,
        candidates: Vec<Candidate>,
        tried: &[InstanceId],
    ) -> Option<(InstanceId, SocketAddr)> {
        let mut usable = candidates;
        usable.retain(|it| !tried.contains(&it.0));
        self.turns += 1;
        let turn = self.turns % usable.len().max(1);
        let in_flight = |id: &InstanceId| self.upstreams.get(id).map_or(0, |it| it.in_flight);
        let (id, address, _) = match self.choice {
            RouteChoice::RoundRobin => usable.into_iter().nth(turn)?,
            _ => usable.into_iter().min_by_key(|it| in_flight(&it.0))?,
        };
        self.upstreams.entry(id.clone()).or_default().in_flight += 1;
        Some((id, address))
    }

    /// Whether any upstream serves the target, with room or without.
    pub fn is_served(&mut self, control: &Control, target: &Target) -> bool {
        !self.candidates(control, target).is_empty()
    }

    /// The first moment at which some upstream of a target takes work again: now, unless all are to be left alone.
    pub fn opens_at(&mut self, control: &Control, target: &Target) -> Millis {
        let candidates = self.candidates(control, target).to_vec();
        let closed_until =
            |id: &InstanceId| self.upstreams.get(id).map_or(Millis(0), |it| it.closed_until);
        candidates.iter().map(|it| closed_until(&it.0)).min().unwrap_or(Millis(0))
    }

    /// The candidates of a target, derived again only when something they depend on has changed.
    fn candidates(&mut self, control: &Control, target: &Target) -> &[Candidate] {
        let state = (control.members.changes(), control.configuration().revision);
        if self.candidates_of != state {
            self.candidates.clear();
            self.candidates_of = state;
        }
        if !self.candidates.contains_key(target) {
            self.candidates.insert(target.clone(), candidates(control, target));
        }
        &self.candidates[target]
    }

    /// Takes in the end of a request, how it failed, and the load that came with it.
    pub fn end(&mut self, now: Millis, id: &InstanceId, load: Option<Load>, failure: Option<Code>) {
        let upstream = self.upstreams.entry(id.clone()).or_default();
        upstream.in_flight = upstream.in_flight.saturating_sub(1);
        match failure {
            // A full upstream is healthy; only its load is news.
            None | Some(Code::Overloaded) => {}
            Some(Code::Leaving | Code::Stopping) => upstream.closed_until = now.plus(CLOSED_TIME),
            Some(Code::Unreachable) => upstream.closed_until = now.plus(AVOID_TIME),
            Some(_) => upstream.avoid_until = now.plus(AVOID_TIME),
        }
        if let Some(load) = load {
            upstream.reported = Some(load);
            upstream.reported_at = now;
            upstream.others = f64::from(load.running.saturating_sub(upstream.in_flight));
        }
    }

    /// Sends nothing to an upstream for so many milliseconds, as its agent asks.
    pub fn leave_alone(&mut self, now: Millis, id: &InstanceId, span_ms: u64) {
        let upstream = self.upstreams.entry(id.clone()).or_default();
        upstream.closed_until = upstream.closed_until.max(now.plus(span_ms));
    }

    /// Forgets upstreams that are no longer members.
    pub fn retain(&mut self, control: &Control) {
        let known = |id: &InstanceId| control.members.get(id).is_some();
        self.upstreams.retain(|id, upstream| upstream.in_flight > 0 || known(id));
    }
}

impl Upstream {
    /// How full it is, as a share of its limit; none when it has no room.
    fn cost(&self, now: Millis) -> Option<f64> {
        let limit = f64::from(self.reported.map_or(USUAL_LIMIT, |it| it.limit.max(1)));
        let room = if self.reported.is_some() { limit } else { (limit * WARM_SHARE).max(1.0) };
        let age = now.since(self.reported_at).0 as f64;
        let others = self.others * (1.0 - age / OTHERS_TIME).max(0.0);
        let taken = f64::from(self.in_flight) + others;
        if taken >= room || now < self.closed_until {
            return None;
        }
        let avoided = if now < self.avoid_until { 1.0 } else { 0.0 };
        Some(taken / limit + avoided)
    }
}

type Candidate = (InstanceId, SocketAddr, Place);

/// The upstreams that serve a target and take new work, or this entry's subset of them.
fn candidates(control: &Control, target: &Target) -> Vec<Candidate> {
    let members = control.members.others().filter(|it| it.is_up());
    let serving = members.filter(|it| match target {
        Target::Model(model) => it.record.serving.iter().any(|tag| tag.is_model(model)),
        Target::Service(name) => it.record.process == Process::Service(name.clone()),
    });
    let open = serving.filter(|it| !control.is_leaving(&it.record.id));
    let mut all: Vec<Candidate> =
        open.map(|it| (it.record.id.clone(), it.record.address, it.record.place.clone())).collect();
    if all.len() > SUBSET {
        let me = &control.members.me().id;
        all.sort_by_cached_key(|it| shared_hash(&[me.0.as_bytes(), it.0 .0.as_bytes()]));
        all.truncate(SUBSET);
    }
    all
}

fn affinity(prefix: u64, id: &InstanceId) -> u64 {
    shared_hash(&[&prefix.to_le_bytes(), id.0.as_bytes()])
}

fn steps(a: &Place, b: &Place) -> f64 {
    if a == b {
        0.0
    } else if a.region == b.region {
        1.0
    } else {
        2.0
    }
}
