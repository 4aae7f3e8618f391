//! Requests: taken, claimed, abandoned, refused.

use errors::{Code, Error, Ran};
use fleet::{InstanceId, Millis, Process, RequestId, WorkspaceId};

use super::{Arrival, AttemptId, Entry, EntryEffect, Target};
use crate::claims::ClaimState;

/// A request under way.
pub(super) struct Progress {
    pub(super) arrival: Arrival,
    pub(super) tries: u32,
    pub(super) tried: Vec<InstanceId>,
    /// The upstream that has it now.
    pub(super) at: Option<InstanceId>,
    /// Whether a part of the answer went to the caller.
    pub(super) started: bool,
    /// How an earlier try ended that may have run. Whatever happens to later tries, the caller is
    /// then not told that the request was not run.
    pub(super) unknown: Option<Code>,
    pub(super) waiting: bool,
    /// Whether it holds the claim on its key.
    claimed: bool,
    /// Until when it may wait.
    pub(super) waits_until: Millis,
}

impl Progress {
    /// Who pays for the request.
    pub(super) fn workspace(&self) -> &WorkspaceId {
        &self.arrival.workspace
    }
}

impl Entry {
    /// Takes a request, or refuses it at once.
    pub(super) fn arrive(&mut self, now: Millis, arrival: Arrival) -> Vec<EntryEffect> {
        let refusal = self.refusal(now, &arrival);
        let is_quarantined = refusal.is_none() && self.is_quarantined(now, &arrival);
        if let Some(code) = refusal.or(is_quarantined.then_some(Code::Quarantined)) {
            return vec![EntryEffect::Refuse { request: arrival.request, error: code.into() }];
        }
        self.retries.record_first_attempt();
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

    /// Takes in what became of the claim on the key of a request.
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
            return self.refuse(request, code);
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

    /// The caller of a request has gone.
    pub(super) fn abandon(&mut self, now: Millis, request: RequestId) -> Vec<EntryEffect> {
        let Some(progress) = self.requests.remove(&request) else {
            return Vec::new();
        };
        self.note_gone(request, progress.arrival.digest);
        let mut effects = Vec::new();
        if let Some(agent) = &progress.at {
            self.router.record_end(now, agent, None, None);
            self.shares.give_back(&progress.arrival.workspace);
            effects.push(EntryEffect::Cancel(AttemptId { request, number: progress.tries }));
        }
        effects.extend(self.after_end(now));
        effects
    }

    /// Ends a request with a code that is true of all its tries.
    pub(super) fn refuse(
        &mut self,
        request: RequestId,
        error: impl Into<Error>,
    ) -> Vec<EntryEffect> {
        let mut error = error.into();
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

    /// Gives the room of a request that has ended to those that wait.
    pub(super) fn after_end(&mut self, now: Millis) -> Vec<EntryEffect> {
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
