//! Announced versions of weights, as processes report them to each other.

use serde::{Deserialize, Serialize};

use crate::id::ModelName;
use crate::Millis;

/// How long older versions may still be used if the time of an announcement is unknown, in milliseconds. At
/// most the time that the platform grants a process that has just started.
const UNKNOWN_AGE_VERSION_MS: u64 = 3000;

/// A version of a model's weights that runners should switch to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncedVersion {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
    /// Maximum time since the announcement, in milliseconds. `None` if unknown: the version was in the store
    /// already when it was first read.
    pub age_ms: Option<u64>,
    /// The store's clock, in milliseconds, at the last time at which the version is known not to have been
    /// announced yet. `age_ms` is derived from it. `None` if the store did not report it. In messages it is
    /// sent separately, after the body.
    #[serde(skip)]
    pub after_ms: Option<u64>,
}

impl AnnouncedVersion {
    /// Returns whether the known age allows older versions to be used for longer than an unknown age does,
    /// given that they may be used for `version_ms`. A process that has not received data from the store for
    /// a while may go by either.
    pub fn known_age_extends_deadline(&self, version_ms: u64) -> bool {
        self.age_ms.is_some_and(|it| {
            version_ms.saturating_sub(it) > version_ms.min(UNKNOWN_AGE_VERSION_MS)
        })
    }
}

/// What one process knows about an announced version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The version.
    pub version: u64,
    /// The time of the announcement or, if unknown, the time at which this process first learned of the
    /// version.
    pub at: Millis,
    /// Whether the time of the announcement is known.
    pub known: bool,
    /// The store's clock, in milliseconds, when the version had not been announced yet, if `at` is derived
    /// from it.
    pub after_ms: Option<u64>,
}

impl Announcement {
    /// Records an announcement received at `now`.
    pub fn received_at(now: Millis, announced: &AnnouncedVersion) -> Self {
        let AnnouncedVersion { version, age_ms, after_ms, .. } = *announced;
        let after_ms = after_ms.filter(|_| age_ms.is_some());
        Self { version, at: now.minus(age_ms.unwrap_or(0)), known: age_ms.is_some(), after_ms }
    }

    /// Merges another report on the same version. Times from the store's history take precedence over all
    /// other reports, and among them the latest one: the version was not announced at either time. Of
    /// reports of the same time, and of the other reports, the earliest `at` is kept, because reports may
    /// have been delayed. A process that has just started assumes a time; with that it would stop using
    /// older versions earlier than other processes, and serve nothing until its runners have the new version.
    pub fn merge(&mut self, other: Self) {
        let is_better = match (self.after_ms, other.after_ms) {
            (Some(known), Some(reported)) if known == reported => other.at < self.at,
            (Some(known), Some(reported)) => reported > known,
            (None, Some(_)) => true,
            (Some(_), None) => false,
            (None, None) => other.known && (!self.known || other.at < self.at),
        };
        if is_better {
            *self = other;
        }
    }

    /// The deadline: from this time on, no request may start on an older version. It lies `version_ms` after
    /// the announcement.
    pub fn deadline(&self, version_ms: u64) -> Millis {
        let span = if self.known { version_ms } else { version_ms.min(UNKNOWN_AGE_VERSION_MS) };
        self.at.plus(span)
    }
}

/// The announced versions of one model known to one process. Each keeps its deadline when a newer one is
/// announced, even if its chunks are no longer fetched.
#[derive(Clone, Debug, Default)]
pub struct Announcements {
    /// Sorted by version, oldest first.
    announcements: Vec<Announcement>,
}

impl Announcements {
    /// Adds a version, or merges a report on a known one.
    pub fn add(&mut self, report: Announcement) {
        match self.announcements.binary_search_by_key(&report.version, |it| it.version) {
            Ok(index) => self.announcements[index].merge(report),
            Err(index) => self.announcements.insert(index, report),
        }
    }

    /// Returns a version if it is known.
    pub fn get(&self, version: u64) -> Option<Announcement> {
        self.announcements.iter().find(|it| it.version == version).copied()
    }

    /// All known versions, oldest first.
    pub fn all(&self) -> impl Iterator<Item = Announcement> + '_ {
        self.announcements.iter().copied()
    }

    /// The newest known version.
    pub fn newest(&self) -> Option<Announcement> {
        self.announcements.last().copied()
    }

    /// The newest version whose deadline has passed at time `at`; no request may start on an older one.
    /// Deadlines lie `version_ms` after the announcement. Zero if no deadline has passed.
    pub fn required(&self, at: Millis, version_ms: u64) -> u64 {
        let passed = self.announcements.iter().rev().find(|it| it.deadline(version_ms) <= at);
        passed.map_or(0, |it| it.version)
    }

    /// The time from which no request may start on version `held`: the earliest deadline of all newer
    /// versions. `None` if there is no newer version.
    pub fn deadline_of(&self, held: u64, version_ms: u64) -> Option<Millis> {
        let newer = self.announcements.iter().filter(|it| it.version > held);
        newer.map(|it| it.deadline(version_ms)).min()
    }

    /// Like `deadline_of`, but only for versions whose time of announcement is known.
    pub fn known_deadline_of(&self, held: u64, version_ms: u64) -> Option<Millis> {
        let newer = self.announcements.iter().filter(|it| it.version > held && it.known);
        newer.map(|it| it.deadline(version_ms)).min()
    }

    /// The versions to report to other processes: those whose deadline has not passed, and the newest. Oldest
    /// first.
    pub fn to_report(
        &self,
        now: Millis,
        version_ms: u64,
    ) -> impl Iterator<Item = Announcement> + '_ {
        let newest = self.newest().map(|it| it.version);
        let is_relevant =
            move |it: &&Announcement| now < it.deadline(version_ms) || Some(it.version) == newest;
        self.announcements.iter().filter(is_relevant).copied()
    }

    /// Removes all but the `count` newest versions.
    pub fn keep_newest(&mut self, count: usize) {
        let surplus = self.announcements.len().saturating_sub(count);
        self.announcements.drain(..surplus);
    }

    /// Removes versions that are superseded by a newer one whose deadline has passed at time `at`. A version
    /// with an assumed age supersedes none, because it may turn out to be younger.
    pub fn remove_superseded(&mut self, at: Millis, version_ms: u64) {
        let passed =
            self.announcements.iter().rposition(|it| it.known && it.deadline(version_ms) <= at);
        self.announcements.drain(..passed.unwrap_or(0));
    }
}
