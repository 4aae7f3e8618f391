//! The queue of requests that wait for a slot: which are sent, which keep waiting and which are
//! refused.

use std::collections::BTreeMap;
use std::sync::Arc;

use errors::Code;
use fleet::{Mechanism, Millis};
use quarantine::Admission;
use rand::rngs::SmallRng;
use rand::Rng;

use super::{ActiveAttempt, Gateway, Progress, SelectedRunner};
use crate::choice::Availability;
use crate::event::{Effect, NextStep, RequestKey, RunnerScope, RunnerTarget};

/// Retry delay when the estimate of the shortage is disabled, in milliseconds. For measurements
/// only.
const UNINFORMED_RETRY_DELAY_MS: std::ops::Range<u64> = 250..900;
/// The first reservation query, counted from one, that may wait at a sidecar. Earlier queries go to
/// runners that may have a slot at once.
const FIRST_WAITING_QUERY: u32 = 5;
/// Maximum number of reservation queries for a repeated attempt when sidecars keep their slots for
/// first attempts. They deny at once, and the queried ones are those that seem to have the most free
/// capacity.
const MAX_LATER_TRY_QUERIES: u32 = 4;

/// A position in the queue, ordered by priority, then first attempts before repeated ones, then
/// order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub(super) priority: u8,
    pub(super) is_repeated: bool,
    pub(super) key: RequestKey,
}

/// The decision on a queued request.
enum QueueDecision {
    /// Send it.
    Send(RunnerTarget),
    /// Keep it in the queue.
    Wait,
    /// End it with its final response.
    Finish,
}

/// The reaches that have no slot for a first attempt now, with the time when one of their runners
/// can serve.
type FullScopes = BTreeMap<Arc<RunnerScope>, Availability>;

impl Progress {
    /// Whether another reservation query would only delay it: its waiting time is over, or it is a
    /// repeated attempt and sidecars keep their slots for first attempts.
    fn has_queried_enough(&self, now: Millis) -> bool {
        now >= self.wait_until
            || (self.yields_to_first_attempts() && self.queries >= MAX_LATER_TRY_QUERIES)
    }

    /// Whether first attempts of others are served first. A request that may have run already has
    /// precedence over new ones.
    pub(super) fn yields_to_first_attempts(&self) -> bool {
        self.is_repeated && !self.counts_as_run()
    }

    /// Time left of its target latency, in milliseconds: zero for a repeated attempt, and for
    /// nothing else.
    fn left_ms(&self, now: Millis) -> u64 {
        if self.yields_to_first_attempts() {
            return 0;
        }
        self.on_time_until.since(now).0.max(1)
    }
}

impl Gateway {
    /// Adds a new request to the queue.
    pub(super) fn enqueue(&mut self, key: RequestKey, progress: &Progress) {
        let priority =
            if self.is_enabled(Mechanism::Ranks) { progress.arrival.priority } else { 0 };
        self.queue.insert(QueuePosition { priority, is_repeated: progress.is_repeated, key });
    }

    /// Sends queued requests that have a slot, and refuses those that have waited too long.
    pub(super) fn dispatch(&mut self, now: Millis, random: &mut SmallRng) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut full_scopes = FullScopes::new();
        let positions: Vec<QueuePosition> = self.queue.iter().copied().collect();
        for position in positions {
            match self.decide(now, random, position.key, &mut full_scopes) {
                QueueDecision::Wait => {}
                QueueDecision::Send(target) => {
                    self.queue.remove(&position);
                    effects.push(Effect::Proceed(position.key, NextStep::Send(target)));
                }
                QueueDecision::Finish => {
                    self.queue.remove(&position);
                    effects.extend(self.finish_without_answer(now, random, position.key));
                }
            }
        }
        effects
    }

    /// Decides on a queued request. An unknown request is finished at once.
    fn decide(
        &mut self,
        now: Millis,
        random: &mut SmallRng,
        key: RequestKey,
        full_scopes: &mut FullScopes,
    ) -> QueueDecision {
        let Some(progress) = self.requests.get_mut(&key) else {
            return QueueDecision::Finish;
        };
        if Self::is_barred(&self.crashes, now, key, progress) {
            progress.reason = Code::Quarantined;
            return QueueDecision::Finish;
        }
        if self.resume_hold.is_holding() {
            if now < progress.arrival.deadline {
                return QueueDecision::Wait;
            }
            progress.reason = Code::NotReady;
            return QueueDecision::Finish;
        }
        if progress.was_denied && progress.has_queried_enough(now) {
            if progress.yields_to_first_attempts() {
                progress.reason = Code::LaterTry;
            }
            return QueueDecision::Finish;
        }
        let is_first_attempt = progress.tried.is_empty();
        let scope = progress.scope.clone();
        let known = full_scopes.get(&scope).copied();
        if known.is_none() || !is_first_attempt {
            if let Some(target) = self.choose(now, random, key) {
                return QueueDecision::Send(target);
            }
        }
        let Some(progress) = self.requests.get(&key) else {
            return QueueDecision::Finish;
        };
        let may_have_no_runner =
            progress.arrival.homes.is_bound() || !self.pool.evacuations.is_empty();
        let availability = match known {
            Some(availability) => availability,
            None if is_first_attempt => {
                let availability = self.chooser().availability(now, &progress.arrival);
                full_scopes.insert(scope, availability);
                availability
            }
            // Home regions may have lost their runners, or data halls may have been evacuated,
            // since the first attempt.
            None if may_have_no_runner => self.chooser().availability(now, &progress.arrival),
            None => Availability::Serving,
        };
        if progress.should_stop_waiting(now, availability) {
            QueueDecision::Finish
        } else {
            QueueDecision::Wait
        }
    }

    /// Builds the final response of a request that gets none from a runner. A request with a stalled
    /// attempt goes on without one.
    pub(super) fn finish_without_answer(
        &mut self,
        now: Millis,
        random: &mut SmallRng,
        key: RequestKey,
    ) -> Vec<Effect> {
        let is_stalled = self.requests.get(&key).is_some_and(|it| !it.stalled.is_empty());
        if is_stalled {
            // A silent runner may still go on.
            return Vec::new();
        }
        let Some(progress) = self.requests.remove(&key) else {
            return Vec::new();
        };
        self.crashes.remove(key, &progress.arrival.subjects);
        let admission = self.crashes.still_admits(now, key, &progress.arrival.subjects);
        let step = if progress.may_have_run {
            NextStep::GiveUp(progress.reason)
        } else {
            let chooser = self.chooser();
            let service_state = chooser.service_state(now, &progress.arrival, &progress.tried);
            let availability = chooser.availability(now, &progress.arrival);
            let all_evacuated =
                service_state.runners > 0 && service_state.evacuated == service_state.runners;
            let code = match progress.refusal(availability) {
                // Its home regions, or the crashes it causes, are more specific reasons than the
                // evacuation of all data halls.
                Code::NoHome => Code::NoHome,
                Code::Quarantined => Code::Quarantined,
                _ if all_evacuated => Code::Withdrawn,
                code => code,
            };
            let is_estimated = self.is_enabled(Mechanism::ReturnEstimate);
            let shortage = self.shortages.entry(progress.scope).or_default();
            let retry_after_ms = if let Admission::Refused { retry_after_ms } = admission {
                retry_after_ms
            } else if is_estimated {
                shortage.note_refusal(now, random, availability, progress.short_ms)
            } else {
                random.random_range(UNINFORMED_RETRY_DELAY_MS)
            };
            NextStep::Refuse { code, retry_after_ms, service_state }
        };
        vec![Effect::Proceed(key, step)]
    }

    /// Selects the best runner for a request, if any can take it.
    fn choose(
        &mut self,
        now: Millis,
        random: &mut SmallRng,
        key: RequestKey,
    ) -> Option<RunnerTarget> {
        let progress = self.requests.get(&key)?;
        let (arrival, tried) = (&progress.arrival, &progress.tried);
        let admission = self.crashes.still_admits(now, key, &arrival.subjects);
        let is_suspect = admission == Admission::Admitted { is_suspect: true };
        let (id, selection) = self.chooser().choose(now, random, arrival, tried, is_suspect)?;
        let reserve = self.asks_sidecars(arrival);
        let ablation = self.options.ablation.clone();
        let progress = self.requests.get_mut(&key)?;
        self.cold.take_token(now, &id);
        let has_token = self.limits.take_token(now, &id);
        let runner = self.pool.runner_mut(&id)?;
        runner.begin_request(is_suspect);
        runner.notices.backoff.note_sent(key);
        let address = runner.record.address;
        let limit = runner.limit_to_report(now);
        let selected =
            SelectedRunner { id: id.clone(), incarnation: runner.incarnation, has_token };
        progress.tried.push(id.clone());
        progress.current =
            Some(ActiveAttempt { runner: selected, sent_at: now, answered: false, is_suspect });
        progress.queries += 1;
        // While other runners may have a slot at once, the query does not wait at this one.
        let others_available = progress.queries < FIRST_WAITING_QUERY && selection.candidates > 1;
        let others_available =
            others_available || !ablation.is_enabled(Mechanism::QueuedReservations);
        let wait_ms = if others_available { 0 } else { progress.wait_until.since(now).0 };
        let left_ms = progress.left_ms(now);
        // A request that may have run already has precedence over new ones.
        let ignores_priority = progress.counts_as_run() || !ablation.is_enabled(Mechanism::Ranks);
        let rank = if ignores_priority { 0 } else { progress.arrival.priority };
        let pinned_ms = if reserve { self.pinned_ms(now, key) } else { None };
        Some(RunnerTarget {
            id,
            address,
            reserve,
            rank,
            left_ms,
            wait_ms,
            limit,
            pinned_ms,
            selection,
        })
    }
}
