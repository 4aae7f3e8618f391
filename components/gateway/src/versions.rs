//! The versions of weights that were named, and until when requests may start on older ones.

use std::collections::HashMap;

use fleet::{Millis, ModelName, NamedVersion, VersionName, VersionNames};

/// How long before its bound an older version is left alone, in milliseconds: before a request starts it
/// may wait for a place, the place may be used a little later, and then it waits in the runner's queue.
const VERSION_MARGIN: u64 = 1200;

/// The named versions of each model.
#[derive(Clone, Debug, Default)]
pub(crate) struct NamedVersions {
    /// How long requests may start on an older version after a newer one was named, in milliseconds.
    version_ms: u64,
    by_model: HashMap<ModelName, VersionNames>,
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

    /// Takes in a version. Each keeps its own bound when a newer one is named, also where the newer one was heard of first.
    /// Who hears of a version late, or starts after it was named, is told its age by the others.
    pub(crate) fn name(&mut self, now: Millis, named: NamedVersion) {
        let heard = VersionName::heard(now, &named);
        let names = self.by_model.entry(named.model).or_default();
        names.take(heard);
        names.forget_before(now, self.version_ms);
    }

    /// The oldest version of a model that a request may start on now.
    pub(crate) fn required(&self, now: Millis, model: &ModelName) -> u64 {
        let names = self.by_model.get(model);
        names.map_or(0, |it| it.required(now.plus(VERSION_MARGIN), self.version_ms))
    }

    /// From when on no request may start on the version of a model that is held. `None` where there is no newer one.
    pub(crate) fn bound_of(&self, model: &ModelName, held: u64) -> Option<Millis> {
        self.by_model.get(model)?.bound_of(held, self.version_ms)
    }

    /// The versions of each model that other processes should hear of, oldest first.
    pub(crate) fn told(&self, now: Millis) -> Vec<NamedVersion> {
        let of_model = |(model, names): (&ModelName, &VersionNames)| {
            let told = names.told(now, self.version_ms).map(|it| {
                let age_ms = it.known.then(|| now.since(it.at).0);
                let (model, version, after_ms) = (model.clone(), it.version, it.after_ms);
                NamedVersion { model, version, age_ms, after_ms }
            });
            told.collect::<Vec<_>>()
        };
        self.by_model.iter().flat_map(of_model).collect()
    }
}
