//! Admission of requests to the runner.

use fleet::{Evacuations, Mechanism, Millis, ReportedLimit};

use super::Rollout;
use crate::cold::ColdStart;
use crate::event::Effect;
use crate::rate::RateLimiter;
use crate::reservation_requests::{ReservationReply, ReservationRequest};
use crate::runner_slots::{Denial, RunnerSlots, MIN_RETRY_MS};
use crate::target::Step;

/// Retry delay if the rate limit of the runner is zero, in milliseconds.
const LIMITED_RETRY_MS: u64 = 1000;
/// How long before the deadline no more requests are started on an older version, in milliseconds.
pub(super) const START_MARGIN_MS: u64 = 900;

impl Rollout {
    /// Answers a reservation request, or queues it.
    pub(super) fn handle_reservation_request(
        &mut self,
        now: Millis,
        reservation: ReservationRequest,
    ) -> Effect {
        let admitted = self.admit(now, &reservation);
        self.record_admission(now, &reservation, admitted);
        let reply = match admitted {
            Ok(()) => {
                self.pinned.add(now, &reservation);
                ReservationReply::Granted
            }
            Err(denial) if self.may_queue(now, &reservation, denial) => {
                self.reservation_queue.push(now, reservation.clone());
                ReservationReply::Queued
            }
            Err(denial) => self.deny(now, denial),
        };
        Effect::Answer(reservation, reply)
    }

    /// Returns whether a reservation request may wait for a slot. It must not wait if the rate limit allows
    /// no slot in time.
    fn may_queue(&self, now: Millis, reservation: &ReservationRequest, denial: Denial) -> bool {
        let slot_in_ms = self.rate.slot_in_ms(now, self.reservation_queue.len());
        let is_in_time = slot_in_ms.is_some_and(|it| it <= reservation.max_wait_ms);
        denial.is_short()
            && is_in_time
            && reservation.max_wait_ms > 0
            && self.reservation_queue.has_room()
    }

    fn admit(&mut self, now: Millis, reservation: &ReservationRequest) -> Result<(), Denial> {
        if reservation.is_repeated() && self.must_yield(now, reservation.rank) {
            return Err(Denial::RepeatedAttempt);
        }
        if self.reservation_queue.must_wait(now, reservation) {
            return Err(Denial::Full);
        }
        self.reserve(now, reservation.prompt_tokens)
    }

    /// Returns whether a repeated attempt must yield to first attempts.
    fn must_yield(&self, now: Millis, rank: u8) -> bool {
        self.is_enabled(Mechanism::FirstTries)
            && self.first_attempts.take_precedence(now, rank)
            && !self.slots.has_spare_slot(now)
    }

    fn record_admission(
        &mut self,
        now: Millis,
        reservation: &ReservationRequest,
        admitted: Result<(), Denial>,
    ) {
        match admitted {
            Ok(()) => self.first_attempts.note_granted(reservation.is_repeated()),
            // A low rate limit of this runner does not indicate how scarce slots are at other runners.
            Err(Denial::Limited) if !reservation.is_repeated() => {
                self.first_attempts.note_denied(now, reservation.rank);
            }
            Err(denial) if denial.is_short() && !reservation.is_repeated() => {
                self.first_attempts.note_denied_in_shortage(now, reservation.rank);
            }
            Err(_) => {}
        }
    }

    /// Answers the queued reservation requests that need not wait any longer.
    pub(super) fn answer_queued(&mut self, now: Millis) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(tokens) = self.reservation_queue.first().map(|it| it.prompt_tokens) {
            match self.reserve(now, tokens) {
                Ok(()) => {
                    let granted = self.reservation_queue.pop();
                    let is_repeated = granted.as_ref().is_some_and(ReservationRequest::is_repeated);
                    self.first_attempts.note_granted(is_repeated);
                    granted.iter().for_each(|it| self.pinned.add(now, it));
                    effects.extend(granted.map(|it| Effect::Answer(it, ReservationReply::Granted)));
                }
                Err(denial) if denial.is_short() => {
                    let reply = self.deny(now, denial);
                    let expired = self.reservation_queue.take_expired(now).into_iter();
                    effects.extend(expired.map(|it| Effect::Answer(it, reply)));
                    break;
                }
                Err(denial) => {
                    let reply = self.deny(now, denial);
                    let all = self.reservation_queue.take_all().into_iter();
                    effects.extend(all.map(|it| Effect::Answer(it, reply)));
                }
            }
        }
        effects
    }

    /// The number of queued reservation requests.
    pub fn queued_requests(&self) -> usize {
        self.reservation_queue.len()
    }

    fn deny(&self, now: Millis, denial: Denial) -> ReservationReply {
        let retry_after_ms = match denial {
            Denial::Cold => self.cold.slot_in_ms(now) + MIN_RETRY_MS,
            Denial::Limited => {
                self.rate.slot_in_ms(now, 0).unwrap_or(LIMITED_RETRY_MS) + MIN_RETRY_MS
            }
            _ => self.slots.retry_delay_ms(now, denial),
        };
        ReservationReply::Denied {
            denial,
            retry_after_ms,
            shortage_ms: self.first_attempts.shortage_ms(now),
        }
    }

    /// Grants a slot at the runner to a request with a prompt of `prompt_tokens` tokens, or returns the
    /// reason for the denial.
    pub fn reserve(&mut self, now: Millis, prompt_tokens: u32) -> Result<(), Denial> {
        if self.is_evacuated(now) {
            return Err(Denial::Evacuated);
        }
        if self.resumed_at.is_some() {
            // It is not known yet whether the hall is evacuated or another version is due.
            return Err(Denial::NoRecentReport);
        }
        if self.runner_leaves {
            return Err(Denial::RunnerLeaves);
        }
        if !self.status.as_ref().is_some_and(|it| !it.is_executing_order && it.version.is_some()) {
            return Err(Denial::NotServing);
        }
        if self.holds_old_version_after_last_order() {
            return Err(Denial::LastOrder);
        }
        if self.is_leaving(now) {
            return Err(Denial::OrderDue);
        }
        if self.is_past_start_deadline(now) {
            return Err(Denial::TooOld);
        }
        if !self.cold.has_slot(now) {
            return Err(Denial::Cold);
        }
        if !self.rate.has_slot(now) {
            return Err(Denial::Limited);
        }
        self.slots.grant(now, prompt_tokens)?;
        self.cold.take_slot(now);
        self.rate.take_slot(now);
        Ok(())
    }

    /// The rate limit of the runner.
    pub fn rate(&self) -> &RateLimiter {
        &self.rate
    }

    /// The runner's rate limit to report to gateways. `None` if the runner has not advertised one recently.
    pub fn limit_to_report(&self, now: Millis) -> Option<ReportedLimit> {
        self.rate.to_report(now, self.incarnation_start())
    }

    /// Start time of the current incarnation of the runner, if it reports one.
    pub(super) fn incarnation_start(&self) -> Option<u64> {
        self.incarnation.and_then(|it| it.born)
    }

    /// Processes a possible change of the rate limit.
    pub(super) fn apply_limit_change(&mut self, now: Millis, is_changed: bool) -> Vec<Effect> {
        if !is_changed {
            return Vec::new();
        }
        let mut effects = vec![Effect::LogLimitChange(self.rate.rate())];
        effects.extend(self.answer_queued(now));
        effects
    }

    /// Time until the cold start and the rate limit of the runner allow another slot, in milliseconds.
    pub fn slot_in_ms(&self, now: Millis) -> u32 {
        let rate_wait_ms = self.rate.slot_in_ms(now, 0).unwrap_or(LIMITED_RETRY_MS);
        u32::try_from(rate_wait_ms.max(self.cold.slot_in_ms(now))).unwrap_or(u32::MAX)
    }

    /// The cold start of the runner.
    pub fn cold(&self) -> &ColdStart {
        &self.cold
    }

    /// Returns whether the runner's data hall is evacuated and no more requests are sent there.
    pub fn is_evacuated(&self, now: Millis) -> bool {
        !self.evacuations.admit(now, &self.options.place.hall)
    }

    /// Returns whether the runner reports that it is leaving. It receives no new requests.
    pub fn runner_leaves(&self) -> bool {
        self.runner_leaves
    }

    /// The evacuated data halls.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns whether this machine sent the latest order of all sidecars while its runner holds an older
    /// version than the newest. If the machine were suspended, a request waiting at the runner would start
    /// later on an outdated version.
    pub(super) fn holds_old_version_after_last_order(&self) -> bool {
        let held_version = self.status.as_ref().and_then(|it| it.version).unwrap_or(0);
        self.is_enabled(Mechanism::LastOrder)
            && self.ordered_at.is_some()
            && held_version < self.newest_announced()
    }

    /// Returns whether an order to the runner is due. The runner receives no new requests until it has
    /// accepted the order, so that none are waiting there when it stops starting requests.
    pub fn is_leaving(&self, now: Millis) -> bool {
        if self.holds_old_version_after_last_order() {
            return true;
        }
        let Some(target) = &self.current else {
            return false;
        };
        match target.step {
            Step::Waiting(at) => now >= at,
            Step::Staging(_) | Step::Ordered(..) => true,
            _ => false,
        }
    }

    /// The slots of the runner.
    pub fn slots(&self) -> &RunnerSlots {
        &self.slots
    }

    /// How long a request that gets a slot now waits at the runner before it starts, in milliseconds. Derived
    /// from the prompts that the runner still has to process and from how long other requests have waited
    /// there.
    fn start_delay_ms(&self, now: Millis) -> u64 {
        let waited = self.waiting_since.map_or(0, |since| now.since(since).0);
        waited.max(self.slots.prompt_backlog_ms(now))
    }

    /// Returns whether a request could start on the runner's version only too close to the deadline or after
    /// it.
    pub(super) fn is_past_start_deadline(&self, now: Millis) -> bool {
        let estimated_start = now.plus(START_MARGIN_MS + self.start_delay_ms(now));
        self.held_deadline().is_some_and(|deadline| estimated_start >= deadline)
    }

    /// The time from which no request may start on the version that the runner holds. It does not depend on
    /// which version is being fetched: if a newer version replaces the one that set the deadline, both
    /// deadlines apply.
    pub(super) fn held_deadline(&self) -> Option<Millis> {
        let held_version = self.status.as_ref().and_then(|it| it.version).unwrap_or(0);
        self.announced.deadline_of(held_version, self.options.version_ms)
    }
}
