//! The runners that a gateway knows.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use fleet::{InstanceId, Millis, ModelName, ServiceName};

use crate::runner::{Runner, RunnerLoad, RunnerRecord};

/// How long before its bound an older version is left alone, in milliseconds: a request is on its
/// way for a while before it starts.
const VERSION_MARGIN: u64 = 1200;

/// A version that was named, and from when on no request may start on an older one.
#[derive(Clone, Copy, Debug)]
struct NamedVersion {
    version: u64,
    required_from: Millis,
}

/// The runners of every service, and the versions that they should hold.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    runners: BTreeMap<InstanceId, Runner>,
    by_service: HashMap<ServiceName, Vec<InstanceId>>,
    by_address: HashMap<SocketAddr, InstanceId>,
    named: HashMap<ModelName, Vec<NamedVersion>>,
}

impl Pool {
    /// Takes in an entry of the list.
    pub fn list(&mut self, record: RunnerRecord) {
        if let Some(runner) = self.runners.get_mut(&record.id) {
            runner.misdirected = false;
            runner.record = record;
            return;
        }
        let id = record.id.clone();
        self.by_address.insert(record.address, id.clone());
        self.by_service.entry(record.service.clone()).or_default().push(id.clone());
        self.runners.insert(id, Runner::new(record));
    }

    /// Forgets a runner that is listed no more.
    pub fn unlist(&mut self, id: &InstanceId) {
        let Some(runner) = self.runners.remove(id) else {
            return;
        };
        if self.by_address.get(&runner.record.address) == Some(id) {
            self.by_address.remove(&runner.record.address);
        }
        if let Some(ids) = self.by_service.get_mut(&runner.record.service) {
            ids.retain(|it| it != id);
        }
    }

    /// Takes in a report on the runner at an address.
    pub fn take_load(&mut self, now: Millis, address: SocketAddr, load: RunnerLoad) {
        let Some(id) = self.by_address.get(&address) else {
            return;
        };
        if let Some(runner) = self.runners.get_mut(id) {
            runner.take_load(now, load);
        }
    }

    /// Takes in a version that was named, and how long older ones may still be used. Versions only
    /// rise, and each keeps its own bound when a newer one is named.
    pub fn name_version(&mut self, now: Millis, model: ModelName, version: u64, within_ms: u64) {
        let named = self.named.entry(model).or_default();
        if named.last().is_some_and(|it| it.version >= version) {
            return;
        }
        let span = within_ms.saturating_sub(VERSION_MARGIN);
        named.push(NamedVersion { version, required_from: now.plus(span) });
        let required = named.iter().rposition(|it| it.required_from <= now).unwrap_or(0);
        named.drain(..required);
    }

    /// The oldest version of a model that a request may start on now.
    pub fn required_version(&self, now: Millis, model: &ModelName) -> u64 {
        let named = self.named.get(model).into_iter().flatten();
        let required = named.filter(|it| it.required_from <= now).map(|it| it.version);
        required.max().unwrap_or(0)
    }

    /// The newest version that was named for each model.
    pub fn named_versions(&self) -> Vec<(ModelName, u64)> {
        let newest = |named: &Vec<NamedVersion>| named.last().map(|it| it.version);
        self.named.iter().filter_map(|(model, it)| Some((model.clone(), newest(it)?))).collect()
    }

    /// A runner.
    pub fn runner(&self, id: &InstanceId) -> Option<&Runner> {
        self.runners.get(id)
    }

    /// A runner, to change it.
    pub fn runner_mut(&mut self, id: &InstanceId) -> Option<&mut Runner> {
        self.runners.get_mut(id)
    }

    /// The runners of a service.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Runner> {
        let ids = self.by_service.get(service).into_iter().flatten();
        ids.filter_map(|id| self.runners.get(id))
    }

    /// How many runners are known.
    pub fn len(&self) -> usize {
        self.runners.len()
    }

    /// Whether no runner is known.
    pub fn is_empty(&self) -> bool {
        self.runners.is_empty()
    }
}
