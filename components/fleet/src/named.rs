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
    /// How long ago it was named at most, in milliseconds. `None` where it lay in the store when it
    /// was first read, and nobody knows.
    pub age_ms: Option<u64>,
    /// What the store's clock showed, in milliseconds, at the last moment at which it is known not to have been named. The
    /// age is by that. `None` where the store did not tell. It rides behind messages.
    #[serde(skip)]
    pub after_ms: Option<u64>,
}

impl NamedVersion {
    /// Whether older versions may be used for longer by its age than if nobody knew that, where they may for `version_ms`.
    /// A process that has not heard the store for a while may go by either.
    pub fn outlasts_guess(&self, version_ms: u64) -> bool {
        self.age_ms
            .is_some_and(|it| version_ms.saturating_sub(it) > version_ms.min(OLD_NEWS_WITHIN))
    }
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
    /// What the store's clock showed, in milliseconds, when it had not been named yet, where the moment is by that.
    pub after_ms: Option<u64>,
}

impl VersionName {
    /// A version that is heard of now.
    pub fn heard(now: Millis, named: &NamedVersion) -> Self {
        let NamedVersion { version, age_ms, after_ms, .. } = *named;
        let after_ms = after_ms.filter(|_| age_ms.is_some());
        Self { version, at: now.minus(age_ms.unwrap_or(0)), known: age_ms.is_some(), after_ms }
    }

    /// Takes in another word on the same version. The store's history is believed before any other word, and the latest
    /// moment by it: it was not named at either. Of other words the earliest moment is believed, for they may have been
    /// long on their way. A process that has just started only guesses; by its guess it would leave older versions sooner
    /// than the others, and serve nothing until its runners have the new one.
    pub fn merge(&mut self, other: Self) {
        let is_better = match (self.after_ms, other.after_ms) {
            (Some(known), Some(told)) => told > known,
            (None, Some(_)) => true,
            (Some(_), None) => false,
            (None, None) => other.known && (!self.known || other.at < self.at),
        };
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

/// The versions of one model that were named, as one process knows of them. Each keeps its bound when a newer one is
/// named, whatever becomes of its chunks.
#[derive(Clone, Debug, Default)]
pub struct VersionNames {
    /// By version, oldest first.
    names: Vec<VersionName>,
}

impl VersionNames {
    /// Takes in a word on a version: one that is not known yet, or another word on one that is.
    pub fn take(&mut self, heard: VersionName) {
        match self.names.binary_search_by_key(&heard.version, |it| it.version) {
            Ok(index) => self.names[index].merge(heard),
            Err(index) => self.names.insert(index, heard),
        }
    }

    /// What is known of a version.
    pub fn get(&self, version: u64) -> Option<VersionName> {
        self.names.iter().find(|it| it.version == version).copied()
    }

    /// Every version that is known, oldest first.
    pub fn all(&self) -> impl Iterator<Item = VersionName> + '_ {
        self.names.iter().copied()
    }

    /// The newest version.
    pub fn newest(&self) -> Option<VersionName> {
        self.names.last().copied()
    }

    /// The newest version whose bound has passed at a moment, where bounds lie `version_ms` after a naming: no request may
    /// start on an older one then. Zero where none has.
    pub fn required(&self, at: Millis, version_ms: u64) -> u64 {
        let passed = self.names.iter().rev().find(|it| it.bound(version_ms) <= at);
        passed.map_or(0, |it| it.version)
    }

    /// From when on no request may start on the version that is held: the first bound of all newer ones. `None` where
    /// there is no newer one.
    pub fn bound_of(&self, held: u64, version_ms: u64) -> Option<Millis> {
        let newer = self.names.iter().filter(|it| it.version > held);
        newer.map(|it| it.bound(version_ms)).min()
    }

    /// The same by the versions alone of which somebody knows when they were named.
    pub fn known_bound_of(&self, held: u64, version_ms: u64) -> Option<Millis> {
        let newer = self.names.iter().filter(|it| it.version > held && it.known);
        newer.map(|it| it.bound(version_ms)).min()
    }

    /// The versions that others should hear of: those whose bound has yet to pass, and the newest. Oldest first.
    pub fn told(&self, now: Millis, version_ms: u64) -> impl Iterator<Item = VersionName> + '_ {
        let newest = self.newest().map(|it| it.version);
        let binds =
            move |it: &&VersionName| now < it.bound(version_ms) || Some(it.version) == newest;
        self.names.iter().filter(binds).copied()
    }

    /// Forgets all but so many of the newest versions.
    pub fn keep_newest(&mut self, count: usize) {
        let surplus = self.names.len().saturating_sub(count);
        self.names.drain(..surplus);
    }

    /// Forgets versions that a newer one has made needless: its bound has passed at this moment. One whose age is only
    /// assumed makes none needless, for it may turn out to be younger.
    pub fn forget_before(&mut self, at: Millis, version_ms: u64) {
        let passed = self.names.iter().rposition(|it| it.known && it.bound(version_ms) <= at);
        self.names.drain(..passed.unwrap_or(0));
    }
}
