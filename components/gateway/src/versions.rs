//! The versions of weights that were named, and until when requests may start on older ones.

use std::collections::HashMap;

use fleet::{Millis, ModelName, NamedVersion, VersionName};

/// How long before its bound an older version is left alone, in milliseconds: before a request starts it
/// may wait for a place, the place may be used a little later, and then it waits in the runner's queue.
const VERSION_MARGIN: u64 = 1200;

/// The named versions of each model.
#[derive(Clone, Debug, Default)]
pub(crate) struct NamedVersions {
    /// How long requests may start on an older version after a newer one was named, in milliseconds.
    version_ms: u64,
    by_model: HashMap<ModelName, Vec<VersionName>>,
}

impl NamedVersions {
    /// Starts with no version named.
    pub(crate) fn new(version_ms: u64) -> Self {
        Self { version_ms, by_model: HashMap::new() }
    }

    /// Changes how long requests may start on an older version, in milliseconds.
    pub(crate) fn set_version_ms(&mut self, version_ms: u64) {
        self.version_ms = version_ms;
    }

    /// Takes in a version. Versions only rise, and each keeps its own bound when a newer one is named. Who hears
    /// of a version late, or starts after it was named, is told its age by the others.
    pub(crate) fn name(&mut self, now: Millis, named: NamedVersion) {
        let heard = VersionName::heard(now, named.version, named.age_ms);
        let version_ms = self.version_ms;
        let names = self.by_model.entry(named.model).or_default();
        let newest = names.last().map_or(0, |it| it.version);
        if heard.version > newest {
            names.push(heard);
        } else if let Some(known) = names.iter_mut().find(|it| it.version == heard.version) {
            known.merge(heard);
        }
        let is_required = |it: &VersionName| required_from(it, version_ms) <= now;
        let required = names.iter().rposition(is_required).unwrap_or(0);
        names.drain(..required);
    }

    /// The oldest version of a model that a request may start on now.
    pub(crate) fn required(&self, now: Millis, model: &ModelName) -> u64 {
        let names = self.by_model.get(model).into_iter().flatten();
        let required = names.filter(|it| required_from(it, self.version_ms) <= now);
        required.map(|it| it.version).max().unwrap_or(0)
    }

    /// The newest version that was named for each model.
    pub(crate) fn newest(&self, now: Millis) -> Vec<NamedVersion> {
        let newest = |(model, names): (&ModelName, &Vec<VersionName>)| {
            let name = names.last()?;
            let age_ms = name.known.then(|| now.since(name.at).0);
            Some(NamedVersion { model: model.clone(), version: name.version, age_ms })
        };
        self.by_model.iter().filter_map(newest).collect()
    }
}

/// From when on no request is sent to a runner that holds an older version.
fn required_from(name: &VersionName, version_ms: u64) -> Millis {
    name.bound(version_ms).minus(VERSION_MARGIN)
}
