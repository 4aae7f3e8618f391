//! How tries of a request end, and whether another one follows.

use errors::{Code, Error, Ran};
use fleet::Millis;
use wire::Load;

use super::requests::Progress;
use super::{AttemptId, Entry, EntryEffect, Failure};

/// Tries of one request at most, the first included.
const MOST_TRIES: u32 = 4;

impl Entry {
    /// Notes that a part of the answer went to the caller, so that it is not tried elsewhere.
    pub(super) fn start(&mut self, attempt: AttemptId) {
        if let Some(progress) = self.requests.get_mut(&attempt.request) {
            progress.started = true;
        }
    }

    /// A try was answered whole.
    pub(super) fn end(&mut self, now: Millis, attempt: AttemptId, load: Load) -> Vec<EntryEffect> {
        let Some(progress) = self.take_current(attempt) else {
            return Vec::new();
        };
        if let Some(agent) = &progress.at {
            self.router.record_end(now, agent, Some(load), None);
            self.shares.give_back(&progress.arrival.workspace);
        }
        let mut effects = self.note_whole(now, progress.arrival.digest);
        self.note_gone(attempt.request, progress.arrival.digest);
        effects.extend(self.after_end(now));
        effects
    }

    /// A try failed: the request is tried again, or its caller is told.
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
            self.router.record_end(now, &agent, failure.load, Some(failure.code));
            self.router.exclude(now, &agent, failure.retry_after_ms);
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
        if self.retries.take_retry() {
            Ok(())
        } else if certain {
            Err(Code::RetryBudget)
        } else {
            Err(code)
        }
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
