//! Handles the results of attempts: updates the state of the runner and decides whether the request
//! is retried.

use fleet::{Mechanism, Millis, ServiceName};
use rand::rngs::SmallRng;

use super::progress::Progress;
use super::queue::QueuePosition;
use super::{ActiveAttempt, Gateway, SelectedRunner};
use crate::event::{AttemptOutcome, Effect, RequestKey};

/// How long a request that may have run already waits for another slot, in milliseconds.
const RESUME_WAIT_MS: u64 = 600;
/// Maximum pause of a runner whose sidecar denied a reservation, in milliseconds.
const MAX_DENIED_PAUSE_MS: u64 = 500;
/// The same for a runner that has a rate limit, in milliseconds: its limit may end meanwhile.
const MAX_RATE_PAUSE_MS: u64 = 2000;
/// Pause of a runner that reported that it is full, in milliseconds.
const FULL_PAUSE_MS: u64 = 60;
/// Maximum number of requests of a gateway that orders at several runners may abort within a short time.
const MAX_ABORTED_TOGETHER: usize = 4;

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
        if outcome == AttemptOutcome::Answered {
            self.note_response_begun(now, key);
            return Vec::new();
        }
        let Some(attempt) = progress.current.take() else {
            return Vec::new();
        };
        let mut effects = self.end_attempt(now, key, &attempt, outcome);
        if outcome.is_complete() {
            self.finish(key);
        } else {
            effects.extend(self.retry_or_end(now, random, key, outcome));
        }
        effects.extend(self.dispatch(now, random));
        effects
    }

    /// Records that the response of the current attempt has begun, which replaces the stalled ones.
    pub(super) fn note_response_begun(&mut self, now: Millis, key: RequestKey) {
        let Some(progress) = self.requests.get_mut(&key) else {
            return;
        };
        let Some(attempt) = progress.current.as_mut() else {
            return;
        };
        progress.may_have_run = true;
        attempt.answered = true;
        let took = now.since(attempt.sent_at);
        let selected = attempt.runner.clone();
        self.pool.note_answered(now, &selected.id, selected.incarnation);
        if let Some(runner) = self.pool.incarnation_mut(&selected.id, selected.incarnation) {
            runner.notices.backoff.note_run(key);
        }
        self.note_wait(now, &selected, took);
        self.replace_stalled(now, key);
    }

    /// Removes a request whose response is complete.
    fn finish(&mut self, key: RequestKey) {
        let Some(mut progress) = self.requests.remove(&key) else {
            return;
        };
        self.crashes.remove(key, &progress.arrival.subjects);
        self.release(key, progress.take_attempts());
    }

    /// Records the end of an attempt that is no longer among those of its request.
    pub(super) fn end_attempt(
        &mut self,
        now: Millis,
        key: RequestKey,
        attempt: &ActiveAttempt,
        outcome: AttemptOutcome,
    ) -> Vec<Effect> {
        let Some(progress) = self.requests.get_mut(&key) else {
            return Vec::new();
        };
        let selected = &attempt.runner;
        let unsent = [AttemptOutcome::Silent, AttemptOutcome::Expired, AttemptOutcome::Withdrawn];
        if matches!(outcome, AttemptOutcome::Denied { .. }) || unsent.contains(&outcome) {
            // Nothing was sent, so this does not count as one of the attempts that the route
            // allows.
            progress.tried.retain(|it| it != &selected.id);
        }
        progress.unreachable += u32::from(outcome == AttemptOutcome::NotSent);
        progress.may_have_run |= !outcome.is_not_run();
        progress.was_denied = matches!(outcome, AttemptOutcome::Denied { .. });
        if let AttemptOutcome::Denied { shortage_ms, .. } = outcome {
            progress.short_ms = progress.short_ms.max(shortage_ms);
        }
        progress.reason = outcome.code();
        let subjects = progress.arrival.subjects.clone();
        let ended_early = matches!(outcome, AttemptOutcome::Lost | AttemptOutcome::FellSilent);
        if ended_early && !attempt.answered {
            self.note_wait(now, selected, now.since(attempt.sent_at));
        }
        self.record_outcome(now, key, attempt, outcome);
        self.note_end(now, &subjects, selected, outcome)
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
        attempt: &ActiveAttempt,
        outcome: AttemptOutcome,
    ) {
        let selected = &attempt.runner;
        let is_suspicion_enabled = self.is_enabled(Mechanism::Suspicion);
        // Results of an earlier incarnation say nothing about the current one.
        let Some(runner) = self.pool.incarnation_mut(&selected.id, selected.incarnation) else {
            return;
        };
        runner.end_request(attempt.is_suspect);
        if outcome.has_ended_well() {
            runner.notices.backoff.note_run(key);
        }
        runner.notices.backoff.note_end(key);
        let is_limited = runner.notices.limit.rate().is_some();
        match outcome {
            AttemptOutcome::Answered
            | AttemptOutcome::Finished
            | AttemptOutcome::EndedWithConnection
            | AttemptOutcome::Unsuccessful => runner.note_response(),
            AttemptOutcome::Full => runner.note_full(now, FULL_PAUSE_MS),
            // The sidecar enforces the rate limit, so it knows when the next reservation is
            // possible.
            AttemptOutcome::Denied { retry_after_ms, .. } if is_limited => {
                runner.note_rate_exhausted(now, retry_after_ms.min(MAX_RATE_PAUSE_MS));
            }
            AttemptOutcome::Denied { retry_after_ms, .. } => {
                runner.note_full(now, retry_after_ms.min(MAX_DENIED_PAUSE_MS));
            }
            AttemptOutcome::Misdirected => self.pool.note_misdirected(now, &selected.id),
            AttemptOutcome::NotSent
            | AttemptOutcome::Lost
            | AttemptOutcome::Cut
            | AttemptOutcome::FellSilent
            | AttemptOutcome::Malformed => {
                if is_suspicion_enabled {
                    runner.note_failure(now);
                }
            }
            AttemptOutcome::Silent => {
                if is_suspicion_enabled {
                    runner.note_silence(now, attempt.sent_at);
                }
            }
            // Its sidecar does not enforce the rate limit, and this gateway has used its share.
            AttemptOutcome::Withdrawn if is_limited => {
                runner.note_rate_exhausted(now, MAX_DENIED_PAUSE_MS);
            }
            AttemptOutcome::Failed
            | AttemptOutcome::OutOfTime
            | AttemptOutcome::Expired
            | AttemptOutcome::Withdrawn
            | AttemptOutcome::VersionDeadlinePassed => {}
        }
        if outcome.has_ended_well() {
            self.pool.note_served(&selected.id);
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
        progress.counts_as_run()
            && progress.sends() < attempts
            && self.chooser().has_untried_runner(now, &progress.arrival, &progress.tried)
    }

    /// Queues a request for another attempt, or ends it.
    pub(super) fn retry_or_end(
        &mut self,
        now: Millis,
        random: &mut SmallRng,
        key: RequestKey,
        outcome: AttemptOutcome,
    ) -> Vec<Effect> {
        // An attempt that never reached a runner causes no load there, so it costs no retry.
        let is_free = !outcome.has_arrived();
        if !self.take_another_attempt(now, key, is_free) {
            return self.finish_without_answer(now, random, key);
        }
        self.enqueue_again(now, key);
        if matches!(outcome, AttemptOutcome::Denied { .. }) {
            return Vec::new();
        }
        vec![Effect::CountRetry(outcome.code())]
    }

    /// Whether a request may be sent to another runner. Takes a retry from the budget unless it is
    /// free.
    pub(super) fn take_another_attempt(
        &mut self,
        now: Millis,
        key: RequestKey,
        is_free: bool,
    ) -> bool {
        let is_barred = self.bar_if_quarantined(now, key);
        let Some(progress) = self.requests.get(&key).filter(|_| !is_barred) else {
            return false;
        };
        let arrival = &progress.arrival;
        let may_repeat = !progress.counts_as_run() || arrival.kind.is_repeatable();
        let has_attempts_left = self.has_attempts_left(now, progress);
        if !may_repeat || !has_attempts_left || now >= arrival.deadline {
            return false;
        }
        let service = arrival.service.clone();
        is_free || self.take_retry(now, &service)
    }

    /// Time left of a request's time limit, in milliseconds, if it is pinned to its current runner: were
    /// it aborted there, it could not be sent to another one.
    pub(super) fn pinned_ms(&mut self, now: Millis, key: RequestKey) -> Option<u64> {
        let arrival = &self.requests.get(&key)?.arrival;
        let (service, left) = (arrival.service.clone(), arrival.deadline.since(now));
        let retries = self.retries_to_move(key, &service);
        let is_movable =
            self.is_repeatable_elsewhere(now, key) && self.has_retries(now, &service, retries);
        (!is_movable).then_some(left.0)
    }

    /// Number of retries that must be left for a request that is not pinned: one for it, and one for each
    /// other request of its service that an order may abort before it ends.
    fn retries_to_move(&self, key: RequestKey, service: &ServiceName) -> u32 {
        let is_under_way = |it: &&Progress| {
            it.arrival.key != key && it.arrival.service == *service && it.current.is_some()
        };
        let others = self.requests.values().filter(is_under_way).take(MAX_ABORTED_TOGETHER - 1);
        1 + others.count() as u32
    }

    /// Whether a request may be sent to another runner after its current one has run it.
    fn is_repeatable_elsewhere(&self, now: Millis, key: RequestKey) -> bool {
        let Some(progress) = self.requests.get(&key) else {
            return false;
        };
        let arrival = &progress.arrival;
        arrival.kind.is_repeatable()
            && progress.sends() < arrival.attempts.max(1)
            && self.chooser().has_untried_runner(now, arrival, &progress.tried)
    }

    /// Queues a request for another attempt.
    pub(super) fn enqueue_again(&mut self, now: Millis, key: RequestKey) {
        let waits_to_resume = self.is_enabled(Mechanism::ResumeWait);
        let Some(progress) = self.requests.get_mut(&key) else {
            return;
        };
        let wait = if progress.counts_as_run() && waits_to_resume { RESUME_WAIT_MS } else { 0 };
        progress.wait_until =
            progress.wait_until.max(now.plus(wait)).min(progress.arrival.deadline);
        let position =
            QueuePosition { priority: 0, is_repeated: progress.yields_to_first_attempts(), key };
        self.queue.insert(position);
    }
}
