//! What this gateway may send to plain runners that are cold.

use std::net::IpAddr;

use fleet::{Millis, ServiceName};

use super::Gateway;
use crate::catalog::Catalog;
use crate::cold::ColdShare;

impl Gateway {
    /// Notes the plain services whose runners start cold. Model runners have sidecars, which see to that.
    pub(super) fn note_cold_services(&mut self, catalog: &Catalog) {
        let Some(bounds) = self.options.cold else {
            return;
        };
        let plain = catalog.services().filter(|it| it.engine.is_none());
        let cold = plain.filter_map(|it| Some((it.name.clone(), ColdShare::new(it.cold?, bounds))));
        self.cold.set_services(cold.collect());
    }

    /// Sets what this gateway may send to each cold runner, by whether it is responsible for it.
    pub(super) fn tend_cold_runners(&mut self, now: Millis) {
        let services: Vec<(ServiceName, ColdShare)> = self.cold.services().collect();
        if services.is_empty() {
            return;
        }
        for (service, share) in services {
            for runner in self.pool.of_service(&service) {
                let id = &runner.record.id;
                let responsible = (runner.cold_left_ms(now) > 0)
                    .then(|| self.members.responsible(now, &id.0, share.gateways))
                    .flatten();
                match responsible {
                    Some(gateways) => self.cold.set(now, id, share, gateways),
                    None => self.cold.close(id),
                }
            }
        }
    }

    /// How much longer the model runner on a machine is cold by the list, in milliseconds. `None` where none is
    /// listed there, or none of its service starts cold.
    pub fn cold_at(&self, now: Millis, machine: IpAddr) -> Option<u64> {
        self.options.cold?;
        let catalog = self.catalog.as_ref()?;
        let models = catalog.services().filter(|it| it.engine.is_some() && it.cold.is_some());
        let mut runners = models.flat_map(|it| self.pool.of_service(&it.name));
        let runner = runners.find(|it| it.record.address.ip() == machine)?;
        Some(runner.cold_left_ms(now))
    }

    /// Cold plain runners, and those of them that this gateway may send to.
    pub fn cold_runners(&self, now: Millis) -> (usize, usize) {
        let services = self.cold.services();
        let runners =
            services.flat_map(|(name, _)| self.pool.of_service(&name).collect::<Vec<_>>());
        let cold: Vec<_> = runners.filter(|it| it.cold_left_ms(now) > 0).collect();
        (cold.len(), cold.iter().filter(|it| self.cold.is_open(&it.record.id)).count())
    }
}
