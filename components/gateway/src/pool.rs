//! The runners that a gateway knows.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use fleet::{
    AnnouncedVersion, Evacuations, Hall, IncarnationChange, IncarnationReport, InstanceId, Millis,
    ModelName, ReportedLimit, ServiceName,
};
use quarantine::IncarnationDigest;

use crate::addresses::Addresses;
use crate::event::{GatewayOptions, IncarnationEvent, NoticeChange};
use crate::followed::{self, Candidate};
use crate::limits::IncarnationLimit;
use crate::members::weight;
use crate::misdirections::Misdirections;
use crate::notices::{Notice, Notices};
use crate::runner::{Runner, RunnerIncarnation, RunnerLoad, RunnerRecord};
use crate::silent_halls::SilentHalls;
use crate::versions::AnnouncedVersions;

/// How long the information that a runner sent about itself is kept after its list entry has been
/// removed, in milliseconds: longer than an outage of the store, after which expired entries come
/// back.
const UNLISTED_MEMORY_MS: u64 = 60_000;

/// The runners of every service, and the announced versions of their models.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Name of the gateway.
    own_name: InstanceId,
    runners: BTreeMap<InstanceId, Runner>,
    by_service: HashMap<ServiceName, Vec<InstanceId>>,
    addresses: Addresses,
    /// Information sent by runners that are no longer listed, and when their entries were removed.
    unlisted: BTreeMap<InstanceId, (RunnerIncarnation, Notices, Millis)>,
    misdirections: Misdirections,
    announced: AnnouncedVersions,
    /// The evacuated data halls.
    pub evacuations: Evacuations,
    /// The silent data halls.
    pub silent: SilentHalls,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(options: &GatewayOptions) -> Self {
        Self {
            own_name: options.name.clone(),
            announced: AnnouncedVersions::new(options.version_ms),
            evacuations: Evacuations::new(options.evacuate_ms, &options.ablation),
            ..Self::default()
        }
    }

    /// Changes how long requests may start on an older version, in milliseconds.
    pub fn set_version_ms(&mut self, version_ms: u64) {
        self.announced.set_version_ms(version_ms);
    }

    /// Applies an entry of the runner list. Returns a report if the entry's incarnation differs
    /// from the known one.
    pub fn list(&mut self, now: Millis, record: RunnerRecord) -> Option<IncarnationEvent> {
        let Some(runner) = self.runners.get_mut(&record.id) else {
            self.add(now, record, 0);
            return None;
        };
        let restarts = runner.incarnation.restarts;
        // A runner never changes its service, so an entry with another service is not its own,
        // whatever incarnation it contains.
        if runner.record.service != record.service {
            self.replace(now, record, restarts);
            return None;
        }
        let event = incarnation_event(runner, record.incarnation, true);
        match event.as_ref().map(|it| it.change) {
            None | Some(IncarnationChange::Same) if runner.record.address != record.address => {
                self.replace(now, record, restarts);
            }
            None | Some(IncarnationChange::Same) => {
                runner.misdirected = false;
                runner.update_entry(now, record);
            }
            Some(IncarnationChange::Restarted) => self.replace(now, record, restarts + 1),
            Some(IncarnationChange::Earlier | IncarnationChange::StartTimeMissing) => {}
        }
        event
    }

    /// Replaces the known entry of a runner, including the indexes by service and address.
    fn replace(&mut self, now: Millis, record: RunnerRecord, restarts: u32) {
        self.unlist(now, &record.id);
        self.add(now, record, restarts);
    }

    /// Adds an incarnation of a runner.
    fn add(&mut self, now: Millis, record: RunnerRecord, restarts: u32) {
        let id = record.id.clone();
        self.addresses.add(&record);
        self.by_service.entry(record.service.clone()).or_default().push(id.clone());
        let mut runner = Runner::new(now, record, restarts);
        runner.weight = weight(&self.own_name.0, runner.record.address);
        // If there are few sidecars, all are followed; the sidecar of a new runner is then followed
        // at once, so that the versions its runner should hold are received.
        let listed = self.by_service.get(&runner.record.service).map_or(0, Vec::len);
        runner.is_followed = listed <= followed::most(listed, None);
        if let Some((incarnation, notices, _)) = self.unlisted.remove(&id) {
            // The entry has come back, and its incarnation is the same.
            if incarnation == runner.incarnation {
                runner.notices = notices;
            }
        }
        runner.note_listed_state(now);
        runner.misdirected_until = self.misdirections.until(&id, runner.record.address);
        self.runners.insert(id, runner);
    }

    /// Removes a runner that is no longer listed. Its own information is kept, because an entry may
    /// expire while the runner is alive.
    pub fn unlist(&mut self, now: Millis, id: &InstanceId) {
        let Some(runner) = self.runners.remove(id) else {
            return;
        };
        self.unlisted.retain(|_, (_, _, at)| now.since(*at).0 <= UNLISTED_MEMORY_MS);
        if runner.notices.has_effect(now) {
            self.unlisted.insert(id.clone(), (runner.incarnation, runner.notices, now));
        }
        self.addresses.remove(&runner.record);
        if let Some(ids) = self.by_service.get_mut(&runner.record.service) {
            ids.retain(|it| it != id);
        }
    }

    /// The runner of each service that messages from an address are about.
    fn at_address(&self, now: Millis, address: SocketAddr) -> Vec<InstanceId> {
        let is_wrong =
            |id: &InstanceId| self.runners.get(id).is_some_and(|it| it.is_misdirected(now));
        self.addresses.runners(address, is_wrong)
    }

    /// Applies a load report for the runner at an address. Returns reports of incarnations that
    /// differ from the known ones.
    pub fn apply_load(
        &mut self,
        now: Millis,
        address: SocketAddr,
        load: RunnerLoad,
    ) -> Vec<IncarnationEvent> {
        if let Some(announced) = load.named.clone() {
            self.announced.record(now, announced);
        }
        let ids = self.at_address(now, address);
        let events = ids.into_iter().filter_map(|id| self.apply_load_of(now, id, load.clone()));
        events.collect()
    }

    /// Applies the rate limit that the sidecar of the runner at an address reported.
    pub fn apply_limit(
        &mut self,
        now: Millis,
        address: SocketAddr,
        reported: Option<ReportedLimit>,
    ) -> Vec<NoticeChange> {
        let ids = self.at_address(now, address);
        let apply = |id: InstanceId| {
            let limit = self.runners.get_mut(&id)?.apply_limit(now, reported);
            let notice = Notice { limit, ..Notice::default() };
            (!notice.is_empty()).then_some(NoticeChange { runner: id, notice })
        };
        ids.into_iter().filter_map(apply).collect()
    }

    /// Applies the rate limit of an incarnation of a runner that another gateway reported.
    pub fn apply_incarnation_limit(
        &mut self,
        now: Millis,
        reported: &IncarnationLimit,
    ) -> Vec<NoticeChange> {
        let of_incarnation =
            self.runners.iter_mut().filter(|(_, it)| it.incarnation.digest == reported.life);
        let changes = of_incarnation.filter_map(|(id, runner)| {
            let limit = runner.learn_limit(now, reported.limit);
            let notice = Notice { limit, ..Notice::default() };
            (!notice.is_empty()).then(|| NoticeChange { runner: id.clone(), notice })
        });
        changes.collect()
    }

    /// The runners in a given incarnation.
    pub fn of_incarnation(&self, incarnation: IncarnationDigest) -> impl Iterator<Item = &Runner> {
        self.runners.values().filter(move |it| it.incarnation.digest == incarnation)
    }

    /// Applies a load report for a runner.
    fn apply_load_of(
        &mut self,
        now: Millis,
        id: InstanceId,
        load: RunnerLoad,
    ) -> Option<IncarnationEvent> {
        let runner = self.runners.get_mut(&id)?;
        self.silent.note_contact(&runner.record.hall);
        let event = incarnation_event(runner, load.life, false);
        match event.as_ref().map(|it| it.change) {
            None | Some(IncarnationChange::Same) => runner.apply_load(now, load),
            Some(IncarnationChange::Restarted) => {
                // The entry is still that of the previous incarnation: the weights in it no longer
                // apply.
                let entry = runner.record.clone();
                let record = RunnerRecord { incarnation: load.life, weights: None, ..entry };
                let restarts = runner.incarnation.restarts + 1;
                let previous_born =
                    runner.born.or(runner.previous_born).filter(|_| load.life.born.is_none());
                self.replace(now, record, restarts);
                let runner = self.runners.get_mut(&id)?;
                runner.previous_born = previous_born;
                runner.apply_load(now, load);
            }
            Some(IncarnationChange::Earlier | IncarnationChange::StartTimeMissing) => {}
        }
        event
    }

    /// Records that a runner or its sidecar answered.
    pub fn note_answered(&mut self, now: Millis, id: &InstanceId, incarnation: RunnerIncarnation) {
        if let Some(runner) = self.runners.get_mut(id).filter(|it| it.incarnation == incarnation) {
            runner.last_alive_at = now;
            self.silent.note_contact(&runner.record.hall);
        }
    }

    /// Records that a runner rejected a request as misdirected.
    pub fn note_misdirected(&mut self, now: Millis, id: &InstanceId) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.misdirected = true;
            runner.misdirected_until = self.misdirections.note(now, id, runner.record.address);
        }
    }

    /// Records that a runner served a request, which shows that its entry is correct.
    pub fn note_served(&mut self, id: &InstanceId) {
        if let Some(runner) = self.runners.get_mut(id) {
            runner.misdirected_until = Millis(0);
            self.misdirections.forget(id, runner.record.address);
        }
    }

    /// Records that a runner did not answer.
    pub fn note_unanswered(&mut self, now: Millis, id: &InstanceId) {
        if let Some(runner) = self.runners.get(id) {
            self.silent.note_unanswered(now, &runner.record.hall, id);
        }
    }

    /// Records an announced version.
    pub fn announce_version(&mut self, now: Millis, announced: AnnouncedVersion) {
        self.announced.record(now, announced);
    }

    /// The oldest version of a model that a request may start on now.
    pub fn required_version(&self, now: Millis, model: &ModelName) -> u64 {
        self.announced.required(now, model)
    }

    /// The time from which no request may start on the weights that a runner holds. `None` if it
    /// holds none or no newer version is announced.
    pub fn deadline_of(&self, now: Millis, runner: &Runner) -> Option<Millis> {
        let held = runner.weights(now)?;
        self.announced.deadline_of(&held.model, held.version)
    }

    /// The versions of each model to report to other processes, oldest first.
    pub fn announced_versions(&self, now: Millis) -> Vec<AnnouncedVersion> {
        self.announced.to_report(now)
    }

    /// Returns a runner by name.
    pub fn runner(&self, id: &InstanceId) -> Option<&Runner> {
        self.runners.get(id)
    }

    /// Returns a runner for modification if it is in this incarnation.
    pub fn incarnation_mut(
        &mut self,
        id: &InstanceId,
        incarnation: RunnerIncarnation,
    ) -> Option<&mut Runner> {
        self.runners.get_mut(id).filter(|it| it.incarnation == incarnation)
    }

    /// The number of runners whose start time is unknown.
    pub fn count_without_start_time(&self) -> usize {
        self.runners.values().filter(|it| it.born.is_none()).count()
    }

    /// Returns a runner by name for modification.
    pub fn runner_mut(&mut self, id: &InstanceId) -> Option<&mut Runner> {
        self.runners.get_mut(id)
    }

    /// Selects which sidecars of a service are followed. `gateways` is the number of gateways, if
    /// it is certain. Returns the numbers of listed and of followed sidecars.
    pub fn follow(
        &mut self,
        service: &ServiceName,
        hall: &Hall,
        gateways: Option<usize>,
    ) -> (usize, usize) {
        let listed = self.of_service(service).map(|it| Candidate {
            sidecar: it.record.id.clone(),
            weight: it.weight,
            is_near: &it.record.hall == hall,
        });
        let listed: Vec<Candidate<InstanceId>> = listed.collect();
        let count = listed.len();
        let followed = followed::choose(listed, followed::most(count, gateways));
        let followed: HashSet<InstanceId> = followed.into_iter().collect();
        for id in self.by_service.get(service).into_iter().flatten() {
            if let Some(runner) = self.runners.get_mut(id) {
                runner.is_followed = followed.contains(id);
            }
        }
        (count, followed.len())
    }

    /// The runners of a service.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Runner> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.runners.get(id))
    }

    /// Records that the runners of a service in a data hall may have become cold recently, for at
    /// most `start_ms` milliseconds.
    pub fn mark_possibly_cold(
        &mut self,
        now: Millis,
        hall: &Hall,
        service: &ServiceName,
        start_ms: u64,
    ) {
        let runners = self.runners.values_mut().filter(|it| &it.record.service == service);
        let in_hall = runners.filter(|it| &it.record.hall == hall);
        in_hall.for_each(|it| it.mark_possibly_cold(now, start_ms));
    }

    /// Records that the list is complete up to now, which ends doubts about cold runners that the
    /// list can answer.
    pub fn end_cold_doubts(&mut self, now: Millis) {
        self.runners.values_mut().for_each(|it| it.end_cold_doubt(now));
    }

    /// The number of runners that reported that they are draining, and of those in a backoff.
    pub fn count_notices(&self, now: Millis) -> (usize, usize) {
        let leaving = self.runners.values().filter(|it| it.notices.is_leaving()).count();
        let resting =
            self.runners.values().filter(|it| it.notices.backoff.left_ms(now) > 0).count();
        (leaving, resting)
    }

    /// The number of runners that have a rate limit.
    pub fn count_limited(&self) -> usize {
        self.runners.values().filter(|it| it.notices.limit.rate().is_some()).count()
    }

    /// The number of known runners.
    pub fn len(&self) -> usize {
        self.runners.len()
    }

    /// Whether no runner is known.
    pub fn is_empty(&self) -> bool {
        self.runners.is_empty()
    }
}

/// Compares the incarnation in a report about a runner with the known one, and returns the
/// difference if there is one.
fn incarnation_event(
    runner: &Runner,
    reported: IncarnationReport,
    is_listed: bool,
) -> Option<IncarnationEvent> {
    let change = runner.compare(reported, is_listed);
    let runner_id = runner.record.id.clone();
    (change != IncarnationChange::Same).then_some(IncarnationEvent {
        runner: runner_id,
        change,
        reported,
        known_born: runner.born,
    })
}
