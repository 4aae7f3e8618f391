//! A version of weights that was named, as processes tell each other of it.

use serde::{Deserialize, Serialize};

use crate::id::ModelName;
use crate::Millis;

/// How long older versions may still be used when nobody knows when a version was named, in milliseconds:
/// no longer than the platform gives a process that has just started.
const OLD_NEWS_WITHIN: u64 = 3000;

/// A version of a model's weights that runners are to be moved to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVersion {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
    /// How long ago it was named at least, in milliseconds. `None` where it lay in the store when it
    /// was first read, and nobody knows.
    pub age_ms: Option<u64>,
}

/// A version that was named, as one process knows of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionName {
    /// The version.
    pub version: u64,
    /// When it was named or, where that is not known, when it was first heard of.
    pub at: Millis,
    /// Whether it is known when it was named.
    pub known: bool,
}

impl VersionName {
    /// A version that is heard of now. `age_ms` is how long ago it was named, where that is known.
    pub fn heard(now: Millis, version: u64, age_ms: Option<u64>) -> Self {
        Self { version, at: now.minus(age_ms.unwrap_or(0)), known: age_ms.is_some() }
    }

    /// Takes in another word on the same version: whoever knows its age is believed, and the earliest of
    /// those. A process that has just started only guesses; by its guess it would leave older versions
    /// sooner than the others, and serve nothing until its runners have the new one.
    pub fn merge(&mut self, other: Self) {
        let is_better = other.known && (!self.known || other.at < self.at);
        if is_better {
            *self = other;
        }
    }

    /// From when on no request may start on an older version, which it may for `version_ms` after the naming.
    pub fn bound(&self, version_ms: u64) -> Millis {
        let span = if self.known { version_ms } else { version_ms.min(OLD_NEWS_WITHIN) };
        self.at.plus(span)
    }
}
