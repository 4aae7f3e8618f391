//! The sidecars that a gateway follows, and which of them send reports.

use fleet::{Millis, ServiceName};

use super::Gateway;
use crate::members::Certainty;
use crate::runner::Runner;

/// Maximum age of a report that shows that its sidecar is reachable, in milliseconds: several times
/// the interval of reports to other data halls.
const MAX_REPORT_AGE_MS: u64 = 2000;

impl Gateway {
    /// Selects the sidecars that this gateway follows.
    pub(super) fn follow_sidecars(&mut self, now: Millis) {
        let is_sure = self.members.certainty(now) == Certainty::Sure;
        let gateways = is_sure.then(|| self.members.count(now));
        let (mut listed, mut followed) = (0, 0);
        for service in &self.model_services() {
            let counts = self.pool.follow(service, &self.options.hall, gateways);
            listed += counts.0;
            followed += counts.1;
        }
        self.members.note_sidecars(listed, followed);
    }

    /// Services whose runners have sidecars.
    fn model_services(&self) -> Vec<ServiceName> {
        let services = self.catalog.iter().flat_map(|it| it.services());
        services.filter(|it| it.engine.is_some()).map(|it| it.name.clone()).collect()
    }

    /// The runners whose sidecars this gateway follows.
    pub fn followed(&self) -> impl Iterator<Item = &Runner> {
        let services = self.catalog.iter().flat_map(|it| it.services());
        let models = services.filter(|it| it.engine.is_some());
        let listed = models.flat_map(|it| self.pool.of_service(&it.name));
        listed.filter(|it| it.is_followed)
    }

    /// The part of the followed sidecars that this gateway receives reports from. `None` if it
    /// follows none.
    pub(super) fn sidecar_coverage(&self, now: Millis) -> Option<f64> {
        let (mut all, mut reachable) = (0.0, 0.0);
        for runner in self.followed().filter(|it| it.is_open()) {
            all += 1.0;
            let is_reachable = runner.report_age(now).is_some_and(|age| age.0 <= MAX_REPORT_AGE_MS);
            reachable += f64::from(u8::from(is_reachable));
        }
        (all > 0.0).then(|| reachable / all)
    }
}
