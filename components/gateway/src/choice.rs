//! Which runner a request goes to.

use fleet::{InstanceId, Mechanism, Millis, ModelName};
use rand::Rng;

use crate::event::{Arrival, GatewayOptions, Seen, Standing};
use crate::pool::Pool;
use crate::runner::{Runner, RunnerState};

/// What another hall costs in the comparison, in places of a runner. With 12 runners in three halls 6 sends a tenth less
/// between regions than 2 and serves as well; 16 sends no less than 6.
const FAR_PENALTY: f64 = 6.0;
/// What the lack of a fresh report costs, in places of a runner.
const SILENCE_PENALTY: f64 = 4.0;

/// How long an answer may take to begin for each place that this counts as, in milliseconds.
const FIRST_MS_PER_PLACE: f64 = 100.0;
/// How long a runner may still read other prompts for each place that this counts as, in milliseconds.
const READING_MS_PER_PLACE: f64 = 20.0;
/// How many times the usual wait a request may wait at a runner before it starts.
const START_FACTOR: f64 = 2.0;

/// Requests that may wait at a sidecar for a place.
const MAX_WAITING: u32 = 4;

/// When some runner of a service serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outlook {
    /// Some runner does now.
    Serving,
    /// The first one will in so many milliseconds.
    ServesIn(u64),
    /// None does, as all of them have said lately, and no sidecar can tell when its runner will.
    NotServing,
    /// Not all runners were heard lately.
    Unknown,
}

/// What a choice is made by.
pub struct Chooser<'a> {
    /// The runners.
    pub pool: &'a Pool,
    /// Where the gateway stands and what it goes by.
    pub options: &'a GatewayOptions,
}

impl Chooser<'_> {
    /// The least loaded runner that can run a request and was not tried for it yet.
    pub fn choose(
        &self,
        now: Millis,
        random: &mut impl Rng,
        arrival: &Arrival,
        tried: &[InstanceId],
    ) -> Option<(InstanceId, Seen)> {
        let mut candidates = 0;
        let only_heard = self.has_heard_runner(now, arrival);
        let usable = self.pool.of_service(&arrival.service).filter(|it| {
            !tried.contains(&it.record.id)
                && self.can_run(now, it, arrival)
                && !(only_heard && self.pool.silent.defers(now, it))
                && has_room(now, it, arrival)
        });
        let usable = usable.inspect(|_| candidates += 1);
        let scored = usable.map(|it| (self.cost(now, it, arrival) + random.random::<f64>(), it));
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        let runner = best.map(|(_, it)| it)?;
        let seen = Seen {
            occupancy: runner.occupancy(now),
            report_age_ms: runner.report_age(now).map(|it| it.0),
            candidates,
        };
        Some((runner.record.id.clone(), seen))
    }

    /// Whether some runner can run a request, room aside, that is not passed over because its hall is silent. Where
    /// none can, those are tried. That the others are full is no reason: each silent one costs 45 ms.
    fn has_heard_runner(&self, now: Millis, arrival: &Arrival) -> bool {
        let runners = self.pool.of_service(&arrival.service);
        self.pool.silent.count(now) > 0
            && runners
                .into_iter()
                .any(|it| !self.pool.silent.defers(now, it) && self.can_run(now, it, arrival))
    }

    /// When some runner of a request's service can run it, room aside.
    pub fn outlook(&self, now: Millis, arrival: &Arrival) -> Outlook {
        let runners = || self.pool.of_service(&arrival.service);
        let Some(model) = &arrival.model else {
            return Outlook::Serving;
        };
        if runners().any(|it| self.can_run(now, it, arrival)) {
            return Outlook::Serving;
        }
        if let Some(left) = runners().filter_map(|it| self.serves_in_ms(now, it, model)).min() {
            return Outlook::ServesIn(left);
        }
        let mut ready = runners().filter(|it| it.record.state == RunnerState::Ready).peekable();
        let all_heard = ready.peek().is_some() && ready.all(|it| it.load(now).is_some());
        if all_heard {
            Outlook::NotServing
        } else {
            Outlook::Unknown
        }
    }

    /// How the runners of a service stand for a request that was tried at some.
    pub fn standing(&self, now: Millis, arrival: &Arrival, tried: &[InstanceId]) -> Standing {
        let mut standing = Standing::default();
        for runner in self.pool.of_service(&arrival.service) {
            standing.runners += 1;
            let fit = !tried.contains(&runner.record.id) && self.can_run(now, runner, arrival);
            standing.usable += u32::from(fit && has_room(now, runner, arrival));
        }
        standing
    }

    /// Whether a request may be sent to a runner, whatever else it could run: the runner stands in one of the
    /// request's home regions, and its hall is not evacuated.
    pub fn is_allowed(&self, runner: &Runner, arrival: &Arrival) -> bool {
        let hall = &runner.record.hall;
        let is_home = match self.options.halls.get(hall) {
            Some(region) => arrival.homes.allow(region),
            // Nobody knows where it stands.
            None => !arrival.homes.is_bound(),
        };
        is_home && self.pool.evacuations.admit(hall)
    }

    /// Whether a runner is fit for a request, room aside.
    fn can_run(&self, now: Millis, runner: &Runner, arrival: &Arrival) -> bool {
        if runner.record.state != RunnerState::Ready || runner.misdirected {
            return false;
        }
        if runner.is_suspect(now) || !self.is_allowed(runner, arrival) {
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
        if arrival.model.is_some() && runner.load(now).is_none() {
            cost += SILENCE_PENALTY;
        }
        cost
    }

    fn usual_first_ms(&self, now: Millis, runner: &Runner) -> f64 {
        if !self.options.ablation.keeps(Mechanism::SlowStarts) {
            return 0.0;
        }
        runner.usual_first_ms(now)
    }
}

/// Whether a runner may have room. At runners with a sidecar a few requests may wait for a place there.
fn has_room(now: Millis, runner: &Runner, arrival: &Arrival) -> bool {
    let waiting = if arrival.model.is_some() { MAX_WAITING } else { 0 };
    runner.occupancy(now) < runner.record.slots + waiting
}
