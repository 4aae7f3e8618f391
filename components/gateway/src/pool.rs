//! The runners that a gateway knows.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use fleet::{InstanceId, Millis, ModelName, ServiceName};

use crate::runner::{Runner, RunnerLoad, RunnerRecord};

/// How long before its bound an older version is left alone, in milliseconds: a request is on its
/// way for a while before it starts.
const VERSION_MARGIN: u64 = 1200;

/// The version that was named last for a model, and the one before it.
#[derive(Clone, Copy, Debug)]
struct NamedVersion {
    version: u64,
    since: Millis,
    /// What was required before.
    before: u64,
}

/// The runners of every service, and the versions that they should hold.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    runners: BTreeMap<InstanceId, Runner>,
    by_service: HashMap<ServiceName, Vec<InstanceId>>,
    by_address: HashMap<SocketAddr, InstanceId>,
    named: HashMap<ModelName, NamedVersion>,
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

    /// Takes in a version that was named. Versions only rise.
    pub fn name_version(&mut self, now: Millis, model: ModelName, version: u64, version_ms: u64) {
        let before = self.required_version(now, &model, version_ms);
        let known = self.named.get(&model).map_or(0, |it| it.version);
        if version > known {
            self.named.insert(model, NamedVersion { version, since: now, before });
        }
    }

    /// The oldest version of a model that a request may start on now.
    pub fn required_version(&self, now: Millis, model: &ModelName, version_ms: u64) -> u64 {
        let Some(named) = self.named.get(model) else {
            return 0;
        };
        let span = version_ms.saturating_sub(VERSION_MARGIN);
        if now.since(named.since).0 >= span {
            named.version
        } else {
            named.before
        }
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
