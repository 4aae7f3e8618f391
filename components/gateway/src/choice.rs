//! Which runner a request goes to.

use fleet::{InstanceId, Mechanism, Millis, ModelName, Region};
use rand::Rng;

use crate::cold::ColdGates;
use crate::event::{Arrival, GatewayOptions, Seen, Standing};
use crate::home_room::{self, HomeRoom};
use crate::limits::LimitGates;
use crate::pool::Pool;
use crate::runner::Runner;

/// What another hall costs in the comparison, in places of a runner: it keeps requests from going between
/// regions where the own hall serves them as well.
const FAR_PENALTY: f64 = 6.0;
/// What the lack of a fresh report costs, in places of a runner.
const SILENCE_PENALTY: f64 = 4.0;

/// What a runner costs in the comparison when its hall is almost left, in places of a runner: more than any runner
/// with room elsewhere does.
const LEAVING_PENALTY: f64 = 24.0;

/// How long an answer may take to begin for each place that this counts as, in milliseconds.
const FIRST_MS_PER_PLACE: f64 = 100.0;
/// How long a runner may still read other prompts for each place that this counts as, in milliseconds.
const READING_MS_PER_PLACE: f64 = 20.0;
/// How many times the usual wait a request may wait at a runner before it starts.
const START_FACTOR: f64 = 2.0;

/// Requests that may wait at a sidecar for a place.
const MAX_WAITING: u32 = 4;

/// What each suspect at a runner costs another one, in places of a runner: more than the runner is loaded
/// by. Otherwise requests that were cut by one crash would meet at the next runner and be cut again.
const SUSPECT_PENALTY: f64 = 24.0;

/// When some runner of a service serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outlook {
    /// Some runner does now.
    Serving,
    /// The first one will in so many milliseconds.
    ServesIn(u64),
    /// None does, as all of them have said lately, and no sidecar can tell when its runner will.
    NotServing,
    /// All of them name a rate, and the first one takes another request in so many milliseconds.
    Limited(u64),
    /// Not all runners were heard lately whose sidecars are followed.
    Unknown,
}

/// What a choice is made by.
pub struct Chooser<'a> {
    /// The runners.
    pub pool: &'a Pool,
    /// Where the gateway stands and what it goes by.
    pub options: &'a GatewayOptions,
    /// What requests without homes leave to others.
    pub room: &'a HomeRoom,
    /// What may be sent to cold runners that have no sidecar.
    pub cold: &'a ColdGates,
    /// What may be sent to runners that name a rate limit.
    pub limits: &'a LimitGates,
}

impl Chooser<'_> {
    /// The least loaded runner that can run a request and was not tried for it yet. A suspect is kept apart from
    /// others.
    pub fn choose(
        &self,
        now: Millis,
        random: &mut impl Rng,
        arrival: &Arrival,
        tried: &[InstanceId],
        is_suspect: bool,
    ) -> Option<(InstanceId, Seen)> {
        let mut candidates = 0;
        let tight = self.room.tight(now, arrival, &self.options.halls);
        let only_heard = self.has_heard_runner(now, arrival, tried);
        let usable = self.pool.of_service(&arrival.service).filter(|it| {
            !tried.contains(&it.record.id)
                && self.can_run(now, it, arrival)
                && it.notices.admit(now, arrival.key)
                && !(only_heard && self.pool.silent.defers(now, it))
                && self.has_room(now, it, arrival, &tight)
        });
        let usable = usable.inspect(|_| candidates += 1);
        let scored = usable.map(|it| {
            let cost = self.cost(now, it, arrival) + apart_cost(it, is_suspect);
            (cost + random.random::<f64>(), it)
        });
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        let runner = best.map(|(_, it)| it)?;
        let seen = Seen {
            occupancy: runner.occupancy(now),
            report_age_ms: runner.report_age(now).map(|it| it.0),
            candidates,
            homes: arrival.homes.clone(),
        };
        Some((runner.record.id.clone(), seen))
    }

    /// Whether some runner that was not tried yet can run a request, room aside, and is not passed over
    /// because its hall is silent. Where none can, those are tried. That the others are full is no reason:
    /// each silent one costs the wait for an answer of its sidecar.
    fn has_heard_runner(&self, now: Millis, arrival: &Arrival, tried: &[InstanceId]) -> bool {
        let runners = self.pool.of_service(&arrival.service);
        let is_heard = |it: &Runner| {
            !tried.contains(&it.record.id)
                && !self.pool.silent.defers(now, it)
                && self.can_run(now, it, arrival)
                && it.notices.admit(now, arrival.key)
        };
        self.pool.silent.count(now) > 0 && runners.into_iter().any(is_heard)
    }

    /// When some runner that a request may go to can run it, room aside.
    pub fn outlook(&self, now: Millis, arrival: &Arrival) -> Outlook {
        let listed = || self.pool.of_service(&arrival.service);
        let runners = || listed().filter(|it| self.may_wait_for(now, it, arrival));
        if runners().next().is_none() && listed().next().is_some() {
            return Outlook::NotServing;
        }
        if let Some(left) = self.limited_ms(now, arrival) {
            return Outlook::Limited(left);
        }
        let Some(model) = &arrival.model else {
            let back_in = self.back_in_ms(now, arrival).or(self.rested_in_ms(now, arrival));
            return back_in.map_or(Outlook::Serving, Outlook::ServesIn);
        };
        if runners().any(|it| self.can_run(now, it, arrival)) {
            return Outlook::Serving;
        }
        if let Some(left) = self.back_in_ms(now, arrival) {
            return Outlook::ServesIn(left);
        }
        let serves_in = runners().filter_map(|it| self.serves_in_ms(now, it, model)).min();
        if let Some(left) = serves_in.or(self.rested_in_ms(now, arrival)) {
            return Outlook::ServesIn(left);
        }
        let mut ready = runners().filter(|it| it.is_open() && it.is_followed).peekable();
        let all_heard = ready.peek().is_some() && ready.all(|it| it.load(now).is_some());
        if all_heard {
            Outlook::NotServing
        } else {
            Outlook::Unknown
        }
    }

    /// When the first runner takes another request by the rate that it names, where all that could run this one name one, or
    /// have had as many as they take.
    fn limited_ms(&self, now: Millis, arrival: &Arrival) -> Option<u64> {
        let is_fit = |it: &&Runner| {
            let is_busy = it.load(now).is_some_and(|load| load.busy);
            let holds =
                arrival.model.as_ref().is_none_or(|model| self.holds_required(now, it, model));
            self.may_serve(now, it, arrival) && holds && !is_busy
        };
        let fit = || self.pool.of_service(&arrival.service).filter(is_fit);
        let left = fit().map(|it| self.turn_in_ms(now, it, arrival)).min()?;
        // A turn that has come may be somebody else's.
        let all_limited = || fit().all(|it| it.notices.limit.rate().is_some());
        (left > 0 || all_limited()).then_some(left)
    }

    /// When the first of the runners that failed or rest is tried again, where all do that a bound request may go to.
    fn back_in_ms(&self, now: Millis, arrival: &Arrival) -> Option<u64> {
        if !arrival.homes.is_bound() {
            return None;
        }
        let runners = self.pool.of_service(&arrival.service);
        let homes = runners.filter(|it| self.may_serve(now, it, arrival));
        let back_in_ms = |it: &Runner| it.failed_ms(now).max(it.notices.rest.left_ms(now));
        homes.map(back_in_ms).min().filter(|left| *left > 0)
    }

    /// When the first runner has rested, where all want to be left alone that a request may go to.
    fn rested_in_ms(&self, now: Millis, arrival: &Arrival) -> Option<u64> {
        let runners = self.pool.of_service(&arrival.service);
        let open = runners.filter(|it| self.may_serve(now, it, arrival));
        open.map(|it| it.notices.rest.left_ms(now)).min().filter(|left| *left > 0)
    }

    /// Whether a runner may be waited for. For a request that is not bound also one that is leaving or was replaced,
    /// since another one may take its place anywhere.
    fn may_wait_for(&self, now: Millis, runner: &Runner, arrival: &Arrival) -> bool {
        if arrival.homes.is_bound() {
            self.may_serve(now, runner, arrival)
        } else {
            self.is_allowed(now, runner, arrival)
        }
    }

    /// Whether a runner takes requests and may take this one.
    fn may_serve(&self, now: Millis, runner: &Runner, arrival: &Arrival) -> bool {
        runner.is_open() && !runner.misdirected && self.is_allowed(now, runner, arrival)
    }

    /// How the runners of a service stand for a request that was tried at some.
    pub fn standing(&self, now: Millis, arrival: &Arrival, tried: &[InstanceId]) -> Standing {
        let mut standing = Standing { homes: arrival.homes.clone(), ..Standing::default() };
        let tight = self.room.tight(now, arrival, &self.options.halls);
        for runner in self.pool.of_service(&arrival.service) {
            standing.runners += 1;
            let fit = !tried.contains(&runner.record.id) && self.can_run(now, runner, arrival);
            standing.usable += u32::from(fit && self.has_room(now, runner, arrival, &tight));
            let is_left = !self.pool.evacuations.admit(now, &runner.record.hall);
            standing.evacuated += u32::from(is_left);
        }
        standing
    }

    /// Whether a request may be sent to a runner, whatever else it could run: the runner stands in one of the
    /// request's home regions, and its hall is not evacuated.
    pub fn is_allowed(&self, now: Millis, runner: &Runner, arrival: &Arrival) -> bool {
        let hall = &runner.record.hall;
        // A runner that stands nobody knows where takes what is not bound.
        let is_home = |region| arrival.homes.allow(region);
        let may_stand =
            !arrival.homes.is_bound() || self.options.halls.get(hall).is_some_and(is_home);
        may_stand && self.pool.evacuations.admit(now, hall)
    }

    /// Whether a runner is fit for a request, room aside.
    fn can_run(&self, now: Millis, runner: &Runner, arrival: &Arrival) -> bool {
        let is_left_alone = runner.is_suspect(now) || runner.notices.rest.left_ms(now) > 0;
        if is_left_alone || !self.may_serve(now, runner, arrival) {
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
        // What is sent now starts only after a while, and by then the version must still do.
        let start = now.plus((self.usual_first_ms(now, runner) * START_FACTOR) as u64);
        let required = self.pool.required_version(start, model);
        let held = runner.weights(now);
        held.is_some_and(|it| &it.model == model && it.whole && it.version >= required)
    }

    /// When a runner takes requests on a version on which they may start, in milliseconds from now. `None` where
    /// nobody knows.
    fn serves_in_ms(&self, now: Millis, runner: &Runner, model: &ModelName) -> Option<u64> {
        let left = runner.serves_in_ms(now)?;
        (left > 0 || self.holds_required(now, runner, model)).then_some(left)
    }

    fn cost(&self, now: Millis, runner: &Runner, arrival: &Arrival) -> f64 {
        let pace = runner.load(now).map_or(1.0, |load| load.pace.max(1.0));
        let mut cost = f64::from(runner.occupancy(now) + 1) * pace;
        cost += self.usual_first_ms(now, runner) / FIRST_MS_PER_PLACE;
        if self.options.ablation.keeps(Mechanism::ReadingCredit) {
            cost += runner.reading_ms(now) / READING_MS_PER_PLACE;
        }
        let far = runner.record.hall != self.options.hall;
        if far && self.options.ablation.keeps(Mechanism::HallPenalty) {
            cost += FAR_PENALTY;
        }
        cost += LEAVING_PENALTY * self.pool.evacuations.left_share(now, &runner.record.hall);
        if arrival.model.is_some() && runner.load(now).is_none() {
            cost += SILENCE_PENALTY;
        }
        cost
    }

    /// How many places of a runner a request leaves to those that may go nowhere else.
    fn held_back(&self, runner: &Runner, tight: &[&Region]) -> u32 {
        let region = self.options.halls.get(&runner.record.hall);
        let is_tight = region.is_some_and(|it| tight.contains(&it));
        if is_tight {
            home_room::held_back(runner.record.slots)
        } else {
            0
        }
    }

    fn usual_first_ms(&self, now: Millis, runner: &Runner) -> f64 {
        if !self.options.ablation.keeps(Mechanism::SlowStarts) {
            return 0.0;
        }
        runner.usual_first_ms(now)
    }

    /// In how many milliseconds a request may go to a runner as far as the runner's rate goes. Where a sidecar gives the
    /// places it is asked, for it may know more.
    fn turn_in_ms(&self, now: Millis, runner: &Runner, arrival: &Arrival) -> u64 {
        if arrival.model.is_some() && self.options.ablation.keeps(Mechanism::Reservations) {
            runner.turn_in_ms(now)
        } else {
            self.limits.turn_in_ms(now, runner)
        }
    }

    /// Whether a runner may have room, and its turn has come where it is cold. At runners with a sidecar a few
    /// requests may wait for a place there.
    fn has_room(&self, now: Millis, runner: &Runner, arrival: &Arrival, tight: &[&Region]) -> bool {
        let held_back = if tight.is_empty() { 0 } else { self.held_back(runner, tight) };
        let waits_there = arrival.model.is_some() && held_back == 0;
        let waiting = if waits_there { MAX_WAITING } else { 0 };
        let has_place = runner.occupancy(now) + held_back < runner.record.slots + waiting;
        let has_turn = self.turn_in_ms(now, runner, arrival) == 0;
        has_place && has_turn && self.cold.admit(now, runner)
    }
}

/// What the suspects at a runner cost another one.
fn apart_cost(runner: &Runner, is_suspect: bool) -> f64 {
    if is_suspect {
        SUSPECT_PENALTY * f64::from(runner.suspects)
    } else {
        0.0
    }
}
