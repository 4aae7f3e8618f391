//! Actions of operators: configurations, target versions and evacuations.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;

use super::{DelayedAction, FaultInjector};
use crate::fleet::{hall_name, region_name};
use crate::history::{ConfigurationChange, Evacuation, StreamHomes, TargetVersion};

/// Minimum time that a hall stays evacuated: the bound, and some time in which it is checked.
const MIN_EVACUATION: Duration = Duration::from_millis(3000);
/// Rate of a slow origin, which takes six seconds for a copy of the weights, and the minimum time that it stays
/// slow.
const SLOW_ORIGIN_BYTES_PER_S: u64 = 44_000;
const MIN_SLOW_ORIGIN: Duration = Duration::from_millis(10_000);
/// Number of routes that every configuration has.
const PERMANENT_ROUTES: usize = 7;

impl FaultInjector<'_> {
    /// Writes a new version of the configuration. It has a route named after the version, in place of that of
    /// the version before.
    pub(super) fn add_configuration(&mut self) {
        let version = self.shared.configuration.load(Ordering::Relaxed) + 1;
        let sent = self.now();
        self.fleet.standin.reconfigure(|it| {
            let Some(routes) = it["routes"].as_array_mut() else {
                return;
            };
            routes.truncate(PERMANENT_ROUTES);
            let mut route = routes[1].clone();
            route["name"] = json!(format!("v{version}"));
            route["pathPrefix"] = json!(format!("/v{version}/"));
            routes.push(route);
        });
        self.history.configuration_changes.push(ConfigurationChange {
            version,
            sent,
            taken: self.now(),
        });
        self.shared.configuration.store(version, Ordering::Relaxed);
    }

    /// Binds the streams to the home region of a hall, or to none.
    pub(super) fn bind_streams(&mut self, hall: Option<usize>) {
        let regions: Vec<&str> = hall.map(region_name).into_iter().collect();
        let sent = self.now();
        self.fleet.standin.reconfigure(|it| it["routes"][0]["homeRegions"] = json!(regions));
        let hall = hall.map(|it| hall_name(it).to_owned());
        self.history.homes.push(StreamHomes { hall, sent, taken: self.now() });
    }

    /// Sets a new target version of the weights.
    pub(super) fn set_target_version(&mut self) {
        self.version += 1;
        self.fleet.standin.announce_version(self.version);
        self.history
            .target_versions
            .push(TargetVersion { version: self.version, taken: self.now() });
    }

    /// Slows the origin down, so that new weights need most of the time within which they must have arrived.
    pub(super) fn slow_origin(&mut self, until: Duration) {
        self.fleet.standin.set_origin_rate(Some(SLOW_ORIGIN_BYTES_PER_S));
        self.schedule(until + MIN_SLOW_ORIGIN, DelayedAction::RestoreOrigin);
    }

    /// Evacuates a hall, unless it is evacuated already, for long enough that the bound passes.
    pub(super) fn evacuate_hall(&mut self, hall: usize, until: Duration) {
        if self
            .delayed_actions
            .iter()
            .any(|(_, action)| matches!(action, DelayedAction::EndEvacuation(it) if *it == hall))
        {
            return;
        }
        let name = hall_name(hall);
        self.fleet.standin.evacuate(name);
        let at = self.now();
        self.history.evacuations.push(Evacuation { hall: name.into(), at, until: None });
        self.schedule(until + MIN_EVACUATION, DelayedAction::EndEvacuation(hall));
    }

    /// Ends the evacuation of a hall.
    pub(super) fn end_evacuation(&mut self, hall: usize) {
        let now = self.now();
        let name = hall_name(hall);
        let evacuations = self.history.evacuations.iter_mut();
        evacuations
            .filter(|it| it.hall == name && it.until.is_none())
            .for_each(|it| it.until = Some(now));
        self.fleet.standin.end_evacuation(name);
    }
}
