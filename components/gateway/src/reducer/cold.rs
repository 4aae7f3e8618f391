//! Limits what this gateway sends to cold plain runners.

use std::collections::BTreeMap;
use std::net::IpAddr;

use fleet::{Hall, Millis, ServiceName};

use super::Gateway;
use crate::catalog::Catalog;
use crate::cold::ColdShare;

impl Gateway {
    /// Records the plain services whose runners start cold. Cold model runners are handled by their
    /// sidecars.
    pub(super) fn note_cold_services(&mut self, catalog: &Catalog) {
        let Some(bounds) = self.options.cold else {
            self.cold.set_services(BTreeMap::new());
            return;
        };
        let plain = catalog.services().filter(|it| it.engine.is_none());
        let cold = plain.filter_map(|it| Some((it.name.clone(), ColdShare::new(it.cold?, bounds))));
        self.cold.set_services(cold.collect());
    }

    /// Records that runners of a data hall may have become cold recently, for services whose
    /// runners start cold.
    pub(super) fn mark_possibly_cold(&mut self, now: Millis, hall: &Hall) {
        let Some(catalog) = self.catalog.clone().filter(|_| self.options.cold.is_some()) else {
            return;
        };
        for service in catalog.services() {
            if let Some(profile) = service.cold {
                self.pool.mark_possibly_cold(now, hall, &service.name, profile.start_ms);
            }
        }
    }

    /// Updates the rate share for each cold runner, depending on whether this gateway is
    /// responsible for it.
    pub(super) fn update_cold_shares(&mut self, now: Millis) {
        let services: Vec<(ServiceName, ColdShare)> = self.cold.services().collect();
        if services.is_empty() {
            return;
        }
        for (service, share) in services {
            for runner in self.pool.of_service(&service) {
                let id = &runner.record.id;
                let responsible = (runner.cold_left_ms(now) > 0)
                    .then(|| self.members.responsible_count(now, &id.0, share.gateways))
                    .flatten();
                match responsible {
                    Some(gateways) => self.cold.set(now, id, share, gateways),
                    None => self.cold.close(id),
                }
            }
        }
    }

    /// How much longer the model runner on each machine is cold according to the list, in
    /// milliseconds. Empty if none starts cold.
    pub fn cold_machines(&self, now: Millis) -> BTreeMap<IpAddr, u64> {
        let catalog = self.catalog.as_ref().filter(|_| self.options.cold.is_some());
        let services = catalog.into_iter().flat_map(|it| it.services());
        let models = services.filter(|it| it.engine.is_some() && it.cold.is_some());
        let runners = models.flat_map(|it| self.pool.of_service(&it.name));
        runners.map(|it| (it.record.address.ip(), it.cold_reported_ms(now))).collect()
    }

    /// The numbers of cold plain runners and of those that this gateway may send to.
    pub fn cold_runners(&self, now: Millis) -> (usize, usize) {
        let services = self.cold.services();
        let runners =
            services.flat_map(|(name, _)| self.pool.of_service(&name).collect::<Vec<_>>());
        let cold: Vec<_> = runners.filter(|it| it.cold_left_ms(now) > 0).collect();
        (cold.len(), cold.iter().filter(|it| self.cold.is_open(&it.record.id)).count())
    }
}
