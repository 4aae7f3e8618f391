//! The reducer of a gateway.

mod attempts;
mod cold;
mod crashes;
mod followed_sidecars;
mod limits;
mod progress;
mod queue;
mod send_checks;
mod stalled;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use errors::Code;
use fleet::{
    AnnouncedVersion, EvacuationChange, EvacuationList, Hall, IncarnationChange, InstanceId,
    Mechanism, Millis, ServiceName,
};
use quarantine::Crashes;
use rand::rngs::SmallRng;
use rand::SeedableRng;

use self::progress::{ActiveAttempt, Progress, SelectedRunner};
use self::queue::QueuePosition;
use crate::budget::{BudgetLimits, RetryBudget};
use crate::catalog::Catalog;
use crate::choice::Chooser;
use crate::cold::ColdRateShares;
use crate::event::{
    Arrival, Effect, Event, GatewayOptions, IncarnationEvent, RequestKey, RunnerScope,
};
use crate::home_demand::HomeDemand;
use crate::home_faults::{self, HomeFault};
use crate::limits::LimitRateShares;
use crate::members::GatewayMembers;
use crate::notices::Notice;
use crate::pool::Pool;
use crate::repeated_attempts::UsualDeadlines;
use crate::resume_hold::ResumeHold;
use crate::retry_delay::Shortage;

/// Part of its target latency that a request may wait for a slot: an earlier refusal leaves the
/// caller time to come back.
const MAX_WAIT_SHARE: f64 = 0.22;
/// How much longer a request that was held after a process pause may wait for a slot, in
/// milliseconds: as long as a request with a target latency of 500 ms.
const WAIT_AFTER_HOLD_MS: u64 = 110;
/// Part of the retry ratio that is used, as a margin for what cannot be counted exactly.
const RETRY_RATIO_SHARE: f64 = 0.75;

/// The state of a gateway.
pub struct Gateway {
    options: GatewayOptions,
    catalog: Option<Arc<Catalog>>,
    pool: Pool,
    members: GatewayMembers,
    cold: ColdRateShares,
    limits: LimitRateShares,
    budgets: BTreeMap<ServiceName, RetryBudget>,
    shortages: BTreeMap<Arc<RunnerScope>, Shortage>,
    /// Faults of the home regions in the current configuration.
    home_faults: Vec<HomeFault>,
    home_demand: HomeDemand,
    usual_deadlines: UsualDeadlines,
    crashes: Crashes<RequestKey>,
    requests: BTreeMap<RequestKey, Progress>,
    queue: BTreeSet<QueuePosition>,
    resume_hold: ResumeHold,
}

impl Gateway {
    /// Creates a gateway with an empty state.
    pub fn new(options: GatewayOptions) -> Self {
        Self {
            pool: Pool::new(&options),
            members: GatewayMembers::new(options.budget_window_ms),
            cold: ColdRateShares::default(),
            limits: LimitRateShares::default(),
            options,
            catalog: None,
            budgets: BTreeMap::new(),
            shortages: BTreeMap::new(),
            home_faults: Vec::new(),
            home_demand: HomeDemand::default(),
            usual_deadlines: UsualDeadlines::default(),
            crashes: Crashes::default(),
            requests: BTreeMap::new(),
            queue: BTreeSet::new(),
            resume_hold: ResumeHold::default(),
        }
    }

    /// The current configuration.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// The data hall of the gateway.
    pub fn hall(&self) -> &Hall {
        &self.options.hall
    }

    /// The known runners.
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// The known gateways.
    pub fn members(&self) -> &GatewayMembers {
        &self.members
    }

    /// The announced versions of each model whose version deadlines still apply, as reported to
    /// other processes.
    pub fn announced_versions(&self, now: Millis) -> Vec<AnnouncedVersion> {
        let mut announced = self.pool.announced_versions(now);
        if !self.options.ablation.is_enabled(Mechanism::VersionAges) {
            announced.iter_mut().for_each(|it| (it.age_ms, it.after_ms) = (None, None));
        }
        announced
    }

    /// Whether a runner is known to have a rate limit.
    pub fn is_limited(&self, runner: &InstanceId) -> bool {
        self.pool.runner(runner).is_some_and(|it| it.notices.limit.rate().is_some())
    }

    /// Whether a request needs a reservation from the sidecar of its runner.
    fn asks_sidecars(&self, arrival: &Arrival) -> bool {
        arrival.model.is_some() && self.is_enabled(Mechanism::Reservations)
    }

    /// Faults of the home regions in the current configuration.
    pub fn home_faults(&self) -> &[HomeFault] {
        &self.home_faults
    }

    /// The number of tight home regions, summed over all services.
    pub fn tight_homes(&self, now: Millis) -> usize {
        self.home_demand.count_tight(now, &self.options.halls)
    }

    /// The evacuated data halls, as reported to other processes.
    pub fn evacuations(&self, now: Millis) -> EvacuationList {
        self.pool.evacuations.list(now)
    }

    /// The numbers of active requests and of those that wait for a slot.
    pub fn load(&self) -> (usize, usize) {
        (self.requests.len(), self.queue.len())
    }

    /// Handles an event.
    pub fn reduce(&mut self, now: Millis, seed: u64, event: Event) -> Vec<Effect> {
        let mut random = SmallRng::seed_from_u64(seed);
        match event {
            Event::Configured(catalog) => {
                let known = self.catalog.as_ref().map_or(0, |it| it.version);
                if catalog.version <= known {
                    return Vec::new();
                }
                let mut effects = self.configure(catalog);
                effects.extend(self.dispatch(now, &mut random));
                effects
            }
            Event::OptionsChanged(options) => {
                self.pool.set_version_ms(options.version_ms);
                self.pool.evacuations.set_deadline(options.evacuate_ms, &options.ablation);
                self.options = options;
                self.members.set_window(now, self.options.budget_window_ms);
                if let Some(catalog) = self.catalog.clone() {
                    self.note_cold_services(&catalog);
                }
                // Requests and retries already counted still count against the new limits.
                let limits = self.budget_limits(now);
                self.budgets.values_mut().for_each(|it| it.set_limits(limits));
                self.dispatch(now, &mut random)
            }
            Event::VersionAnnounced(announced) => {
                self.pool.announce_version(now, announced);
                Vec::new()
            }
            Event::Evacuations(list) => {
                let changes = self.pool.evacuations.take(now, &list);
                let mut effects = self.note_evacuations(now, changes);
                if !effects.is_empty() {
                    effects.extend(self.dispatch(now, &mut random));
                }
                effects
            }
            Event::Resumed => {
                self.resume_hold.begin(now);
                Vec::new()
            }
            Event::TableConfirmed(table, queries) => {
                if !self.resume_hold.confirm(table, queries) {
                    return Vec::new();
                }
                self.resume_after_hold(now, &mut random)
            }
            Event::ListConfirmed => {
                self.pool.end_cold_doubts(now);
                Vec::new()
            }
            Event::Listed(record) => {
                let events = self.pool.list(now, record);
                let mut effects = self.handle_incarnation_events(events);
                effects.extend(self.dispatch(now, &mut random));
                effects
            }
            Event::Unlisted(id) => {
                self.pool.unlist(now, &id);
                self.cold.close(&id);
                Vec::new()
            }
            Event::Load(address, load) => {
                let events = self.pool.apply_load(now, address, load);
                let mut effects = self.handle_incarnation_events(events);
                effects.extend(self.dispatch(now, &mut random));
                effects
            }
            Event::LimitReported(address, reported) => {
                let changes = self.pool.apply_limit(now, address, reported);
                self.note_limits(now, changes)
            }
            Event::Limits(reported) => self.apply_limits(now, &reported),
            Event::Gateways(list) => {
                self.members.merge(now, list);
                Vec::new()
            }
            Event::Crashes(list) => self.merge_crashes(now, &mut random, &list),
            Event::QuarantineRecorded(digest) => {
                self.crashes.ledger.note_recorded(now, digest);
                Vec::new()
            }
            Event::Arrived(arrival) => self.arrive(now, &mut random, arrival),
            Event::NoticeReceived(key, notice) => self.apply_notice(now, key, notice),
            Event::Attempt(key, outcome) => self.apply_outcome(now, &mut random, key, outcome),
            Event::Stalled(key) => self.stall(now, &mut random, key),
            Event::StalledAttempt(key, runner, event) => {
                self.apply_stalled_event(now, &mut random, key, &runner, event)
            }
            Event::RequestEnded(key) => self.end(now, &mut random, key),
            Event::Tick => {
                self.run_periodic_checks(now);
                self.update_cold_shares(now);
                self.update_limit_shares(now);
                let mut effects = self.classify_crashes(now);
                if self.resume_hold.end_if_over(now) {
                    effects.extend(self.resume_after_hold(now, &mut random));
                }
                let changes = self.pool.evacuations.expire_unconfirmed(now);
                effects.extend(self.note_evacuations(now, changes));
                effects.extend(self.dispatch(now, &mut random));
                effects
            }
        }
    }

    /// Applies changes of evacuations. Runners of a data hall whose evacuation has ended may be
    /// cold.
    fn note_evacuations(&mut self, now: Millis, changes: Vec<EvacuationChange>) -> Vec<Effect> {
        for change in &changes {
            if let EvacuationChange::Ended { hall, .. } = change {
                self.mark_possibly_cold(now, hall);
            }
        }
        changes.into_iter().map(Effect::Evacuation).collect()
    }

    /// Applies a newer configuration, also to active requests.
    fn configure(&mut self, catalog: Arc<Catalog>) -> Vec<Effect> {
        for progress in self.requests.values_mut() {
            progress.arrival.update_homes(&catalog);
            progress.scope = progress.arrival.scope();
        }
        self.note_cold_services(&catalog);
        self.home_faults = home_faults::find(&catalog, &self.options.halls);
        self.catalog = Some(catalog);
        match self.home_faults.is_empty() {
            true => Vec::new(),
            false => vec![Effect::ReportHomeFaults(self.home_faults.clone())],
        }
    }

    fn arrive(&mut self, now: Millis, random: &mut SmallRng, mut arrival: Arrival) -> Vec<Effect> {
        if let Some(catalog) = &self.catalog {
            arrival.update_homes(catalog);
        }
        if self.is_enabled(Mechanism::HomeRoom) {
            self.home_demand.record(now, &arrival);
        }
        let key = arrival.key;
        self.budget(now, &arrival.service).count_request(now);
        if let Some(refused) = self.refuse_quarantined(now, &arrival) {
            return refused;
        }
        let share = if self.is_enabled(Mechanism::Waiting) { MAX_WAIT_SHARE } else { 0.0 };
        let wait = (arrival.target_latency_ms as f64 * share) as u64;
        let scope = arrival.scope();
        let is_calm = self.shortages.get(&scope).is_none_or(|it| it.is_over(now));
        let looks_repeated = self.usual_deadlines.is_repeated(&arrival, is_calm);
        let progress = Progress {
            wait_until: now.plus(wait).min(arrival.deadline),
            on_time_until: now.plus(arrival.target_latency_ms),
            is_repeated: looks_repeated && self.is_enabled(Mechanism::FirstTries),
            tried: Vec::new(),
            unreachable: 0,
            current: None,
            stalled: Vec::new(),
            was_denied: false,
            short_ms: 0,
            queries: 0,
            may_have_run: false,
            reason: Code::Overloaded,
            scope,
            arrival,
        };
        self.enqueue(key, &progress);
        self.requests.insert(key, progress);
        self.dispatch(now, random)
    }

    fn end(&mut self, now: Millis, random: &mut SmallRng, key: RequestKey) -> Vec<Effect> {
        let Some(mut progress) = self.requests.remove(&key) else {
            return Vec::new();
        };
        self.queue.retain(|position| position.key != key);
        self.crashes.remove(key, &progress.arrival.subjects);
        self.release(key, progress.take_attempts());
        self.dispatch(now, random)
    }

    /// Applies reports of incarnations of runners that differ from the known ones.
    fn handle_incarnation_events(
        &mut self,
        events: impl IntoIterator<Item = IncarnationEvent>,
    ) -> Vec<Effect> {
        let note = |it: IncarnationEvent| {
            if it.change == IncarnationChange::Restarted {
                self.cold.close(&it.runner);
            }
            Effect::LogIncarnationChange(it)
        };
        events.into_iter().map(note).collect()
    }

    /// Applies information that the runner of an attempt sent about itself. Information from before
    /// its current incarnation is ignored.
    fn apply_notice(&mut self, now: Millis, key: RequestKey, notice: Notice) -> Vec<Effect> {
        let Some(progress) = self.requests.get(&key) else {
            return Vec::new();
        };
        match progress.current.clone() {
            Some(attempt) => self.apply_attempt_notice(now, &attempt, notice),
            None => Vec::new(),
        }
    }

    /// Applies information that the runner of this attempt sent.
    fn apply_attempt_notice(
        &mut self,
        now: Millis,
        attempt: &ActiveAttempt,
        notice: Notice,
    ) -> Vec<Effect> {
        let selected = &attempt.runner;
        let runner = self.pool.incarnation_mut(&selected.id, selected.incarnation);
        let change =
            runner.map_or(Notice::default(), |it| it.notices.apply(now, attempt.sent_at, notice));
        if change.is_empty() {
            return Vec::new();
        }
        self.note_notice(now, selected.id.clone(), change)
    }

    /// Resumes sending after a hold. Each queued request gets a little more time to find a slot.
    fn resume_after_hold(&mut self, now: Millis, random: &mut SmallRng) -> Vec<Effect> {
        for position in &self.queue {
            if let Some(progress) = self.requests.get_mut(&position.key) {
                let wait_until = progress.wait_until.max(now.plus(WAIT_AFTER_HOLD_MS));
                progress.wait_until = wait_until.min(progress.arrival.deadline);
            }
        }
        self.dispatch(now, random)
    }

    fn chooser(&self) -> Chooser<'_> {
        Chooser {
            pool: &self.pool,
            options: &self.options,
            home_demand: &self.home_demand,
            cold: &self.cold,
            limits: &self.limits,
        }
    }

    /// Whether a mechanism is enabled.
    fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.options.ablation.is_enabled(mechanism)
    }

    fn budget(&mut self, now: Millis, service: &ServiceName) -> &mut RetryBudget {
        let limits = self.budget_limits(now);
        self.budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(limits))
    }

    /// The retry limits of this gateway. Its share of the fixed allowance depends on the number of
    /// gateways.
    fn budget_limits(&self, now: Millis) -> BudgetLimits {
        let options = &self.options;
        let share = if options.ablation.is_enabled(Mechanism::BudgetReserve) {
            RETRY_RATIO_SHARE
        } else {
            1.0
        };
        BudgetLimits {
            window_ms: options.budget_window_ms,
            ratio: options.budget_ratio * share,
            allowance: options.budget_allowance * self.members.share(now),
        }
    }

    /// Consumes one retry if this gateway has one left.
    fn take_retry(&mut self, now: Millis, service: &ServiceName) -> bool {
        self.current_budget(now, service).take_retry(now)
    }

    /// Returns whether this gateway has this number of retries left.
    fn has_retries(&mut self, now: Millis, service: &ServiceName, count: u32) -> bool {
        self.current_budget(now, service).has_retries(now, count)
    }

    /// The retry budget of a service with the limits that apply now.
    fn current_budget(&mut self, now: Millis, service: &ServiceName) -> &mut RetryBudget {
        let limits = self.budget_limits(now);
        let budget = self.budget(now, service);
        budget.set_limits(limits);
        budget
    }

    fn run_periodic_checks(&mut self, now: Millis) {
        // Sets of home regions change with configurations; without this, past shortages of each
        // would accumulate.
        self.shortages.retain(|_, it| !it.is_over(now));
        if self.members.is_coverage_check_due(now) {
            self.follow_sidecars(now);
            let coverage = self.sidecar_coverage(now);
            self.members.note_coverage(now, coverage);
        }
    }
}
