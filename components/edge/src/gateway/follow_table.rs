//! Follows the tables of the platform's store for a gateway.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use fleet::AnnouncedVersion;
use gateway::readers::Source;
use gateway::{Event, Gateway, StoreTable};
use platform::store::{Change, Table};
use settings::{BoundSettings, DeploymentSettings};

use super::core::Core;
use super::own_addresses::OwnAddresses;
use super::readers::HallReaders;
use super::version_record::{self, ReceivedVersion, RecordUpdate};
use crate::spawner::Spawner;
use crate::store_timeouts::StoreTimeouts;
use crate::watch::{watch, ChangeDate, TableEvent, WatchOptions};

/// The responsibility of gateways that poll often to date versions closely, and the number of gateways that
/// have it. It is more than one because a gateway may just have failed.
const DATING_RESPONSIBILITY: &str = "dates of versions";
const DATING_GATEWAYS: usize = 2;
/// The shortest time between the first two feed calls of a table, while a starting fleet is added to it.
const FIRST_SPACING: Duration = Duration::from_millis(60);
/// Feed calls of the operator table per configuration deadline. A change after a quiet period is fetched at
/// once; only changes in quick succession are fetched together, since each feed costs a call of every
/// gateway.
const FEEDS_PER_CONFIGURATION: u32 = 8;
/// Feed calls of the runner table per drain deadline, within which a leaving runner must get no new requests.
/// While versions are rolled out some row changes all the time, and more calls would each bring fewer
/// changes.
const FEEDS_PER_DRAIN: u32 = 4;

/// Follows a table and passes its changes to the reducer.
pub fn follow_table(
    spawner: &Spawner,
    settings: &DeploymentSettings,
    core: &Core,
    readers: &HallReaders,
    table: Table,
) {
    let tables = core.tables.clone();
    let options = WatchOptions {
        store: settings.store.address,
        table,
        timeouts: store_timeouts(&settings.bounds),
        first_spacing: FIRST_SPACING,
        spacing: feed_spacing(&settings.bounds, table),
        max_yield_pause: max_yield_pause(&settings.bounds, table),
        metrics: core.metrics.clone(),
        era: tables.era.clone(),
        readers: readers.clone(),
        time: tables.time.clone(),
        dates_precisely: dates_precisely(core, table),
    };
    let readers = readers.clone();
    let (updates, received) = version_record::channel();
    if table == Table::Operator {
        let version_ms = settings.bounds.version_ms;
        spawner.detach(version_record::maintain(
            core.clone(),
            settings.store.address,
            version_ms,
            received,
        ));
    }
    let core = core.clone();
    let own_addresses = OwnAddresses::new(settings);
    let version_ms = settings.bounds.version_ms;
    spawner.detach(watch(options, move |event| match event {
        TableEvent::Complete => {
            tables.of(table).record_complete(table);
            core.notify_sidecars();
        }
        TableEvent::Evacuations(list) => core.dispatch(Event::Evacuations(list)),
        TableEvent::Answered { sent_at, known_until } => {
            tables.of(table).record_answer(known_until);
            let sent_at = core.clock.now().minus(sent_at.elapsed().as_millis() as u64 + 1);
            core.dispatch(Event::TableConfirmed(store_table(table), sent_at));
            if table == Table::Runners {
                core.dispatch(Event::ListConfirmed);
            }
        }
        TableEvent::ReachabilityChanged(is_reachable) => {
            tables.of(table).is_lost.set(!is_reachable)
        }
        TableEvent::StoreRestored => {
            if table == Table::Operator {
                send_or_log(&updates, RecordUpdate::StoreRestored);
                core.record_store_restore();
                readers.record_store_restore();
            }
        }
        TableEvent::Change { change, date } => {
            let change = own_addresses.reject(change);
            let should_notify_sidecars =
                should_notify_sidecars(&change) || turns_cold(&core, &change);
            // A gateway that follows another gateway leaves the record to it.
            let is_recording = readers.source() == Source::Store;
            let event = reducer_event(change, date, version_ms);
            let version = event.as_ref().and_then(version_to_record).filter(|_| is_recording);
            if let Some(event) = event {
                core.dispatch(event);
            }
            if let Some(version) = version {
                send_or_log(&updates, RecordUpdate::ReceivedVersion(version));
            }
            if should_notify_sidecars {
                core.notify_sidecars();
            }
        }
    }));
}

/// Whether this gateway dates versions closely for all gateways: older versions may serve until a deadline
/// that runs from the date, and the date of any gateway applies to all.
fn dates_precisely(core: &Core, table: Table) -> Rc<dyn Fn() -> bool> {
    let core = core.clone();
    Rc::new(move || {
        let is_responsible = |gateway: &Gateway| {
            let members = gateway.members();
            members
                .responsible_count(core.clock.now(), DATING_RESPONSIBILITY, DATING_GATEWAYS)
                .is_some()
        };
        table == Table::Operator && core.read(is_responsible)
    })
}

/// The reducer's name of a table.
fn store_table(table: Table) -> StoreTable {
    match table {
        Table::Operator | Table::Versions => StoreTable::Operator,
        Table::Runners => StoreTable::Runners,
    }
}

/// The version that an event reports, for the version record.
fn version_to_record(event: &Event) -> Option<ReceivedVersion> {
    match event {
        Event::VersionAnnounced(AnnouncedVersion { model, version, after_ms, .. }) => {
            Some(ReceivedVersion {
                model: model.clone(),
                version: *version,
                not_before_ms: *after_ms,
            })
        }
        _ => None,
    }
}

/// Passes an update to the task that maintains the version record. An update that finds the channel full is
/// not recorded.
fn send_or_log(updates: &Sender<RecordUpdate>, update: RecordUpdate) {
    if let Err(error) = updates.try_send(update) {
        let reason = error.to_string();
        log::warn!(reason = reason.as_str(); "version is not recorded");
    }
}

/// The timeouts of calls to the store.
pub fn store_timeouts(bounds: &BoundSettings) -> StoreTimeouts {
    StoreTimeouts::new(Duration::from_millis(bounds.contact_ms))
}

/// The shortest time between two feed calls of a table: a part of the time in which its changes have to take
/// effect.
pub fn feed_spacing(bounds: &BoundSettings, table: Table) -> Duration {
    match table {
        Table::Runners => Duration::from_millis(bounds.drain_ms) / FEEDS_PER_DRAIN,
        Table::Operator | Table::Versions => {
            Duration::from_millis(bounds.configuration_ms) / FEEDS_PER_CONFIGURATION
        }
    }
}

/// The longest pause of a table's feed that yields the link to the store to others: half of the time within
/// which a leaving runner must become known. A request must not be served by an outdated operator table, so
/// that table never pauses.
fn max_yield_pause(bounds: &BoundSettings, table: Table) -> Duration {
    match table {
        Table::Runners => Duration::from_millis(bounds.drain_ms) / 2,
        Table::Operator | Table::Versions => Duration::ZERO,
    }
}

/// Whether sidecars should be updated at once: about an announced version, or because one of them is new and
/// waits to learn which version its runner should hold.
fn should_notify_sidecars(change: &Change) -> bool {
    match change {
        Change::Version { .. } => true,
        Change::Runner(record) => record.weights.is_none(),
        Change::Configuration(_) | Change::RunnerRemoved(_) | Change::RunnerInvalid(_) => false,
        // The reducer reports these after it has applied them.
        Change::Evacuated(_) | Change::EvacuationEnded(_) => false,
    }
}

/// Whether a runner that was warm has turned cold, so that its sidecar should be updated at once. A row
/// states a remaining time that decreases every second.
fn turns_cold(core: &Core, change: &Change) -> bool {
    let Change::Runner(record) = change else {
        return false;
    };
    let now = core.clock.now();
    let was_warm = || core.read(|it| it.cold_machines(now).get(&record.address.ip()) == Some(&0));
    record.cold_ms > 0 && was_warm()
}

/// The reducer's event for a change. `None` for changes that it receives as complete lists.
fn reducer_event(change: Change, date: ChangeDate, version_ms: u64) -> Option<Event> {
    Some(match change {
        Change::Configuration(catalog) => {
            let (routes, keys) = (catalog.route_count(), catalog.needs_keys());
            log::info!(version = catalog.version, routes = routes, keys = keys; "configuration");
            Event::Configured(Arc::new(*catalog))
        }
        Change::Version { model, version, .. } => {
            // The deadline runs from the time of naming, not from when this process received it.
            let age_ms = date.age.map(|it| it.as_millis() as u64 + 1);
            let announced = AnnouncedVersion { model, version, age_ms, after_ms: date.after_ms };
            let announced = if announced.known_age_extends_deadline(version_ms) {
                announced
            } else {
                AnnouncedVersion { age_ms: None, after_ms: None, ..announced }
            };
            let model = announced.model.0.as_str();
            log::info!(model = model, version = version, age_ms = announced.age_ms; "version named");
            Event::VersionAnnounced(announced)
        }
        Change::Evacuated(_) | Change::EvacuationEnded(_) => return None,
        Change::Runner(record) => {
            let state = format!("{:?} {:?}", record.state, record.weights);
            log::info!(runner = record.id.0.as_str(), state = state.as_str(), cold_ms = record.cold_ms; "runner listed");
            Event::Listed(record)
        }
        Change::RunnerRemoved(id) | Change::RunnerInvalid(id) => {
            log::info!(runner = id.0.as_str(); "runner gone");
            Event::Unlisted(id)
        }
    })
}
