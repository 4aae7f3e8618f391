//! What operators do: configurations, versions and evacuations.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;

use super::{Conductor, End};
use crate::fleet::{hall_name, region_name};
use crate::history::{Configured, Evacuated, Homes, Named};

/// How long a hall is evacuated at least: the bound and some time to see it kept.
const EVACUATED: Duration = Duration::from_millis(3000);
/// Bytes a second of an origin that takes six seconds for a copy of the weights, and how long it stays so at least.
const SLOW_ORIGIN: u64 = 44_000;
const SLOW_ORIGIN_FOR: Duration = Duration::from_millis(10_000);
/// Routes that every configuration has.
const LASTING_ROUTES: usize = 4;

impl Conductor<'_> {
    /// Adds a route that names the version and drops the one that the version before added.
    pub(super) fn configure(&mut self) {
        let version = self.shared.configuration.load(Ordering::Relaxed) + 1;
        let sent = self.now();
        self.fleet.standin.reconfigure(|it| {
            let Some(routes) = it["routes"].as_array_mut() else {
                return;
            };
            routes.truncate(LASTING_ROUTES);
            let mut route = routes[1].clone();
            route["name"] = json!(format!("v{version}"));
            route["pathPrefix"] = json!(format!("/v{version}/"));
            routes.push(route);
        });
        self.history.configured.push(Configured { version, sent, taken: self.now() });
        self.shared.configuration.store(version, Ordering::Relaxed);
    }

    /// Binds the streams to the region of a hall, or to none.
    pub(super) fn bind_streams(&mut self, hall: Option<usize>) {
        let regions: Vec<&str> = hall.map(region_name).into_iter().collect();
        let sent = self.now();
        self.fleet.standin.reconfigure(|it| it["routes"][0]["homeRegions"] = json!(regions));
        let hall = hall.map(|it| hall_name(it).to_owned());
        self.history.homes.push(Homes { hall, sent, taken: self.now() });
    }

    /// Names a new version of the weights.
    pub(super) fn name_version(&mut self) {
        self.version += 1;
        self.fleet.standin.name_version(self.version);
        self.history.named.push(Named { version: self.version, taken: self.now() });
    }

    /// Has the weights of new versions take most of the time within which they must be there.
    pub(super) fn slow_origin(&mut self, until: Duration) {
        self.fleet.standin.set_origin_rate(Some(SLOW_ORIGIN));
        self.later(until + SLOW_ORIGIN_FOR, End::HealOrigin);
    }

    /// Evacuates a hall, unless it is evacuated already, for long enough that the bound passes.
    pub(super) fn evacuate(&mut self, hall: usize, until: Duration) {
        if self.ends.iter().any(|(_, end)| matches!(end, End::TakeBack(it) if *it == hall)) {
            return;
        }
        let name = hall_name(hall);
        self.fleet.standin.evacuate(name);
        let at = self.now();
        self.history.evacuated.push(Evacuated { hall: name.into(), at, until: None });
        self.later(until + EVACUATED, End::TakeBack(hall));
    }

    /// Takes back that a hall is evacuated.
    pub(super) fn take_back(&mut self, hall: usize) {
        let now = self.now();
        let name = hall_name(hall);
        let open = self.history.evacuated.iter_mut();
        open.filter(|it| it.hall == name && it.until.is_none()).for_each(|it| it.until = Some(now));
        self.fleet.standin.take_back(name);
    }
}
