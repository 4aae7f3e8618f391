//! Arrival, claim, cancellation and rejection of requests.

use errors::{Code, Error, Ran};
use fleet::{InstanceId, Millis, Process, RequestId, WorkspaceId};

use super::{Arrival, AttemptId, Entry, EntryEffect, Target};
use crate::claims::ClaimState;

/// A request in progress.
pub(super) struct Progress {
    pub(super) arrival: Arrival,
    pub(super) attempts: u32,
    pub(super) tried: Vec<InstanceId>,
    /// The upstream that the current attempt was sent to.
    pub(super) upstream: Option<InstanceId>,
    /// Whether part of the answer has been sent to the caller.
    pub(super) answer_started: bool,
    /// The failure of an earlier attempt that may have run. The caller is then not told that the request was
    /// not run, whatever happens to later attempts.
    pub(super) unknown_outcome: Option<Code>,
    pub(super) is_waiting: bool,
    /// Whether the request holds the claim on its key.
    holds_claim: bool,
    /// When the request is rejected if it is still waiting.
    pub(super) waits_until: Millis,
}

impl Progress {
    /// The workspace that the request is accounted to.
    pub(super) fn workspace(&self) -> &WorkspaceId {
        &self.arrival.workspace
    }
}

impl Entry {
    /// Accepts a request, or rejects it at once.
    pub(super) fn handle_arrival(&mut self, now: Millis, arrival: Arrival) -> Vec<EntryEffect> {
        let rejection = self.rejection_reason(now, &arrival);
        let is_quarantined = rejection.is_none() && self.is_quarantined(now, &arrival);
        if let Some(code) = rejection.or(is_quarantined.then_some(Code::Quarantined)) {
            return vec![EntryEffect::Refuse { request: arrival.request, error: code.into() }];
        }
        self.retries.record_first_attempt();
        let request = arrival.request;
        let waits_until = now.plus(arrival.max_wait_ms);
        let claim = arrival.key.clone().map(|key| EntryEffect::Claim {
            request,
            workspace: arrival.workspace.clone(),
            key,
        });
        let progress = Progress {
            arrival,
            attempts: 0,
            tried: Vec::new(),
            upstream: None,
            answer_started: false,
            unknown_outcome: None,
            is_waiting: false,
            holds_claim: false,
            waits_until,
        };
        self.requests.insert(request, progress);
        match claim {
            Some(claim) => vec![claim],
            None => self.route(now, request),
        }
    }

    /// The reason for rejecting an arriving request, if there is one.
    fn rejection_reason(&mut self, now: Millis, arrival: &Arrival) -> Option<Code> {
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

    /// Handles the outcome of a claim on the key of a request.
    pub(super) fn handle_claim(
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
            effects.extend(self.drained_effects());
            return effects;
        }
        progress.holds_claim = true;
        self.route(now, request)
    }

    /// Removes a request whose caller disconnected, and cancels its attempt.
    pub(super) fn handle_disconnect(
        &mut self,
        now: Millis,
        request: RequestId,
    ) -> Vec<EntryEffect> {
        let Some(progress) = self.requests.remove(&request) else {
            return Vec::new();
        };
        self.remove_crash_state(request, &progress.arrival.subjects);
        let mut effects = Vec::new();
        if let Some(agent) = &progress.upstream {
            self.router.record_end(now, agent, None, None);
            self.shares.release(&progress.arrival.workspace);
            effects.push(EntryEffect::Cancel(AttemptId { request, number: progress.attempts }));
        }
        effects.extend(self.dispatch_freed(now));
        effects
    }

    /// Rejects a request with a code that is true for all its attempts.
    pub(super) fn refuse(
        &mut self,
        request: RequestId,
        error: impl Into<Error>,
    ) -> Vec<EntryEffect> {
        let mut error = error.into();
        let progress = self.requests.remove(&request);
        if let Some(progress) = &progress {
            self.remove_crash_state(request, &progress.arrival.subjects);
        }
        let unknown_outcome = progress.as_ref().and_then(|it| it.unknown_outcome);
        if let (Some(code), Ran::NotRun) = (unknown_outcome, error.code.ran()) {
            error = Error::new(code, format!("{}; later attempt: {error}", code.meaning()));
        }
        let release = progress.filter(|it| it.holds_claim && error.code.ran() == Ran::NotRun);
        let mut effects = vec![EntryEffect::Refuse { request, error }];
        effects.extend(release.and_then(|it| release_claim(it.arrival)));
        effects.extend(self.drained_effects());
        effects
    }

    /// Gives the slot of a request that has ended to waiting requests.
    pub(super) fn dispatch_freed(&mut self, now: Millis) -> Vec<EntryEffect> {
        let mut effects = self.dispatch(now);
        effects.extend(self.drained_effects());
        effects
    }
}

/// Releases the claim of a request, so that the rejection does not use up its key.
fn release_claim(arrival: Arrival) -> Option<EntryEffect> {
    let Arrival { request, workspace, key, .. } = arrival;
    Some(EntryEffect::Release { request, workspace, key: key? })
}
