//! The end of attempts, and whether another one follows.

use errors::{Code, Error, Ran};
use fleet::Millis;
use wire::Load;

use super::requests::Progress;
use super::{AttemptId, Entry, EntryEffect, Failure};

/// Most attempts of one request, including the first.
const MAX_ATTEMPTS: u32 = 4;

impl Entry {
    /// Records that part of the answer has been sent to the caller, so that the request is not retried.
    pub(super) fn record_answer_start(&mut self, attempt: AttemptId) {
        if let Some(progress) = self.requests.get_mut(&attempt.request) {
            progress.answer_started = true;
        }
    }

    /// Handles that an attempt was answered completely.
    pub(super) fn complete_attempt(
        &mut self,
        now: Millis,
        attempt: AttemptId,
        load: Load,
    ) -> Vec<EntryEffect> {
        let Some(progress) = self.remove_current(attempt) else {
            return Vec::new();
        };
        if let Some(agent) = &progress.upstream {
            self.router.record_end(now, agent, Some(load), None);
            self.shares.release(&progress.arrival.workspace);
        }
        let mut effects = self.record_success(now, &progress.arrival.subjects);
        self.remove_crash_state(attempt.request, &progress.arrival.subjects);
        effects.extend(self.dispatch_freed(now));
        effects
    }

    /// Handles a failed attempt: retries the request or reports the failure to the caller.
    pub(super) fn fail_attempt(
        &mut self,
        now: Millis,
        attempt: AttemptId,
        failure: Failure,
    ) -> Vec<EntryEffect> {
        let Some(mut progress) = self.remove_current(attempt) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        if let Some(agent) = progress.upstream.take() {
            self.router.record_end(now, &agent, failure.load, Some(failure.code));
            self.router.exclude(now, &agent, failure.retry_after_ms);
            self.shares.release(&progress.arrival.workspace);
            effects = self.record_failure(now, &progress.arrival.subjects, &agent, failure.code);
        }
        if failure.code.ran() == Ran::Unknown {
            progress.unknown_outcome = Some(failure.code);
        }
        let request = attempt.request;
        let is_barred = self.is_barred(now, request, &progress.arrival.subjects);
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
        effects.extend(self.dispatch_freed(now));
        effects
    }

    /// Whether a failed attempt may be followed by another one; if not, returns the code for the caller.
    fn may_retry(&mut self, progress: &Progress, code: Code) -> Result<(), Code> {
        let certainly_not_run = code.ran() == Ran::NotRun;
        // An upstream that is at its limit or leaving has not failed. The request keeps waiting until its
        // wait ends, and the router does not send it there again.
        let is_unavailable = matches!(code, Code::Overloaded | Code::Leaving | Code::Stopping);
        if is_unavailable && !progress.answer_started {
            return Ok(());
        }
        let allowed =
            !progress.answer_started && (certainly_not_run || progress.arrival.repeatable);
        if !allowed || !is_transient(code) || progress.attempts >= MAX_ATTEMPTS {
            return Err(code);
        }
        if self.retries.take_retry() {
            Ok(())
        } else if certainly_not_run {
            Err(Code::RetryBudget)
        } else {
            Err(code)
        }
    }

    /// Removes and returns the request of an attempt if the attempt is its current one. Late answers of
    /// earlier attempts find nothing.
    fn remove_current(&mut self, attempt: AttemptId) -> Option<Progress> {
        let progress = self.requests.get(&attempt.request)?;
        if progress.attempts != attempt.number || progress.upstream.is_none() {
            return None;
        }
        self.requests.remove(&attempt.request)
    }
}

/// Whether another upstream may succeed after this code.
fn is_transient(code: Code) -> bool {
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
            | Code::UpstreamFailed
    )
}
