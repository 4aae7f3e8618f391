//! Selection of a runner for a request.

use fleet::{InstanceId, Mechanism, Millis, ModelName, Region};
use rand::Rng;

use crate::cold::ColdRateShares;
use crate::event::{Arrival, GatewayOptions, SelectionInfo, ServiceState};
use crate::home_demand::{self, HomeDemand};
use crate::limits::LimitRateShares;
use crate::pool::Pool;
use crate::runner::Runner;

/// Cost of a runner in another data hall, in slots of a runner. It keeps requests from crossing
/// regions when the local hall serves them as well.
const OTHER_HALL_PENALTY_SLOTS: f64 = 6.0;
/// Cost of a runner without a recent load report, in slots of a runner.
const NO_REPORT_PENALTY_SLOTS: f64 = 4.0;

/// Maximum cost of a runner whose data hall is being evacuated, in slots of a runner. The cost
/// grows with the elapsed share of the evacuation and exceeds that of any runner with free capacity
/// elsewhere.
const EVACUATION_PENALTY_SLOTS: f64 = 24.0;

/// Expected time to first byte that costs as much as one slot of a runner, in milliseconds.
const FIRST_BYTE_MS_PER_SLOT: f64 = 100.0;
/// Remaining prompt processing time that costs as much as one slot of a runner, in milliseconds.
const PROMPT_MS_PER_SLOT: f64 = 20.0;
/// Factor on the expected time to first byte that bounds how long a request waits at a runner
/// before it starts.
const START_WAIT_FACTOR: f64 = 2.0;

/// Maximum number of requests that may wait at a sidecar for a reservation.
const MAX_WAITING_AT_SIDECAR: u32 = 4;

/// Cost that each suspect request at a runner adds for another suspect, in slots of a runner;
/// higher than the load cost of a runner. Otherwise requests that were cut by the same crash would
/// meet at the next runner and be cut again.
const SUSPECT_PENALTY_SLOTS: f64 = 24.0;

/// When a runner of a service will be able to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// A runner can serve now.
    Serving,
    /// The first runner can serve after this number of milliseconds.
    ServesIn(u64),
    /// No runner can serve, according to recent reports of all of them, and no sidecar knows when
    /// its runner will.
    NotServing,
    /// All runners have a rate limit, and the first of them accepts another request after this
    /// number of milliseconds.
    Limited(u64),
    /// Not all runners whose sidecars are followed have reported recently.
    Unknown,
}

/// Selects runners from the state of a gateway.
pub struct Chooser<'a> {
    /// The known runners.
    pub pool: &'a Pool,
    /// Options of the gateway, including its data hall.
    pub options: &'a GatewayOptions,
    /// Capacity in tight home regions that is held back from requests without home regions.
    pub home_demand: &'a HomeDemand,
    /// Rate shares for cold runners that have no sidecar.
    pub cold: &'a ColdRateShares,
    /// Rate shares for runners that have a rate limit.
    pub limits: &'a LimitRateShares,
}

impl Chooser<'_> {
    /// Selects the least loaded runner that can run a request and was not yet tried for it. Suspect
    /// requests are kept apart from each other.
    pub fn choose(
        &self,
        now: Millis,
        random: &mut impl Rng,
        arrival: &Arrival,
        tried: &[InstanceId],
        is_suspect: bool,
    ) -> Option<(InstanceId, SelectionInfo)> {
        let mut candidates = 0;
        let tight = self.home_demand.tight(now, arrival, &self.options.halls);
        let only_responsive = self.has_responsive_runner(now, arrival, tried);
        let usable = self.pool.of_service(&arrival.service).filter(|it| {
            !tried.contains(&it.record.id)
                && self.can_run(now, it, arrival)
                && it.notices.admit(now, arrival.key)
                && !(only_responsive && self.pool.silent.skips(now, it))
                && self.has_capacity(now, it, arrival, &tight)
        });
        let usable = usable.inspect(|_| candidates += 1);
        let scored = usable.map(|it| {
            let cost = self.cost(now, it, arrival) + suspect_cost(it, is_suspect);
            (cost + random.random::<f64>(), it)
        });
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        let runner = best.map(|(_, it)| it)?;
        let selection = SelectionInfo {
            occupancy: runner.occupancy(now),
            report_age_ms: runner.report_age(now).map(|it| it.0),
            candidates,
            homes: arrival.homes.clone(),
        };
        Some((runner.record.id.clone(), selection))
    }

    /// Whether a runner outside the silent data halls can run a request and was not yet tried,
    /// regardless of free capacity. Runners of silent halls are only tried when there is none. A
    /// lack of capacity at the other runners is no reason to try them, because each attempt costs
    /// the timeout of a silent sidecar.
    fn has_responsive_runner(&self, now: Millis, arrival: &Arrival, tried: &[InstanceId]) -> bool {
        let runners = self.pool.of_service(&arrival.service);
        let is_responsive = |it: &Runner| {
            !tried.contains(&it.record.id)
                && !self.pool.silent.skips(now, it)
                && self.can_run(now, it, arrival)
                && it.notices.admit(now, arrival.key)
        };
        self.pool.silent.count(now) > 0 && runners.into_iter().any(is_responsive)
    }

    /// Whether a runner that a request may use was not yet tried for it, regardless of free capacity.
    pub fn has_untried_runner(&self, now: Millis, arrival: &Arrival, tried: &[InstanceId]) -> bool {
        let mut runners = self.pool.of_service(&arrival.service);
        runners.any(|it| !tried.contains(&it.record.id) && self.may_serve(now, it, arrival))
    }

    /// When a runner that a request may use will be able to run it, regardless of free capacity.
    pub fn availability(&self, now: Millis, arrival: &Arrival) -> Availability {
        let listed = || self.pool.of_service(&arrival.service);
        let runners = || listed().filter(|it| self.may_wait_for(now, it, arrival));
        if runners().next().is_none() && listed().next().is_some() {
            return Availability::NotServing;
        }
        if let Some(left) = self.rate_limited_for_ms(now, arrival) {
            return Availability::Limited(left);
        }
        let Some(model) = &arrival.model else {
            let unpaused_in =
                self.unpaused_in_ms(now, arrival).or(self.backoff_ends_in_ms(now, arrival));
            return unpaused_in.map_or(Availability::Serving, Availability::ServesIn);
        };
        if runners().any(|it| self.can_run(now, it, arrival)) {
            return Availability::Serving;
        }
        if let Some(left) = self.unpaused_in_ms(now, arrival) {
            return Availability::ServesIn(left);
        }
        let serves_in = runners().filter_map(|it| self.serves_in_ms(now, it, model)).min();
        if let Some(left) = serves_in.or(self.backoff_ends_in_ms(now, arrival)) {
            return Availability::ServesIn(left);
        }
        let mut ready = runners().filter(|it| it.is_open() && it.is_followed).peekable();
        let all_reported = ready.peek().is_some() && ready.all(|it| it.load(now).is_some());
        if all_reported {
            Availability::NotServing
        } else {
            Availability::Unknown
        }
    }

    /// When the first runner accepts another request under its rate limit, if all runners that
    /// could run this request have a rate limit or none of them accepts one now.
    fn rate_limited_for_ms(&self, now: Millis, arrival: &Arrival) -> Option<u64> {
        let is_fit = |it: &&Runner| {
            let is_busy = it.load(now).is_some_and(|load| load.busy);
            let holds_version =
                arrival.model.as_ref().is_none_or(|model| self.holds_required(now, it, model));
            self.may_serve(now, it, arrival) && holds_version && !is_busy
        };
        let fit = || self.pool.of_service(&arrival.service).filter(is_fit);
        let left = fit().map(|it| self.rate_allows_in_ms(now, it, arrival)).min()?;
        // Another gateway may send the request that the rate allows now.
        let all_limited = || fit().all(|it| it.notices.limit.rate().is_some());
        (left > 0 || all_limited()).then_some(left)
    }

    /// When the first runner ends its failure pause or backoff, if all runners that a request with
    /// home regions may use are paused.
    fn unpaused_in_ms(&self, now: Millis, arrival: &Arrival) -> Option<u64> {
        if !arrival.homes.is_bound() {
            return None;
        }
        let runners = self.pool.of_service(&arrival.service);
        let allowed = runners.filter(|it| self.may_serve(now, it, arrival));
        let unpaused_in_ms =
            |it: &Runner| it.failure_pause_ms(now).max(it.notices.backoff.left_ms(now));
        allowed.map(unpaused_in_ms).min().filter(|left| *left > 0)
    }

    /// When the first runner ends its backoff, if all runners that a request may use asked for one.
    fn backoff_ends_in_ms(&self, now: Millis, arrival: &Arrival) -> Option<u64> {
        let runners = self.pool.of_service(&arrival.service);
        let open = runners.filter(|it| self.may_serve(now, it, arrival));
        open.map(|it| it.notices.backoff.left_ms(now)).min().filter(|left| *left > 0)
    }

    /// Whether a request may wait for a runner. A request without home regions may also wait for
    /// one that is draining or was replaced, since a new runner may take its place anywhere.
    fn may_wait_for(&self, now: Millis, runner: &Runner, arrival: &Arrival) -> bool {
        if arrival.homes.is_bound() {
            self.may_serve(now, runner, arrival)
        } else {
            self.is_allowed(now, runner, arrival)
        }
    }

    /// Whether a runner accepts requests and this request may use it.
    fn may_serve(&self, now: Millis, runner: &Runner, arrival: &Arrival) -> bool {
        runner.is_open() && !runner.is_misdirected(now) && self.is_allowed(now, runner, arrival)
    }

    /// Counts the listed, usable and evacuated runners of a service for a request; `tried` are the
    /// runners already tried.
    pub fn service_state(
        &self,
        now: Millis,
        arrival: &Arrival,
        tried: &[InstanceId],
    ) -> ServiceState {
        let mut service_state =
            ServiceState { homes: arrival.homes.clone(), ..ServiceState::default() };
        let tight = self.home_demand.tight(now, arrival, &self.options.halls);
        for runner in self.pool.of_service(&arrival.service) {
            service_state.runners += 1;
            let fit = !tried.contains(&runner.record.id) && self.can_run(now, runner, arrival);
            service_state.usable +=
                u32::from(fit && self.has_capacity(now, runner, arrival, &tight));
            let is_evacuated = !self.pool.evacuations.admit(now, &runner.record.hall);
            service_state.evacuated += u32::from(is_evacuated);
        }
        service_state
    }

    /// Whether a request may be sent to a runner by location: the runner is in one of the request's
    /// home regions and its data hall is not evacuated.
    pub fn is_allowed(&self, now: Millis, runner: &Runner, arrival: &Arrival) -> bool {
        let hall = &runner.record.hall;
        // A runner in an unknown region only serves requests without home regions.
        let is_home = |region| arrival.homes.allow(region);
        let is_in_home =
            !arrival.homes.is_bound() || self.options.halls.get(hall).is_some_and(is_home);
        is_in_home && self.pool.evacuations.admit(now, hall)
    }

    /// Whether a runner can run a request, regardless of free capacity.
    fn can_run(&self, now: Millis, runner: &Runner, arrival: &Arrival) -> bool {
        let is_paused = runner.is_paused(now) || runner.notices.backoff.left_ms(now) > 0;
        if is_paused || !self.may_serve(now, runner, arrival) {
            return false;
        }
        let Some(model) = &arrival.model else {
            return true;
        };
        if runner.load(now).is_some_and(|load| load.busy) {
            return false;
        }
        self.holds_required(now, runner, model)
    }

    /// Whether a runner holds a version on which a request may start.
    fn holds_required(&self, now: Millis, runner: &Runner, model: &ModelName) -> bool {
        // A request that is sent now starts later; the version must still be allowed then.
        let start = now.plus((self.expected_first_byte_ms(now, runner) * START_WAIT_FACTOR) as u64);
        let required = self.pool.required_version(start, model);
        let held = runner.weights(now);
        held.is_some_and(|it| &it.model == model && it.whole && it.version >= required)
    }

    /// When a runner accepts requests on a version on which they may start, in milliseconds from
    /// now. `None` if unknown.
    fn serves_in_ms(&self, now: Millis, runner: &Runner, model: &ModelName) -> Option<u64> {
        let left = runner.serves_in_ms(now)?;
        (left > 0 || self.holds_required(now, runner, model)).then_some(left)
    }

    fn cost(&self, now: Millis, runner: &Runner, arrival: &Arrival) -> f64 {
        let pace = runner.load(now).map_or(1.0, |load| load.pace.max(1.0));
        let mut cost = (f64::from(runner.occupancy(now)) + 1.0) * pace;
        cost += self.expected_first_byte_ms(now, runner) / FIRST_BYTE_MS_PER_SLOT;
        if self.options.ablation.is_enabled(Mechanism::ReadingCredit) {
            cost += runner.reading_ms(now) / PROMPT_MS_PER_SLOT;
        }
        let is_other_hall = runner.record.hall != self.options.hall;
        if is_other_hall && self.options.ablation.is_enabled(Mechanism::HallPenalty) {
            cost += OTHER_HALL_PENALTY_SLOTS;
        }
        cost += EVACUATION_PENALTY_SLOTS * self.pool.evacuations.progress(now, &runner.record.hall);
        if arrival.model.is_some() && runner.load(now).is_none() {
            cost += NO_REPORT_PENALTY_SLOTS;
        }
        cost
    }

    /// How many slots of a runner a request leaves to requests that are bound to the runner's
    /// region.
    fn held_back(&self, runner: &Runner, tight: &[&Region]) -> u32 {
        let region = self.options.halls.get(&runner.record.hall);
        let is_tight = region.is_some_and(|it| tight.contains(&it));
        if is_tight {
            home_demand::held_back(runner.record.slots)
        } else {
            0
        }
    }

    fn expected_first_byte_ms(&self, now: Millis, runner: &Runner) -> f64 {
        if !self.options.ablation.is_enabled(Mechanism::SlowStarts) {
            return 0.0;
        }
        runner.expected_first_byte_ms(now)
    }

    /// In how many milliseconds a request may be sent to a runner under its rate limit. If a
    /// sidecar grants reservations, the sidecar's answer is used because it may know more.
    fn rate_allows_in_ms(&self, now: Millis, runner: &Runner, arrival: &Arrival) -> u64 {
        if arrival.model.is_some() && self.options.ablation.is_enabled(Mechanism::Reservations) {
            runner.rate_allows_in_ms(now)
        } else {
            self.limits.rate_allows_in_ms(now, runner)
        }
    }

    /// Whether a runner may have free capacity, and may be sent another request if it is cold or
    /// rate limited. At runners with a sidecar a few requests may wait for a reservation.
    fn has_capacity(
        &self,
        now: Millis,
        runner: &Runner,
        arrival: &Arrival,
        tight: &[&Region],
    ) -> bool {
        let held_back = if tight.is_empty() { 0 } else { self.held_back(runner, tight) };
        let may_wait_at_sidecar = arrival.model.is_some() && held_back == 0;
        let extra = if may_wait_at_sidecar { MAX_WAITING_AT_SIDECAR } else { 0 };
        let taken = runner.occupancy(now).saturating_add(held_back);
        let has_slot = taken < runner.record.slots.saturating_add(extra);
        let has_token = self.rate_allows_in_ms(now, runner, arrival) == 0;
        has_slot && has_token && self.cold.admit(now, runner)
    }
}

/// The cost that the suspect requests at a runner add for another suspect.
fn suspect_cost(runner: &Runner, is_suspect: bool) -> f64 {
    if is_suspect {
        SUSPECT_PENALTY_SLOTS * f64::from(runner.suspects)
    } else {
        0.0
    }
}
