//! The versions of weights that were named, and until when requests may start on older ones.

use std::collections::HashMap;

use fleet::{Millis, ModelName, NamedVersion};

/// How long before its bound an older version is left alone, in milliseconds: a request is on its
/// way for a while before it starts. It may wait 0.1 s for a place, which is good for 0.35 s; the rest is for
/// the runner's queue. A trial with 800 earned no more.
const VERSION_MARGIN: u64 = 1200;
/// How long older versions may still be used when nobody knows when a version was named, in
/// milliseconds: what the platform gives a process that has just started, three to four seconds at the
/// deployments seen so far.
const OLD_NEWS_WITHIN: u64 = 3000;

/// A version, and from when on no request may start on an older one.
#[derive(Clone, Copy, Debug)]
struct Bound {
    version: u64,
    /// The earliest moment that somebody knows it to have been named at.
    named_at: Option<Millis>,
    required_from: Millis,
}

/// The named versions of each model.
#[derive(Clone, Debug, Default)]
pub(crate) struct NamedVersions {
    /// How long requests may start on an older version after a newer one was named, in milliseconds.
    version_ms: u64,
    by_model: HashMap<ModelName, Vec<Bound>>,
}

impl NamedVersions {
    /// Starts with no version named.
    pub(crate) fn new(version_ms: u64) -> Self {
        Self { version_ms, by_model: HashMap::new() }
    }

    /// Takes in a version. Versions only rise, and each keeps its own bound when a newer one is named.
    /// Who hears of a version late, or starts after it was named, is told its age by the others; a bound
    /// only ever gets earlier by that.
    pub(crate) fn name(&mut self, now: Millis, named: NamedVersion) {
        let named_at = named.age_ms.map(|age| now.minus(age));
        let until = match named_at {
            Some(at) => at.plus(self.version_ms),
            None => now.plus(OLD_NEWS_WITHIN),
        };
        let required_from = until.minus(VERSION_MARGIN);
        let bounds = self.by_model.entry(named.model).or_default();
        let newest = bounds.last().map_or(0, |it| it.version);
        if named.version > newest {
            bounds.push(Bound { version: named.version, named_at, required_from });
        } else if let Some(known) = bounds.iter_mut().find(|it| it.version == named.version) {
            known.required_from = known.required_from.min(required_from);
            known.named_at = known.named_at.into_iter().chain(named_at).min();
        }
        let required = bounds.iter().rposition(|it| it.required_from <= now).unwrap_or(0);
        bounds.drain(..required);
    }

    /// The oldest version of a model that a request may start on now.
    pub(crate) fn required(&self, now: Millis, model: &ModelName) -> u64 {
        let bounds = self.by_model.get(model).into_iter().flatten();
        let required = bounds.filter(|it| it.required_from <= now).map(|it| it.version);
        required.max().unwrap_or(0)
    }

    /// The newest version that was named for each model.
    pub(crate) fn newest(&self, now: Millis) -> Vec<NamedVersion> {
        let newest = |(model, bounds): (&ModelName, &Vec<Bound>)| {
            let bound = bounds.last()?;
            let age_ms = bound.named_at.map(|at| now.since(at).0);
            Some(NamedVersion { model: model.clone(), version: bound.version, age_ms })
        };
        self.by_model.iter().filter_map(newest).collect()
    }
}
