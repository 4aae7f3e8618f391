//! Maintains the record of when versions were first announced.
//!
//! The record is kept in the store and outlives every process. It has one row per model, with the
//! newest version and a time of the store's clock at which that version had not been announced yet.
//! A process that receives the announcement of a version writes the row, on condition that it is
//! unchanged since it was last seen. A process that finds a version in the store reads the row to
//! learn the version's age. The age from a row is never less than the true one, so a version
//! deadline computed from it ends no later than the true deadline.

use std::collections::BTreeMap;

use fleet::{AnnouncedVersion, Millis, ModelName};

/// Random delay of a write, in milliseconds, so that gateways that receive an announcement together
/// do not write at once. The first write is sufficient. Power may be lost soon after an
/// announcement, so the delay is short.
const WRITE_SPREAD_MS: u64 = 400;
/// Delay after the first failed call, in milliseconds; it doubles with each failure. Refused calls
/// load the store too.
const FIRST_RETRY_DELAY_MS: u64 = 250;
/// Maximum number of doublings of the delay: it stays well below the time for which a row is
/// useful.
const MAX_RETRY_DOUBLINGS: u32 = 3;

/// When a version was first announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FirstSeenVersion {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
    /// Time of the store's clock at which the version had not been announced yet, in milliseconds.
    pub not_before_ms: u64,
    /// Earlier versions that still have a version deadline. They are kept here because there is one
    /// row per model and it outlives every process. Rows of earlier builds contain none.
    pub older: Vec<OlderVersion>,
}

/// A version before the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OlderVersion {
    /// The version.
    pub version: u64,
    /// Time of the store's clock at which it had not been announced yet, in milliseconds.
    pub not_before_ms: u64,
}

/// A row of the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordRow {
    /// Content of the row. `None` if it cannot be parsed; it is then overwritten.
    pub first_seen: Option<FirstSeenVersion>,
    /// Revision of the row in the store.
    pub revision: u64,
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordCall {
    /// Read every row.
    Read,
    /// Write a row if it has this revision; zero if there is no row.
    Write(FirstSeenVersion, u64),
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordAnswer {
    /// The rows, and the time of the store's clock.
    Rows(Vec<RecordRow>, u64),
    /// The row was written and has this revision.
    Written(u64),
    /// Nothing was written: the row has another revision, or there is none.
    Differs(Option<RecordRow>),
    /// Nothing was done, or the result is unknown. A write is repeated under the same condition, so
    /// that it happens at most once: if the lost one was executed, the row shows it.
    Failed,
}

/// A row that is to be written.
#[derive(Clone, Debug)]
struct Pending {
    first_seen: FirstSeenVersion,
    /// When the call is due.
    at: Millis,
    /// When the row stops being useful.
    until: Millis,
    /// Whether a write already found another row than expected. The next write expects the row that
    /// was found then.
    has_differed: bool,
}

/// The pending reads and writes of the record.
#[derive(Clone, Debug)]
pub struct VersionRecord {
    /// How long requests may start on an older version after a newer one was announced, in
    /// milliseconds.
    version_ms: u64,
    /// The newest known version of each model.
    newest: BTreeMap<ModelName, u64>,
    /// Announcement times of versions that may still have a version deadline, by model and version,
    /// and when that deadline passes.
    known: BTreeMap<ModelName, BTreeMap<u64, (OlderVersion, Millis)>>,
    /// Versions whose age no process has reported yet.
    unknown: BTreeMap<ModelName, u64>,
    /// When the record is to be read.
    read_at: Option<Millis>,
    /// When the ages of all versions that are known to be announced stop being useful.
    read_until: Millis,
    /// When the last call became due.
    called_at: Millis,
    pending: BTreeMap<ModelName, Pending>,
    /// Rows that are up to date as far as is known, and until when they are useful.
    written: BTreeMap<ModelName, (FirstSeenVersion, Millis)>,
    /// Last seen revisions of the rows.
    revisions: BTreeMap<ModelName, u64>,
    failures: u32,
}

impl VersionRecord {
    /// Creates a record with no known versions and no pending calls.
    pub fn new(version_ms: u64) -> Self {
        Self {
            version_ms,
            newest: BTreeMap::new(),
            known: BTreeMap::new(),
            unknown: BTreeMap::new(),
            read_at: None,
            read_until: Millis(0),
            called_at: Millis(0),
            pending: BTreeMap::new(),
            written: BTreeMap::new(),
            revisions: BTreeMap::new(),
            failures: 0,
        }
    }

    /// Records a version that the store reported. `not_before_ms` is a time of the store's clock at
    /// which the version had not been announced yet; `None` if it may have been announced at any
    /// time.
    pub fn record_version(
        &mut self,
        now: Millis,
        seed: u64,
        model: ModelName,
        version: u64,
        not_before_ms: Option<u64>,
    ) {
        if self.newest.get(&model).is_some_and(|it| *it >= version) {
            return;
        }
        self.newest.insert(model.clone(), version);
        self.pending.remove(&model);
        self.unknown.remove(&model);
        let Some(not_before_ms) = not_before_ms else {
            self.unknown.insert(model, version);
            self.read_at = Some(now);
            self.read_until = now.plus(self.version_ms);
            return;
        };
        self.remember(now, &model, OlderVersion { version, not_before_ms });
        let first_seen =
            FirstSeenVersion { model: model.clone(), version, not_before_ms, older: Vec::new() };
        let at = now.plus(seed % WRITE_SPREAD_MS);
        let until = now.plus(self.version_ms);
        self.pending.insert(model, Pending { first_seen, at, until, has_differed: false });
    }

    /// Records that the store was restored from an older copy: rows may be missing, and revisions
    /// seen before may be assigned again. Rows that are still useful are written again, under the
    /// conditions that hold then, by the gateway for which `is_mine` is true.
    pub fn record_store_restore(
        &mut self,
        now: Millis,
        seed: u64,
        is_mine: impl Fn(&ModelName) -> bool,
    ) {
        self.revisions.clear();
        let written = std::mem::take(&mut self.written);
        let at = now.plus(seed % WRITE_SPREAD_MS);
        for (model, (first_seen, until)) in written {
            if now < until && is_mine(&model) {
                let pending = Pending { first_seen, at, until, has_differed: false };
                self.pending.entry(model).or_insert(pending);
            }
        }
    }

    /// Records the ages of versions that processes reported; these need not be read.
    pub fn note_known(&mut self, announced: &[AnnouncedVersion]) {
        for reported in announced.iter().filter(|it| it.age_ms.is_some()) {
            if self.unknown.get(&reported.model).is_some_and(|it| *it <= reported.version) {
                self.unknown.remove(&reported.model);
            }
        }
        if self.unknown.is_empty() {
            self.read_at = None;
        }
    }

    /// Returns the call that is due. It stays due until its result is applied.
    pub fn due(&mut self, now: Millis) -> Option<RecordCall> {
        self.pending.retain(|_, it| now < it.until);
        if now >= self.read_until {
            self.unknown.clear();
            self.read_at = None;
        }
        self.called_at = now;
        if self.read_at.is_some_and(|at| at <= now) {
            return Some(RecordCall::Read);
        }
        let pending = self.pending.values().find(|it| it.at <= now)?;
        let revision = self.revisions.get(&pending.first_seen.model).copied().unwrap_or(0);
        let older = self.older(now, &pending.first_seen);
        Some(RecordCall::Write(FirstSeenVersion { older, ..pending.first_seen.clone() }, revision))
    }

    /// Remembers a version for as long as its version deadline can apply.
    fn remember(&mut self, now: Millis, model: &ModelName, name: OlderVersion) {
        let versions = self.known.entry(model.clone()).or_default();
        versions.retain(|_, (_, until)| now < *until);
        versions.entry(name.version).or_insert((name, now.plus(self.version_ms)));
    }

    /// The versions before a newer one whose version deadline may still apply.
    fn older(&self, now: Millis, newer: &FirstSeenVersion) -> Vec<OlderVersion> {
        let versions = self.known.get(&newer.model).into_iter().flatten();
        let older = versions.filter(|(version, _)| **version < newer.version);
        let bound_applies = |(name, until): &(OlderVersion, Millis)| {
            let before_ms = newer.not_before_ms.saturating_sub(name.not_before_ms);
            now < *until && before_ms < self.version_ms
        };
        older.map(|(_, it)| it).filter(|it| bound_applies(it)).map(|(name, _)| *name).collect()
    }

    /// When the next call is due.
    pub fn next_at(&self) -> Option<Millis> {
        self.pending.values().map(|it| it.at).chain(self.read_at).min()
    }

    /// Applies the result of a call, and returns the versions whose ages it contains.
    pub fn apply_answer(
        &mut self,
        now: Millis,
        seed: u64,
        call: &RecordCall,
        answer: RecordAnswer,
    ) -> Vec<AnnouncedVersion> {
        match (call, answer) {
            (_, RecordAnswer::Failed) => self.retry_later(now, seed, call),
            (RecordCall::Read, RecordAnswer::Rows(rows, clock_ms)) => {
                self.failures = 0;
                // The store may have read its clock as soon as it received the request, so the
                // duration of the call is added.
                let clock_ms = clock_ms.saturating_add(now.since(self.called_at).0);
                return self.apply_rows(now, rows, clock_ms);
            }
            (RecordCall::Write(first_seen, _), RecordAnswer::Written(revision)) => {
                self.failures = 0;
                self.revisions.insert(first_seen.model.clone(), revision);
                self.mark_written(first_seen);
            }
            (RecordCall::Write(first_seen, expected), RecordAnswer::Differs(row)) => {
                self.apply_found_row(now, first_seen, *expected, row);
                self.delay_if_differs_again(now, seed, call);
            }
            // The result does not match the call.
            (RecordCall::Read, _) | (RecordCall::Write(..), RecordAnswer::Rows(..)) => {
                self.retry_later(now, seed, call);
            }
        }
        Vec::new()
    }

    /// Applies all rows. `clock_ms` is the latest time that the store's clock may show now. If no
    /// row was written for a version, its age remains unknown.
    fn apply_rows(
        &mut self,
        now: Millis,
        rows: Vec<RecordRow>,
        clock_ms: u64,
    ) -> Vec<AnnouncedVersion> {
        self.read_at = None;
        let unknown = std::mem::take(&mut self.unknown);
        let mut ages = Vec::new();
        for RecordRow { first_seen, revision } in rows {
            let Some(first_seen) = first_seen else {
                continue;
            };
            self.revisions.insert(first_seen.model.clone(), revision);
            self.remember_row(now, &first_seen);
            if unknown.get(&first_seen.model) == Some(&first_seen.version) {
                ages.extend(
                    first_seen
                        .older
                        .iter()
                        .map(|it| self.older_age(&first_seen.model, it, clock_ms)),
                );
                ages.extend(self.age(&first_seen, clock_ms));
            }
        }
        ages
    }

    /// Remembers the versions in a row.
    fn remember_row(&mut self, now: Millis, first_seen: &FirstSeenVersion) {
        let FirstSeenVersion { version, not_before_ms, .. } = *first_seen;
        for name in
            first_seen.older.iter().copied().chain([OlderVersion { version, not_before_ms }])
        {
            self.remember(now, &first_seen.model, name);
        }
    }

    /// The age of a version before the newest one. The version is returned without an age if the
    /// age is not useful: no other process reports it, and its version deadline applies all the
    /// same.
    fn older_age(&self, model: &ModelName, name: &OlderVersion, clock_ms: u64) -> AnnouncedVersion {
        let OlderVersion { version, not_before_ms } = *name;
        let first_seen =
            FirstSeenVersion { model: model.clone(), version, not_before_ms, older: Vec::new() };
        let unknown =
            AnnouncedVersion { model: model.clone(), version, age_ms: None, after_ms: None };
        self.age(&first_seen, clock_ms).unwrap_or(unknown)
    }

    /// The age of a version according to its row. `None` if it is not useful: the store's clock has
    /// gone back, or an unknown age would let a process that has just started use older versions at
    /// least as long.
    fn age(&self, first_seen: &FirstSeenVersion, clock_ms: u64) -> Option<AnnouncedVersion> {
        let age_ms = clock_ms.checked_sub(first_seen.not_before_ms)?;
        let (model, version) = (first_seen.model.clone(), first_seen.version);
        // Rows of earlier builds may contain a later time than the true announcement, so no row is
        // treated as history from the store.
        let announced = AnnouncedVersion { model, version, age_ms: Some(age_ms), after_ms: None };
        announced.known_age_extends_deadline(self.version_ms).then_some(announced)
    }

    /// Applies the row that was found instead of the expected one.
    fn apply_found_row(
        &mut self,
        now: Millis,
        first_seen: &FirstSeenVersion,
        expected: u64,
        row: Option<RecordRow>,
    ) {
        let found = row.as_ref().map_or(0, |it| it.revision);
        if let Some(reported) = row.as_ref().and_then(|it| it.first_seen.as_ref()) {
            self.remember_row(now, reported);
        }
        self.revisions.insert(first_seen.model.clone(), found);
        let found_version = row.and_then(|it| it.first_seen).map_or(0, |it| it.version);
        // The same condition would fail forever: the store contradicts itself.
        if found_version >= first_seen.version || found == expected {
            self.mark_written(first_seen);
        }
    }

    /// Delays the next write of a row that differed again although the write expected its reported
    /// state; otherwise writes would repeat without end.
    fn delay_if_differs_again(&mut self, now: Millis, seed: u64, call: &RecordCall) {
        let RecordCall::Write(first_seen, _) = call else {
            return;
        };
        let pending = self.pending.get_mut(&first_seen.model);
        let differed = pending.map(|it| std::mem::replace(&mut it.has_differed, true));
        match differed {
            Some(true) => self.retry_later(now, seed, call),
            Some(false) | None => self.failures = 0,
        }
    }

    /// Marks a row as written.
    fn mark_written(&mut self, first_seen: &FirstSeenVersion) {
        let is_it = |it: &Pending| it.first_seen.version <= first_seen.version;
        if self.pending.get(&first_seen.model).is_some_and(is_it) {
            let done = self.pending.remove(&first_seen.model).map(|it| (it.first_seen, it.until));
            self.written.extend(done.map(|it| (first_seen.model.clone(), it)));
        }
    }

    /// Delays a failed call, longer with each failure.
    fn retry_later(&mut self, now: Millis, seed: u64, call: &RecordCall) {
        let delay = FIRST_RETRY_DELAY_MS << self.failures.min(MAX_RETRY_DOUBLINGS);
        self.failures += 1;
        // Random delays separate gateways that failed at the same time.
        let retry_at = now.plus(delay / 2 + seed % delay);
        match call {
            RecordCall::Read => self.read_at = self.read_at.map(|_| retry_at),
            RecordCall::Write(first_seen, _) => {
                if let Some(pending) = self.pending.get_mut(&first_seen.model) {
                    pending.at = retry_at;
                }
            }
        }
    }
}
