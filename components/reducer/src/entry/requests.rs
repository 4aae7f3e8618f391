//! The way of a request: taken, claimed, sent, tried again, ended.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use errors::{Code, Error, Ran};
use fleet::{InstanceId, Millis, Process, RequestId, WorkspaceId};
use wire::Load;

use super::{Arrival, AttemptId, Entry, EntryEffect, Failure, Target};
use crate::claims::ClaimState;

/// Tries of one request at most, the first included.
const MOST_TRIES: u32 = 4;

/// A request under way.
pub(super) struct Progress {
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

impl Progress {
    /// Who pays for the request.
    pub(super) fn workspace(&self) -> &WorkspaceId {
        &self.arrival.workspace
    }
}

/// A place in the queue: high priority first, then the nearest deadline.
pub(super) type Place = (Reverse<u8>, Millis, RequestId);

impl Entry {
    pub(super) fn arrive(&mut self, now: Millis, arrival: Arrival) -> Vec<EntryEffect> {
        let refusal = self.refusal(now, &arrival);
        let is_quarantined = refusal.is_none() && self.is_quarantined(now, &arrival);
        if let Some(code) = refusal.or(is_quarantined.then_some(Code::Quarantined)) {
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

    pub(super) fn take_claim(
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
        let (target, prefix, digest) = (arrival.target.clone(), arrival.prefix, arrival.digest);
        if self.is_barred(now, request, digest) {
            return self
                .refuse(request, Error::new(Code::Quarantined, Code::Quarantined.meaning()));
        }
        let Some(progress) = self.requests.get_mut(&request) else {
            return Vec::new();
        };
        let found = self.router.choose(now, &self.control, &target, prefix, &progress.tried);
        let Some((agent, address)) = found else {
            return self.wait(now, request);
        };
        progress.tries += 1;
        progress.tried.push(agent.clone());
        progress.at = Some(agent.clone());
        progress.waiting = false;
        self.shares.take(&progress.arrival.workspace);
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
        let overloaded = Error::new(Code::Overloaded, Code::Overloaded.meaning());
        // A place that comes too late need not be waited for.
        let opens_at = self.router.opens_at(&self.control, &progress.arrival.target);
        if now.max(opens_at) >= progress.waits_until {
            return self.refuse(request, overloaded);
        }
        let full = !progress.waiting && self.queue.len() as u32 >= self.options.queue_limit;
        progress.waiting = true;
        let arrival = &progress.arrival;
        let place = (Reverse(arrival.priority), arrival.deadline, request);
        let workspace = arrival.workspace.clone();
        let mut effects = Vec::new();
        if full {
            let Some(surplus) = self.find_surplus(&workspace) else {
                return self.refuse(request, overloaded);
            };
            self.queue.remove(&surplus);
            let limit = Error::new(Code::WorkspaceLimit, Code::WorkspaceLimit.meaning());
            effects = self.refuse(surplus.2, limit);
        }
        self.queue.insert(place);
        effects
    }

    /// Sends waiting requests on while there is room, and ends those that are too late.
    pub(super) fn dispatch(&mut self, now: Millis) -> Vec<EntryEffect> {
        let mut effects = Vec::new();
        let mut full: BTreeSet<Target> = BTreeSet::new();
        for place in self.turns() {
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

    /// Notes that a part of the answer went to the caller, so that it is not tried elsewhere.
    pub(super) fn start(&mut self, attempt: AttemptId) {
        if let Some(progress) = self.requests.get_mut(&attempt.request) {
            progress.started = true;
        }
    }

    pub(super) fn end(&mut self, now: Millis, attempt: AttemptId, load: Load) -> Vec<EntryEffect> {
        let Some(progress) = self.take_current(attempt) else {
            return Vec::new();
        };
        if let Some(agent) = &progress.at {
            self.router.end(now, agent, Some(load), None);
            self.shares.give_back(&progress.arrival.workspace);
        }
        let mut effects = self.note_whole(now, progress.arrival.digest);
        self.note_gone(attempt.request, progress.arrival.digest);
        effects.extend(self.after_end(now));
        effects
    }

    pub(super) fn fail(
        &mut self,
        now: Millis,
        attempt: AttemptId,
        failure: Failure,
    ) -> Vec<EntryEffect> {
        let Some(mut progress) = self.take_current(attempt) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        if let Some(agent) = progress.at.take() {
            self.router.end(now, &agent, failure.load, Some(failure.code));
            self.router.leave_alone(now, &agent, failure.retry_after_ms);
            self.shares.give_back(&progress.arrival.workspace);
            effects = self.note_failure(now, progress.arrival.digest, &agent, failure.code);
        }
        if failure.code.ran() == Ran::Unknown {
            progress.unknown = Some(failure.code);
        }
        let request = attempt.request;
        let is_barred = self.is_barred(now, request, progress.arrival.digest);
        let decision = if is_barred {
            Err(Code::Quarantined)
        } else {
            self.may_retry(&progress, failure.code)
        };
        self.requests.insert(request, progress);
        match decision {
            Ok(()) => {
                effects.push(EntryEffect::CountRetry(failure.code));
                effects.extend(self.route(now, request));
            }
            Err(code) => {
                effects.extend(self.refuse(request, Error::new(code, failure.code.meaning())));
            }
        }
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

    pub(super) fn abandon(&mut self, now: Millis, request: RequestId) -> Vec<EntryEffect> {
        let Some(progress) = self.requests.remove(&request) else {
            return Vec::new();
        };
        self.note_gone(request, progress.arrival.digest);
        let mut effects = Vec::new();
        if let Some(agent) = &progress.at {
            self.router.end(now, agent, None, None);
            self.shares.give_back(&progress.arrival.workspace);
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
        if let Some(progress) = &progress {
            self.note_gone(request, progress.arrival.digest);
        }
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
}

/// Gives the claim of a request back, so that its key is not used up by a refusal.
fn give_back(arrival: Arrival) -> Option<EntryEffect> {
    let Arrival { request, workspace, key, .. } = arrival;
    Some(EntryEffect::Release { request, workspace, key: key? })
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
