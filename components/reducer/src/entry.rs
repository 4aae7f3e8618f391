//! The reducer of an entry: requests from callers and changes by operators.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use errors::{Code, Error, Ran};
use fleet::{
    Configuration, Deployment, InstanceId, Intent, Millis, ModelName, Process, Release, RequestId,
    ServiceName, VersionId, WorkspaceId,
};
use wire::{Load, MemberRecord};

use crate::changes::{ChangeEffect, ChangeEvent, Changes};
use crate::claims::{ClaimState, SavedAnswer};
use crate::control::{Control, ControlEffect, ControlEvent};
use crate::planner::{plan, Candidate, Estimate, Fleet};
use crate::retry::RetryBudget;
use crate::routing::{RouteChoice, Router};
use crate::Seed;

/// Tries of one request at most, the first included.
const MOST_TRIES: u32 = 4;
/// How many members hear at once that this daemon stops.
const LEAVE_FANOUT: usize = 8;

/// Numbers an entry works with.
#[derive(Clone, Copy, Debug)]
pub struct EntryOptions {
    /// Requests that may wait for an upstream.
    pub queue_limit: u32,
    /// The share of first tries that may be tried again.
    pub retry_share: f64,
    /// What messages between daemons may cost, in bytes a second.
    pub control_bytes_per_s: u64,
    /// Link rates for plans.
    pub estimate: Estimate,
    /// How upstreams are chosen.
    pub choice: RouteChoice,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A model or adapter.
    Model(ModelName),
    /// A plain service.
    Service(ServiceName),
}

/// A request as the reducer sees it; the driver keeps its body.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its identity.
    pub request: RequestId,
    /// What it asks for.
    pub target: Target,
    /// Who pays.
    pub workspace: WorkspaceId,
    /// A digest of the start of the prompt.
    pub prefix: u64,
    /// When it must have been answered.
    pub deadline: Millis,
    /// How long it may wait for an upstream, in milliseconds. Beyond that its first token would
    /// come too late, and its place goes to one that can still be on time.
    pub max_wait: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Higher goes first.
    pub priority: u8,
    /// Under this key it may run once only.
    pub key: Option<String>,
}

/// One try of a request. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The number of the try, from one.
    pub number: u32,
}

/// How a try failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why; its `ran` says whether the upstream may have run it.
    pub code: Code,
    /// The load reported with it.
    pub load: Option<Load>,
}

/// What happens to an entry.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// Something of the shared state.
    Control(ControlEvent),
    /// Something of a change.
    Change(ChangeEvent),
    /// A request arrived.
    Arrived(Box<Arrival>),
    /// A claim was settled.
    ClaimSettled {
        /// The request.
        request: RequestId,
        /// What became of it.
        state: ClaimState,
    },
    /// The upstream began to answer and the answer goes to the caller.
    Started(AttemptId),
    /// The answer is whole.
    Ended {
        /// The try.
        attempt: AttemptId,
        /// The load reported with it.
        load: Load,
    },
    /// A try failed.
    Failed {
        /// The try.
        attempt: AttemptId,
        /// How.
        failure: Failure,
    },
    /// The caller went away.
    CallerGone(RequestId),
    /// A planned stop.
    Stop,
    /// Time passed.
    Tick,
}

/// What an entry does.
#[derive(Clone, Debug)]
pub enum EntryEffect {
    /// Something about the shared state.
    Control(ControlEffect),
    /// Something about a change.
    Change(ChangeEffect),
    /// Take the claim for a request's key.
    Claim {
        /// The request.
        request: RequestId,
        /// Whose key it is.
        workspace: WorkspaceId,
        /// The key.
        key: String,
    },
    /// Give the claim back: the request was certainly not run.
    Release {
        /// The request that holds it.
        request: RequestId,
        /// Whose key it is.
        workspace: WorkspaceId,
        /// The key.
        key: String,
    },
    /// End a request with the answer that an earlier one got under the same key.
    Replay {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Box<SavedAnswer>,
    },
    /// Send a try to an agent.
    Send {
        /// The try.
        attempt: AttemptId,
        /// The agent.
        agent: InstanceId,
        /// Where it listens.
        address: SocketAddr,
        /// Milliseconds left.
        budget_ms: u64,
    },
    /// End a request with a code.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        error: Error,
    },
    /// Stop a try whose caller went away.
    Cancel(AttemptId),
    /// Count a retry.
    CountRetry(Code),
    /// Nothing is in progress any more.
    Drained,
}

/// A request under way.
struct Progress {
    arrival: Arrival,
    tries: u32,
    tried: Vec<InstanceId>,
    /// The upstream that has it now.
    at: Option<InstanceId>,
    /// Whether a part of the answer went to the caller.
    started: bool,
    /// How an earlier try ended that may have run. Whatever happens to later tries, the caller is
    /// then not told that the request was not run.
    unknown: Option<Code>,
    waiting: bool,
    /// Whether it holds the claim on its key.
    claimed: bool,
    /// Until when it may wait.
    waits_until: Millis,
}

/// A place in the queue: high priority first, then the nearest deadline.
type Place = (Reverse<u8>, Millis, RequestId);

/// The state of an entry.
pub struct Entry {
    /// The shared state.
    pub control: Control,
    options: EntryOptions,
    changes: Changes,
    router: Router,
    retries: RetryBudget,
    requests: BTreeMap<RequestId, Progress>,
    queue: BTreeSet<Place>,
    stopping: bool,
}

impl Entry {
    /// Starts with nothing known.
    pub fn new(me: MemberRecord, options: EntryOptions) -> Self {
        Self {
            control: Control::new(me, options.control_bytes_per_s),
            options,
            changes: Changes::default(),
            router: Router::new(options.choice),
            retries: RetryBudget::new(options.retry_share),
            requests: BTreeMap::new(),
            queue: BTreeSet::new(),
            stopping: false,
        }
    }

    /// Requests under way and requests waiting.
    pub fn load(&self) -> (usize, usize) {
        (self.requests.len(), self.queue.len())
    }

    /// Takes in an event.
    pub fn reduce(&mut self, now: Millis, seed: u64, event: EntryEvent) -> Vec<EntryEffect> {
        let mut seed = Seed::new(seed);
        match event {
            EntryEvent::Control(event) => self.take_control(now, &mut seed, event),
            EntryEvent::Change(event) => self.take_change(now, &mut seed, event),
            EntryEvent::Arrived(arrival) => self.arrive(now, *arrival),
            EntryEvent::ClaimSettled { request, state } => self.take_claim(now, request, state),
            EntryEvent::Started(attempt) => {
                if let Some(progress) = self.requests.get_mut(&attempt.request) {
                    progress.started = true;
                }
                Vec::new()
            }
            EntryEvent::Ended { attempt, load } => self.end(now, attempt, load),
            EntryEvent::Failed { attempt, failure } => self.fail(now, attempt, failure),
            EntryEvent::CallerGone(request) => self.abandon(now, request),
            EntryEvent::Stop => self.stop(&mut seed),
            EntryEvent::Tick => {
                let mut effects = self.take_control(now, &mut seed, ControlEvent::Tick);
                self.router.retain(&self.control);
                effects.extend(self.dispatch(now));
                effects
            }
        }
    }

    fn take_control(
        &mut self,
        now: Millis,
        seed: &mut Seed,
        event: ControlEvent,
    ) -> Vec<EntryEffect> {
        let effects = self.control.reduce(now, seed, event);
        let mut effects: Vec<EntryEffect> = effects.into_iter().map(EntryEffect::Control).collect();
        if !self.queue.is_empty() {
            effects.extend(self.dispatch(now));
        }
        effects
    }

    fn take_change(
        &mut self,
        now: Millis,
        seed: &mut Seed,
        event: ChangeEvent,
    ) -> Vec<EntryEffect> {
        let effects = self.changes.reduce(now, event);
        effects.into_iter().flat_map(|effect| self.carry_out(now, seed, effect)).collect()
    }

    /// Does the part of a change that needs the entry's own state.
    fn carry_out(
        &mut self,
        now: Millis,
        seed: &mut Seed,
        effect: ChangeEffect,
    ) -> Vec<EntryEffect> {
        match effect {
            ChangeEffect::MakePlan { call, intent, release, base } => {
                let result = self.make_plan(now, &intent, release, &base);
                let effects = self.changes.take_plan(call, result);
                effects.into_iter().map(EntryEffect::Change).collect()
            }
            ChangeEffect::Adopt(configuration) => {
                let effects = self.control.apply(*configuration, seed);
                effects.into_iter().map(EntryEffect::Control).collect()
            }
            other => vec![EntryEffect::Change(other)],
        }
    }

    fn make_plan(
        &self,
        now: Millis,
        intent: &Intent,
        release: Option<Release>,
        base: &Configuration,
    ) -> Result<fleet::Plan, Error> {
        let candidates = self.candidates(base);
        let services = self.services(base);
        let fleet = Fleet {
            configuration: base,
            candidates: &candidates,
            estimate: self.options.estimate,
            services: &services,
        };
        plan(now, intent, release, &fleet)
    }

    fn candidates(&self, base: &Configuration) -> Vec<Candidate> {
        let members = self.control.members.others();
        let engines = members.filter(|it| it.record.process == Process::Engine);
        let describe = |it: &crate::Member| {
            let id = it.record.id.clone();
            let known = base.deployments.values();
            let serving = known.flat_map(|deployment| served(deployment, &it.record));

            Candidate {
                place: it.record.place.clone(),
                up: it.is_up(),
                leaving: base.leaving.contains(&id) || self.control.is_leaving(&id),
                memory_bytes: self.control.members.listed(&id).map_or(0, |it| it.memory_bytes),
                serving: serving.collect(),
                id,
            }
        };
        engines.map(describe).collect()
    }

    /// For each instance of a plain service, how many others of that service take work.
    fn services(&self, base: &Configuration) -> BTreeMap<InstanceId, usize> {
        let open = |it: &&crate::Member| {
            let id = &it.record.id;
            it.is_up() && !base.leaving.contains(id) && !self.control.is_leaving(id)
        };
        let is_service = |it: &&crate::Member| matches!(it.record.process, Process::Service(_));
        let all: Vec<&crate::Member> = self.control.members.others().filter(is_service).collect();
        let others = |one: &crate::Member| {
            let same = all.iter().filter(|it| it.record.process == one.record.process);
            same.filter(|it| it.record.id != one.record.id && open(it)).count()
        };
        all.iter().map(|it| (it.record.id.clone(), others(it))).collect()
    }

    fn arrive(&mut self, now: Millis, arrival: Arrival) -> Vec<EntryEffect> {
        if let Some(code) = self.refusal(now, &arrival) {
            let detail = code.meaning().to_owned();
            let error = Error::new(code, detail);
            return vec![EntryEffect::Refuse { request: arrival.request, error }];
        }
        self.retries.earn();
        let request = arrival.request;
        let waits_until = now.plus(arrival.max_wait);
        let claim = arrival.key.clone().map(|key| EntryEffect::Claim {
            request,
            workspace: arrival.workspace.clone(),
            key,
        });
        let progress = Progress {
            arrival,
            tries: 0,
            tried: Vec::new(),
            at: None,
            started: false,
            unknown: None,
            waiting: false,
            claimed: false,
            waits_until,
        };
        self.requests.insert(request, progress);
        match claim {
            Some(claim) => vec![claim],
            None => self.route(now, request),
        }
    }

    /// Why a request is not taken, if it is not.
    fn refusal(&mut self, now: Millis, arrival: &Arrival) -> Option<Code> {
        if self.stopping {
            return Some(Code::Stopping);
        }
        if !self.control.is_current() {
            return Some(Code::NotReady);
        }
        if now >= arrival.deadline {
            return Some(Code::TooLate);
        }
        if self.router.is_served(&self.control, &arrival.target) {
            return None;
        }
        let known = match &arrival.target {
            Target::Model(model) => self.control.configuration().deployments.contains_key(model),
            Target::Service(name) => {
                let process = Process::Service(name.clone());
                self.control.members.others().any(|it| it.record.process == process)
            }
        };
        Some(if known { Code::NoUpstream } else { Code::UnknownTarget })
    }

    fn take_claim(
        &mut self,
        now: Millis,
        request: RequestId,
        state: ClaimState,
    ) -> Vec<EntryEffect> {
        let Some(progress) = self.requests.get_mut(&request) else {
            return Vec::new();
        };
        if let Some(code) = state.refusal() {
            return self.refuse(request, Error::new(code, code.meaning()));
        }
        if let ClaimState::Answered(answer) = state {
            self.requests.remove(&request);
            let mut effects = vec![EntryEffect::Replay { request, answer }];
            effects.extend(self.drained());
            return effects;
        }
        progress.claimed = true;
        self.route(now, request)
    }

    /// Sends a request to the best upstream with room, or lets it wait.
    fn route(&mut self, now: Millis, request: RequestId) -> Vec<EntryEffect> {
        let Some(progress) = self.requests.get_mut(&request) else {
            return Vec::new();
        };
        let arrival = &progress.arrival;
        if now >= arrival.deadline {
            return self.refuse(request, Error::new(Code::TooLate, Code::TooLate.meaning()));
        }
        let (target, prefix) = (arrival.target.clone(), arrival.prefix);
        let found = self.router.choose(now, &self.control, &target, prefix, &progress.tried);
        let Some((agent, address)) = found else {
            return self.wait(now, request);
        };
        progress.tries += 1;
        progress.tried.push(agent.clone());
        progress.at = Some(agent.clone());
        progress.waiting = false;
        let attempt = AttemptId { request, number: progress.tries };
        let budget_ms = progress.arrival.deadline.since(now).0;
        vec![EntryEffect::Send { attempt, agent, address, budget_ms }]
    }

    fn wait(&mut self, now: Millis, request: RequestId) -> Vec<EntryEffect> {
        let Some(progress) = self.requests.get_mut(&request) else {
            return Vec::new();
        };
        // Upstreams that refused a moment ago may have room again by the next turn.
        progress.tried.clear();
        let full = !progress.waiting && self.queue.len() as u32 >= self.options.queue_limit;
        if full || now >= progress.waits_until {
            let error = Error::new(Code::Overloaded, Code::Overloaded.meaning());
            return self.refuse(request, error);
        }
        progress.waiting = true;
        let arrival = &progress.arrival;
        self.queue.insert((Reverse(arrival.priority), arrival.deadline, request));
        Vec::new()
    }

    /// Sends waiting requests on while there is room, and ends those that are too late.
    fn dispatch(&mut self, now: Millis) -> Vec<EntryEffect> {
        let mut effects = Vec::new();
        let mut full: BTreeSet<Target> = BTreeSet::new();
        for place in self.queue.iter().cloned().collect::<Vec<_>>() {
            let request = place.2;
            let Some(progress) = self.requests.get(&request) else {
                self.queue.remove(&place);
                continue;
            };
            let target = progress.arrival.target.clone();
            if full.contains(&target) && now < progress.arrival.deadline.min(progress.waits_until) {
                continue;
            }
            self.queue.remove(&place);
            let routed = self.route(now, request);
            if routed.is_empty() {
                full.insert(target);
            }
            effects.extend(routed);
        }
        effects
    }

    fn end(&mut self, now: Millis, attempt: AttemptId, load: Load) -> Vec<EntryEffect> {
        let Some(progress) = self.take_current(attempt) else {
            return Vec::new();
        };
        if let Some(agent) = &progress.at {
            self.router.end(now, agent, Some(load), None);
        }
        self.after_end(now)
    }

    fn fail(&mut self, now: Millis, attempt: AttemptId, failure: Failure) -> Vec<EntryEffect> {
        let Some(mut progress) = self.take_current(attempt) else {
            return Vec::new();
        };
        if let Some(agent) = progress.at.take() {
            self.router.end(now, &agent, failure.load, Some(failure.code));
        }
        if failure.code.ran() == Ran::Unknown {
            progress.unknown = Some(failure.code);
        }
        let request = attempt.request;
        let decision = self.may_retry(&progress, failure.code);
        self.requests.insert(request, progress);
        let mut effects = match decision {
            Ok(()) => {
                let mut effects = vec![EntryEffect::CountRetry(failure.code)];
                effects.extend(self.route(now, request));
                effects
            }
            Err(code) => self.refuse(request, Error::new(code, failure.code.meaning())),
        };
        effects.extend(self.after_end(now));
        effects
    }

    /// Whether a failed try may be followed by another; if not, the code for the caller.
    fn may_retry(&mut self, progress: &Progress, code: Code) -> Result<(), Code> {
        let certain = code.ran() == Ran::NotRun;
        // An upstream that is full or leaves has not failed: the request goes on waiting, for as long
        // as it may, and the router does not send it there again.
        let closed = matches!(code, Code::Overloaded | Code::Leaving | Code::Stopping);
        if closed && !progress.started {
            return Ok(());
        }
        let allowed = !progress.started && (certain || progress.arrival.repeatable);
        if !allowed || !is_passing(code) || progress.tries >= MOST_TRIES {
            return Err(code);
        }
        if self.retries.spend() {
            Ok(())
        } else if certain {
            Err(Code::RetryBudget)
        } else {
            Err(code)
        }
    }

    fn abandon(&mut self, now: Millis, request: RequestId) -> Vec<EntryEffect> {
        let Some(progress) = self.requests.remove(&request) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        if let Some(agent) = &progress.at {
            self.router.end(now, agent, None, None);
            effects.push(EntryEffect::Cancel(AttemptId { request, number: progress.tries }));
        }
        effects.extend(self.after_end(now));
        effects
    }

    /// Takes out the request that a try belongs to, if the try is its latest: late or crossed
    /// answers of earlier ones find nothing.
    fn take_current(&mut self, attempt: AttemptId) -> Option<Progress> {
        let progress = self.requests.get(&attempt.request)?;
        if progress.tries != attempt.number || progress.at.is_none() {
            return None;
        }
        self.requests.remove(&attempt.request)
    }

    /// Ends a request with a code that is true of all its tries.
    fn refuse(&mut self, request: RequestId, mut error: Error) -> Vec<EntryEffect> {
        let progress = self.requests.remove(&request);
        let unknown = progress.as_ref().and_then(|it| it.unknown);
        if let (Some(code), Ran::NotRun) = (unknown, error.code.ran()) {
            error = Error::new(code, format!("{}; then: {error}", code.meaning()));
        }
        let release = progress.filter(|it| it.claimed && error.code.ran() == Ran::NotRun);
        let mut effects = vec![EntryEffect::Refuse { request, error }];
        effects.extend(release.and_then(|it| give_back(it.arrival)));
        effects.extend(self.drained());
        effects
    }

    fn after_end(&mut self, now: Millis) -> Vec<EntryEffect> {
        let mut effects = self.dispatch(now);
        effects.extend(self.drained());
        effects
    }

    fn stop(&mut self, seed: &mut Seed) -> Vec<EntryEffect> {
        self.stopping = true;
        self.control.members.set_leaving();
        let revision = self.control.configuration().revision;
        let news = self.control.members.push(revision, LEAVE_FANOUT, seed);
        let mut effects: Vec<EntryEffect> = news
            .into_iter()
            .map(|(to, datagram)| ControlEffect::Send { to, datagram: Box::new(datagram) })
            .map(EntryEffect::Control)
            .collect();
        effects.extend(self.drained());
        effects
    }

    fn drained(&self) -> Vec<EntryEffect> {
        if self.stopping && self.requests.is_empty() {
            vec![EntryEffect::Drained]
        } else {
            Vec::new()
        }
    }
}

/// Gives the claim of a request back, so that its key is not used up by a refusal.
fn give_back(arrival: Arrival) -> Option<EntryEffect> {
    let Arrival { request, workspace, key, .. } = arrival;
    Some(EntryEffect::Release { request, workspace, key: key? })
}

/// The versions of a deployment that a daemon says its engine serves.
fn served<'a>(
    deployment: &'a Deployment,
    record: &'a MemberRecord,
) -> impl Iterator<Item = (ModelName, VersionId)> + 'a {
    let releases = [Some(&deployment.release), deployment.previous.as_ref()];
    let versions = releases.into_iter().flatten().map(|it| it.version);
    let serves = |version: &VersionId| {
        let mut tags = record.serving.iter();
        tags.any(|tag| tag.is_model(&deployment.model) && tag.is_version(*version))
    };
    versions.filter(serves).map(|version| (deployment.model.clone(), version))
}

/// Whether another upstream may do better after this code.
fn is_passing(code: Code) -> bool {
    matches!(
        code,
        Code::Overloaded
            | Code::Leaving
            | Code::NotServing
            | Code::Stopping
            | Code::NotReady
            | Code::Unreachable
            | Code::CutShort
            | Code::ConnectionLost
    )
}

#[cfg(test)]
#[path = "entry_tests.rs"]
mod tests;
