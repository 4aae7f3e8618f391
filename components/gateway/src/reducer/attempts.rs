//! Handles the results of attempts: updates the state of the runner and decides whether the request
//! is retried.

use fleet::{Mechanism, Millis};
use rand::rngs::SmallRng;

use super::progress::Progress;
use super::queue::QueuePosition;
use super::{Gateway, SelectedRunner};
use crate::event::{AttemptOutcome, Effect, RequestKey};

/// How long a request that may have run already waits for another slot, in milliseconds.
const RESUME_WAIT_MS: u64 = 600;
/// Maximum pause of a runner whose sidecar denied a reservation, in milliseconds.
const MAX_DENIED_PAUSE_MS: u64 = 500;
/// The same for a runner that has a rate limit, in milliseconds: its limit may end meanwhile.
const MAX_RATE_PAUSE_MS: u64 = 2000;
/// Pause of a runner that reported that it is full, in milliseconds.
const FULL_PAUSE_MS: u64 = 60;

impl Gateway {
    /// Handles the result of an attempt: the request continues, is retried or ends.
    pub(super) fn apply_outcome(
        &mut self,
        now: Millis,
        random: &mut SmallRng,
        key: RequestKey,
        outcome: AttemptOutcome,
    ) -> Vec<Effect> {
        let Some(progress) = self.requests.get_mut(&key) else {
            return Vec::new();
        };
        let Some(selected) = progress.current.clone() else {
            return Vec::new();
        };
        let id = &selected.id;
        if outcome == AttemptOutcome::Answered {
            progress.may_have_run = true;
            progress.answered = true;
            let took = now.since(progress.sent_at);
            self.pool.note_answered(now, &selected.id, selected.incarnation);
            if let Some(runner) = self.pool.incarnation_mut(&selected.id, selected.incarnation) {
                runner.notices.backoff.note_run(key);
            }
            self.note_wait(now, &selected, took);
            return Vec::new();
        }
        progress.current = None;
        let unsent = [AttemptOutcome::Silent, AttemptOutcome::Expired, AttemptOutcome::Withdrawn];
        if matches!(outcome, AttemptOutcome::Denied { .. }) || unsent.contains(&outcome) {
            // Nothing was sent, so this does not count as one of the attempts that the route
            // allows.
            progress.tried.retain(|it| it != id);
        }
        progress.unreachable += u32::from(outcome == AttemptOutcome::NotSent);
        let waited = now.since(progress.sent_at);
        let answered = std::mem::take(&mut progress.answered);
        progress.may_have_run |= !outcome.is_not_run();
        progress.was_denied = matches!(outcome, AttemptOutcome::Denied { .. });
        if let AttemptOutcome::Denied { shortage_ms, .. } = outcome {
            progress.short_ms = progress.short_ms.max(shortage_ms);
        }
        progress.reason = outcome.code();
        let was_suspect = std::mem::take(&mut progress.is_suspect);
        let digest = progress.arrival.digest;
        if outcome == AttemptOutcome::Lost && !answered {
            self.note_wait(now, &selected, waited);
        }
        self.record_outcome(now, key, &selected, outcome, was_suspect);
        let mut effects = self.note_end(now, digest, &selected, outcome);
        if outcome == AttemptOutcome::Finished {
            self.requests.remove(&key);
            self.crashes.remove(key, digest);
            effects.extend(self.dispatch(now, random));
            return effects;
        }
        effects.extend(self.retry_or_end(now, random, key, outcome));
        effects.extend(self.dispatch(now, random));
        effects
    }

    /// Records how long a request waited at a runner.
    fn note_wait(&mut self, now: Millis, selected: &SelectedRunner, waited: Millis) {
        if let Some(runner) = self.pool.incarnation_mut(&selected.id, selected.incarnation) {
            runner.note_first_byte(now, waited);
        }
    }

    /// Records the result of an attempt in the state of its runner.
    fn record_outcome(
        &mut self,
        now: Millis,
        key: RequestKey,
        selected: &SelectedRunner,
        outcome: AttemptOutcome,
        was_suspect: bool,
    ) {
        let is_suspicion_enabled = self.is_enabled(Mechanism::Suspicion);
        // Results of an earlier incarnation say nothing about the current one.
        let Some(runner) = self.pool.incarnation_mut(&selected.id, selected.incarnation) else {
            return;
        };
        runner.end_request(was_suspect);
        if outcome.has_ended_well() {
            runner.notices.backoff.note_run(key);
        }
        runner.notices.backoff.note_end(key);
        let is_limited = runner.notices.limit.rate().is_some();
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Finished => runner.note_response(),
            AttemptOutcome::Full => runner.note_full(now, FULL_PAUSE_MS),
            // The sidecar enforces the rate limit, so it knows when the next reservation is
            // possible.
            AttemptOutcome::Denied { retry_after_ms, .. } if is_limited => {
                runner.note_rate_exhausted(now, retry_after_ms.min(MAX_RATE_PAUSE_MS));
            }
            AttemptOutcome::Denied { retry_after_ms, .. } => {
                runner.note_full(now, retry_after_ms.min(MAX_DENIED_PAUSE_MS));
            }
            AttemptOutcome::Misdirected => runner.misdirected = true,
            AttemptOutcome::NotSent
            | AttemptOutcome::Silent
            | AttemptOutcome::Lost
            | AttemptOutcome::Cut => {
                if is_suspicion_enabled {
                    runner.note_failure(now);
                }
            }
            // Its sidecar does not enforce the rate limit, and this gateway has used its share.
            AttemptOutcome::Withdrawn if is_limited => {
                runner.note_rate_exhausted(now, MAX_DENIED_PAUSE_MS);
            }
            AttemptOutcome::Failed
            | AttemptOutcome::Expired
            | AttemptOutcome::Withdrawn
            | AttemptOutcome::VersionDeadlinePassed => {}
        }
        if outcome.was_answered() {
            self.pool.note_answered(now, &selected.id, selected.incarnation);
        } else if is_suspicion_enabled
            && matches!(outcome, AttemptOutcome::NotSent | AttemptOutcome::Silent)
        {
            self.pool.note_unanswered(now, &selected.id);
        }
    }

    /// Returns whether a request may be sent to another runner. If no runner can have run it, unreachable runners
    /// count as attempts: its caller is refused and can return.
    fn has_attempts_left(&self, now: Millis, progress: &Progress) -> bool {
        let attempts = progress.arrival.attempts.max(1);
        if (progress.tried.len() as u32) < attempts {
            return true;
        }
        progress.may_have_run
            && progress.sends() < attempts
            && self.chooser().has_untried_runner(now, &progress.arrival, &progress.tried)
    }

    /// Queues a request for another attempt, or ends it.
    fn retry_or_end(
        &mut self,
        now: Millis,
        random: &mut SmallRng,
        key: RequestKey,
        outcome: AttemptOutcome,
    ) -> Vec<Effect> {
        let Some(progress) = self.requests.get(&key) else {
            return Vec::new();
        };
        let arrival = &progress.arrival;
        let may_repeat = !progress.may_have_run || arrival.kind.is_repeatable();
        let has_attempts_left = self.has_attempts_left(now, progress);
        let (service, limit) = (arrival.service.clone(), arrival.deadline);
        // An attempt that never reached a runner causes no load there, so it costs no retry.
        let is_free = !outcome.has_arrived();
        if self.bar_if_quarantined(now, key) {
            return self.finish_without_answer(now, random, key);
        }
        if !may_repeat || !has_attempts_left || now >= limit {
            return self.finish_without_answer(now, random, key);
        }
        if !is_free && !self.take_retry(now, &service) {
            return self.finish_without_answer(now, random, key);
        }
        let waits_to_resume = self.is_enabled(Mechanism::ResumeWait);
        let Some(progress) = self.requests.get_mut(&key) else {
            return Vec::new();
        };
        let wait = if progress.may_have_run && waits_to_resume { RESUME_WAIT_MS } else { 0 };
        progress.wait_until =
            progress.wait_until.max(now.plus(wait)).min(progress.arrival.deadline);
        let position =
            QueuePosition { priority: 0, is_repeated: progress.yields_to_first_attempts(), key };
        self.queue.insert(position);
        if matches!(outcome, AttemptOutcome::Denied { .. }) {
            return Vec::new();
        }
        vec![Effect::CountRetry(outcome.code())]
    }
}
