//! Attempts whose runners are silent.
//!
//! A sound runner may fall silent for a while and go on, so silence ends no attempt. The request is
//! sent to another runner while the silent one keeps it, and the first response that goes on serves
//! the caller. If no other runner can take the request, it waits for the silent one.

use errors::Code;
use fleet::{InstanceId, Millis};
use rand::rngs::SmallRng;

use super::{ActiveAttempt, Gateway};
use crate::event::{AttemptOutcome, Effect, RequestKey, StalledEvent};
use crate::notices::Notice;

impl Gateway {
    /// Handles the silence of the runner of the current attempt.
    pub(super) fn stall(
        &mut self,
        now: Millis,
        random: &mut SmallRng,
        key: RequestKey,
    ) -> Vec<Effect> {
        let progress = self.requests.get_mut(&key);
        let Some(progress) = progress.filter(|it| it.arrival.kind.is_repeatable()) else {
            return Vec::new();
        };
        let Some(attempt) = progress.current.take() else {
            return Vec::new();
        };
        progress.stalled.push(attempt);
        if !self.take_another_attempt(now, key, false) {
            return Vec::new();
        }
        self.enqueue_again(now, key);
        let mut effects = vec![Effect::CountRetry(Code::TimedOut)];
        effects.extend(self.dispatch(now, random));
        effects
    }

    /// Handles what became of a stalled attempt.
    pub(super) fn apply_stalled_event(
        &mut self,
        now: Millis,
        random: &mut SmallRng,
        key: RequestKey,
        runner: &InstanceId,
        event: StalledEvent,
    ) -> Vec<Effect> {
        match event {
            StalledEvent::Continued { is_other_sent } => {
                self.continue_stalled(now, random, key, runner, is_other_sent)
            }
            StalledEvent::Notice(notice) => self.apply_stalled_notice(now, key, runner, notice),
            StalledEvent::Ended(outcome) => self.end_stalled(now, random, key, runner, outcome),
        }
    }

    /// Makes a stalled attempt the current one. The attempt that was sent after it has done nothing
    /// wrong and is withdrawn.
    fn continue_stalled(
        &mut self,
        now: Millis,
        random: &mut SmallRng,
        key: RequestKey,
        runner: &InstanceId,
        is_other_sent: bool,
    ) -> Vec<Effect> {
        let Some(progress) = self.requests.get_mut(&key) else {
            return Vec::new();
        };
        let Some(attempt) = progress.take_stalled(runner) else {
            return Vec::new();
        };
        let has_begun = attempt.answered;
        let withdrawn = progress.current.replace(attempt);
        if let Some(unsent) = withdrawn.as_ref().filter(|_| !is_other_sent) {
            progress.tried.retain(|it| it != &unsent.runner.id);
        }
        self.queue.retain(|position| position.key != key);
        self.release(key, withdrawn);
        if has_begun {
            self.replace_stalled(now, key);
        } else {
            self.note_response_begun(now, key);
        }
        self.dispatch(now, random)
    }

    fn apply_stalled_notice(
        &mut self,
        now: Millis,
        key: RequestKey,
        runner: &InstanceId,
        notice: Notice,
    ) -> Vec<Effect> {
        let progress = self.requests.get(&key);
        let attempt = progress.and_then(|it| it.stalled.iter().find(|it| &it.runner.id == runner));
        match attempt.cloned() {
            Some(attempt) => self.apply_attempt_notice(now, &attempt, notice),
            None => Vec::new(),
        }
    }

    /// Handles the end of a stalled attempt. Unless another attempt is on its way, the request is
    /// retried or ends.
    fn end_stalled(
        &mut self,
        now: Millis,
        random: &mut SmallRng,
        key: RequestKey,
        runner: &InstanceId,
        outcome: AttemptOutcome,
    ) -> Vec<Effect> {
        let Some(progress) = self.requests.get_mut(&key) else {
            return Vec::new();
        };
        let Some(attempt) = progress.take_stalled(runner) else {
            return Vec::new();
        };
        let is_sent = progress.current.is_some();
        let mut effects = self.end_attempt(now, key, &attempt, outcome);
        let is_queued = self.queue.iter().any(|position| position.key == key);
        if !is_sent && !is_queued {
            effects.extend(self.retry_or_end(now, random, key, outcome));
        }
        effects.extend(self.dispatch(now, random));
        effects
    }

    /// Ends the stalled attempts of a request, because its current one has a response.
    pub(super) fn replace_stalled(&mut self, now: Millis, key: RequestKey) {
        let Some(progress) = self.requests.get_mut(&key) else {
            return;
        };
        for attempt in std::mem::take(&mut progress.stalled) {
            // An attempt that was replaced ends without effects.
            self.end_attempt(now, key, &attempt, AttemptOutcome::FellSilent);
        }
    }

    /// Frees the runners of attempts that end without a result.
    pub(super) fn release(
        &mut self,
        key: RequestKey,
        attempts: impl IntoIterator<Item = ActiveAttempt>,
    ) {
        for attempt in attempts {
            let selected = &attempt.runner;
            let runner = self.pool.incarnation_mut(&selected.id, selected.incarnation);
            if let Some(runner) = runner {
                runner.end_request(attempt.is_suspect);
                runner.notices.backoff.note_end(key);
            }
        }
    }
}
