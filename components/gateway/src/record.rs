//! What a gateway does about the record of when versions were first heard of.
//!
//! The record lies in the store and outlasts every process: one row a model, with the newest version and a moment
//! of the store's clock before which that version had not been named. Whoever hears of a version when it is named
//! writes the row, under the condition that it is as it was last seen. A process that finds a version in the store
//! reads the row and knows the version's age. A row's age is never less than the true one, so a bound that runs
//! from it ends no later than the true one.

use std::collections::BTreeMap;

use fleet::{Millis, ModelName, NamedVersion};

/// Gateways that hear of a version together write within so many milliseconds of each other. The first one's write
/// does; power may be lost soon after a version was named, so the span is short.
const WRITE_SPREAD: u64 = 400;
/// The pause after the first call that failed, in milliseconds; it doubles with each. Refused calls load
/// the store too.
const FIRST_PAUSE: u64 = 250;
/// How often the pause is doubled at most: it stays well below the time that a row is of use for.
const MOST_DOUBLINGS: u32 = 3;

/// When a version was first heard of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FirstHeard {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
    /// The store's clock at a moment when the version had not been named yet, in milliseconds.
    pub not_before_ms: u64,
    /// The versions before it that still bind, for a row tells of one model and outlasts every process. Rows of earlier
    /// builds tell of none.
    pub older: Vec<OlderName>,
}

/// A version before the newest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OlderName {
    /// The version.
    pub version: u64,
    /// The store's clock at a moment when it had not been named yet, in milliseconds.
    pub not_before_ms: u64,
}

/// A row of the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordRow {
    /// What it says. `None` where it cannot be read: it is written anew.
    pub heard: Option<FirstHeard>,
    /// Its revision in the store.
    pub revision: u64,
}

/// A call that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordCall {
    /// Read every row.
    Read,
    /// Write a row if it has this revision, zero where there is none.
    Write(FirstHeard, u64),
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordAnswer {
    /// The rows, and the store's clock.
    Rows(Vec<RecordRow>, u64),
    /// The row is written and has this revision.
    Written(u64),
    /// Nothing was written: the row is another one, or there is none.
    Differs(Option<RecordRow>),
    /// Nothing was done, or nobody knows. A write is repeated under its condition, so that it is done once at most:
    /// where the lost one was done, the row tells.
    Failed,
}

/// A row that is to be written.
#[derive(Clone, Debug)]
struct Pending {
    heard: FirstHeard,
    /// When the call is due.
    at: Millis,
    /// When the row is of no more use.
    until: Millis,
    /// Whether the row was another one than expected before: it should have been told as it is.
    has_differed: bool,
}

/// What is to be read and written.
#[derive(Clone, Debug)]
pub struct VersionRecord {
    /// How long requests may start on an older version after a newer one was named, in milliseconds.
    version_ms: u64,
    /// Versions that are heard of, the newest of each model.
    newest: BTreeMap<ModelName, u64>,
    /// What is known of versions that may still bind, by model and version, and until when they do.
    known: BTreeMap<ModelName, BTreeMap<u64, (OlderName, Millis)>>,
    /// Versions whose age nobody has told yet.
    unknown: BTreeMap<ModelName, u64>,
    /// When the record is to be read.
    read_at: Option<Millis>,
    /// When the ages of all versions that are known to be named are of no more use.
    read_until: Millis,
    /// When the call that was made last was due.
    asked_at: Millis,
    pending: BTreeMap<ModelName, Pending>,
    /// Rows that are as they should be, as far as known, and until when they are of use.
    settled: BTreeMap<ModelName, (FirstHeard, Millis)>,
    /// The revisions of the rows as they were last seen.
    revisions: BTreeMap<ModelName, u64>,
    failures: u32,
}

impl VersionRecord {
    /// Starts with no version heard of, and nothing to do.
    pub fn new(version_ms: u64) -> Self {
        Self {
            version_ms,
            newest: BTreeMap::new(),
            known: BTreeMap::new(),
            unknown: BTreeMap::new(),
            read_at: None,
            read_until: Millis(0),
            asked_at: Millis(0),
            pending: BTreeMap::new(),
            settled: BTreeMap::new(),
            revisions: BTreeMap::new(),
            failures: 0,
        }
    }

    /// Takes in a version that the store told of. `not_before_ms` is the store's clock at a moment when it had not
    /// been named yet; `None` where it may have been named at any time.
    pub fn hear(
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
        self.remember(now, &model, OlderName { version, not_before_ms });
        let heard = FirstHeard { model: model.clone(), version, not_before_ms, older: Vec::new() };
        let at = now.plus(seed % WRITE_SPREAD);
        let until = now.plus(self.version_ms);
        self.pending.insert(model, Pending { heard, at, until, has_differed: false });
    }

    /// The store came back from an older copy: rows may be gone, and revisions that were seen are given out again. Rows that
    /// are still of use are written again by whom that falls to, under the conditions that hold then.
    pub fn note_went_back(&mut self, now: Millis, seed: u64, is_mine: impl Fn(&ModelName) -> bool) {
        self.revisions.clear();
        let settled = std::mem::take(&mut self.settled);
        let at = now.plus(seed % WRITE_SPREAD);
        for (model, (heard, until)) in settled {
            if now < until && is_mine(&model) {
                let pending = Pending { heard, at, until, has_differed: false };
                self.pending.entry(model).or_insert(pending);
            }
        }
    }

    /// Takes in what processes have told of the ages of versions: what they know need not be read.
    pub fn note_known(&mut self, named: &[NamedVersion]) {
        for told in named.iter().filter(|it| it.age_ms.is_some()) {
            if self.unknown.get(&told.model).is_some_and(|it| *it <= told.version) {
                self.unknown.remove(&told.model);
            }
        }
        if self.unknown.is_empty() {
            self.read_at = None;
        }
    }

    /// The call that is due. It stays due until its answer is taken in.
    pub fn due(&mut self, now: Millis) -> Option<RecordCall> {
        self.pending.retain(|_, it| now < it.until);
        if now >= self.read_until {
            self.unknown.clear();
            self.read_at = None;
        }
        self.asked_at = now;
        if self.read_at.is_some_and(|at| at <= now) {
            return Some(RecordCall::Read);
        }
        let pending = self.pending.values().find(|it| it.at <= now)?;
        let revision = self.revisions.get(&pending.heard.model).copied().unwrap_or(0);
        let older = self.older(now, &pending.heard);
        Some(RecordCall::Write(FirstHeard { older, ..pending.heard.clone() }, revision))
    }

    /// Keeps a version in mind for as long as it can bind.
    fn remember(&mut self, now: Millis, model: &ModelName, name: OlderName) {
        let versions = self.known.entry(model.clone()).or_default();
        versions.retain(|_, (_, until)| now < *until);
        versions.entry(name.version).or_insert((name, now.plus(self.version_ms)));
    }

    /// The versions before a newer one that may still bind.
    fn older(&self, now: Millis, newer: &FirstHeard) -> Vec<OlderName> {
        let versions = self.known.get(&newer.model).into_iter().flatten();
        let older = versions.filter(|(version, _)| **version < newer.version);
        let binds = |(name, until): &(OlderName, Millis)| {
            let before_ms = newer.not_before_ms.saturating_sub(name.not_before_ms);
            now < *until && before_ms < self.version_ms
        };
        older.map(|(_, it)| it).filter(|it| binds(it)).map(|(name, _)| *name).collect()
    }

    /// When the next call is due.
    pub fn next_at(&self) -> Option<Millis> {
        self.pending.values().map(|it| it.at).chain(self.read_at).min()
    }

    /// Takes in what became of a call, and gives the versions whose ages it told.
    pub fn take(
        &mut self,
        now: Millis,
        seed: u64,
        call: &RecordCall,
        answer: RecordAnswer,
    ) -> Vec<NamedVersion> {
        match (call, answer) {
            (_, RecordAnswer::Failed) => self.wait(now, seed, call),
            (RecordCall::Read, RecordAnswer::Rows(rows, clock_ms)) => {
                self.failures = 0;
                // The store may have read its clock as soon as it was asked.
                let clock_ms = clock_ms.saturating_add(now.since(self.asked_at).0);
                return self.take_rows(now, rows, clock_ms);
            }
            (RecordCall::Write(heard, _), RecordAnswer::Written(revision)) => {
                self.failures = 0;
                self.revisions.insert(heard.model.clone(), revision);
                self.settle(heard);
            }
            (RecordCall::Write(heard, expected), RecordAnswer::Differs(row)) => {
                self.take_other(now, heard, *expected, row);
                self.pause_if_differed(now, seed, call);
            }
            // An answer to another call than the one that was made.
            (RecordCall::Read, _) | (RecordCall::Write(..), RecordAnswer::Rows(..)) => {
                self.wait(now, seed, call);
            }
        }
        Vec::new()
    }

    /// Takes in every row, by what the store's clock may show now at the latest. Where nobody wrote one for a version
    /// its age stays unknown.
    fn take_rows(&mut self, now: Millis, rows: Vec<RecordRow>, clock_ms: u64) -> Vec<NamedVersion> {
        self.read_at = None;
        let unknown = std::mem::take(&mut self.unknown);
        let mut ages = Vec::new();
        for RecordRow { heard, revision } in rows {
            let Some(heard) = heard else {
                continue;
            };
            self.revisions.insert(heard.model.clone(), revision);
            self.remember_row(now, &heard);
            if unknown.get(&heard.model) == Some(&heard.version) {
                ages.extend(
                    heard.older.iter().map(|it| self.older_age(&heard.model, it, clock_ms)),
                );
                ages.extend(self.age(&heard, clock_ms));
            }
        }
        ages
    }

    /// Keeps in mind what a row tells.
    fn remember_row(&mut self, now: Millis, heard: &FirstHeard) {
        let FirstHeard { version, not_before_ms, .. } = *heard;
        for name in heard.older.iter().copied().chain([OlderName { version, not_before_ms }]) {
            self.remember(now, &heard.model, name);
        }
    }

    /// How old a version before the newest one is. Without an age where that is of no use: nobody else tells of it, and
    /// it binds all the same.
    fn older_age(&self, model: &ModelName, name: &OlderName, clock_ms: u64) -> NamedVersion {
        let OlderName { version, not_before_ms } = *name;
        let heard = FirstHeard { model: model.clone(), version, not_before_ms, older: Vec::new() };
        let unknown = NamedVersion { model: model.clone(), version, age_ms: None, after_ms: None };
        self.age(&heard, clock_ms).unwrap_or(unknown)
    }

    /// How old a version is by its row. `None` where that is of no use: the store's clock has gone back, or the
    /// process may serve from older versions for longer, because it has just started and nobody knows better.
    fn age(&self, heard: &FirstHeard, clock_ms: u64) -> Option<NamedVersion> {
        let age_ms = clock_ms.checked_sub(heard.not_before_ms)?;
        let (model, version) = (heard.model.clone(), heard.version);
        // Rows of earlier builds may say that a version was named later than it was, so none counts as the store's history.
        let named = NamedVersion { model, version, age_ms: Some(age_ms), after_ms: None };
        named.outlasts_guess(self.version_ms).then_some(named)
    }

    /// Takes in the row that was found in place of the one expected.
    fn take_other(
        &mut self,
        now: Millis,
        heard: &FirstHeard,
        expected: u64,
        row: Option<RecordRow>,
    ) {
        let found = row.as_ref().map_or(0, |it| it.revision);
        if let Some(told) = row.as_ref().and_then(|it| it.heard.as_ref()) {
            self.remember_row(now, told);
        }
        self.revisions.insert(heard.model.clone(), found);
        let found_version = row.and_then(|it| it.heard).map_or(0, |it| it.version);
        // The same condition would fail for ever: the store contradicts itself.
        if found_version >= heard.version || found == expected {
            self.settle(heard);
        }
    }

    /// A row that differs again although it was told as it is would be written without end: the next write waits.
    fn pause_if_differed(&mut self, now: Millis, seed: u64, call: &RecordCall) {
        let RecordCall::Write(heard, _) = call else {
            return;
        };
        let pending = self.pending.get_mut(&heard.model);
        let differed = pending.map(|it| std::mem::replace(&mut it.has_differed, true));
        match differed {
            Some(true) => self.wait(now, seed, call),
            Some(false) | None => self.failures = 0,
        }
    }

    /// A row needs no more writing.
    fn settle(&mut self, heard: &FirstHeard) {
        let is_it = |it: &Pending| it.heard.version <= heard.version;
        if self.pending.get(&heard.model).is_some_and(is_it) {
            let done = self.pending.remove(&heard.model).map(|it| (it.heard, it.until));
            self.settled.extend(done.map(|it| (heard.model.clone(), it)));
        }
    }

    /// Puts a call that failed off, for longer each time.
    fn wait(&mut self, now: Millis, seed: u64, call: &RecordCall) {
        let pause = FIRST_PAUSE << self.failures.min(MOST_DOUBLINGS);
        self.failures += 1;
        // Those that failed together come apart.
        let again = now.plus(pause / 2 + seed % pause);
        match call {
            RecordCall::Read => self.read_at = self.read_at.map(|_| again),
            RecordCall::Write(heard, _) => {
                if let Some(pending) = self.pending.get_mut(&heard.model) {
                    pending.at = again;
                }
            }
        }
    }
}
