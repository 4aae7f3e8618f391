//! Which runners the list names at an address.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use fleet::{InstanceId, ServiceName};

use crate::runner::RunnerRecord;

/// The runners at each address by service, in the order in which they were listed there. Usually there is one. A runner
/// that has ended may be listed beside the one that took its address, and another writer may list any runner anywhere.
#[derive(Clone, Debug, Default)]
pub(crate) struct Addresses(HashMap<SocketAddr, BTreeMap<ServiceName, Vec<InstanceId>>>);

impl Addresses {
    /// Adds an entry.
    pub(crate) fn add(&mut self, record: &RunnerRecord) {
        let of_service = self.0.entry(record.address).or_default();
        of_service.entry(record.service.clone()).or_default().push(record.id.clone());
    }

    /// Removes an entry.
    pub(crate) fn remove(&mut self, record: &RunnerRecord) {
        let Some(at_address) = self.0.get_mut(&record.address) else {
            return;
        };
        if let Some(ids) = at_address.get_mut(&record.service) {
            ids.retain(|it| it != &record.id);
        }
        at_address.retain(|_, ids| !ids.is_empty());
        if at_address.is_empty() {
            self.0.remove(&record.address);
        }
    }

    /// The runner of each service that messages from an address are about: the newest one whose entry is not known to
    /// be wrong.
    pub(crate) fn runners(
        &self,
        address: SocketAddr,
        is_wrong: impl Fn(&InstanceId) -> bool,
    ) -> Vec<InstanceId> {
        let by_service = self.0.get(&address).into_iter().flat_map(BTreeMap::values);
        let newest = by_service.filter_map(|ids| {
            let believed = ids.iter().rev().find(|it| ids.len() == 1 || !is_wrong(it));
            believed.or(ids.last())
        });
        newest.cloned().collect()
    }
}
