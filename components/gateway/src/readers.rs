//! Selects the gateways of a data hall that read the store's tables, and the source that the other
//! gateways read from.
//!
//! Each process that reads the store itself costs store calls and bandwidth of the link to the
//! store. Therefore a few gateways of a data hall, the readers, read the store, and the others
//! follow the tables at them. The store holds one row per data hall, which names the first gateways
//! that started there and is written conditionally on its revision. Once the row is full, the data
//! hall is large enough and the named gateways read for the others: a reader with followers queries
//! the store more often than a gateway that reads for itself.
//!
//! Correctness does not depend on the row: a reader reports the age of its data, and a gateway that
//! gets no valid answer from any reader queries the store itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fleet::Millis;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::members::weight;

/// Number of gateways of a data hall that read the store for the others, and of names in a full
/// row. Each reader forwards a configuration to its followers over its own link, also if the store
/// refuses some readers.
pub const READERS: usize = 8;
/// Random delay before gateways enter a row that is not full, in milliseconds: the first ones
/// enter, and the others then find it full.
const ENTRY_SPREAD_MS: u64 = 1500;
/// How long a reader that gave no answer is not queried again, in milliseconds.
const SILENT_READER_PAUSE_MS: u64 = 3000;
/// How long a starting gateway waits for readers that start at the same time, and the interval of
/// its queries to them, in milliseconds.
const STARTUP_WAIT_MS: u64 = 3000;
const STARTUP_QUERY_INTERVAL_MS: u64 = 200;
/// Time without an answer after which a reader is replaced, in milliseconds: one that was killed
/// restarts sooner.
const REPLACE_AFTER_MS: u64 = 3000;
/// Random delay before gateways replace the same reader, in milliseconds.
const REPLACE_SPREAD_MS: u64 = 2000;
/// Delay before a gateway that is named in the row reads it again, in milliseconds. It grows
/// fourfold each time, up to the longest one. Another gateway may have taken its place.
const FIRST_REREAD_DELAY_MS: u64 = 5000;
const MAX_REREAD_DELAY_MS: u64 = 30_000;
/// Minimum time between reads of the row by a gateway that is queried as a reader but is none by
/// its own knowledge, in milliseconds.
const MIN_REREAD_INTERVAL_MS: u64 = 1000;
/// How long a gateway counts as followed after it was queried, in milliseconds.
const FOLLOWED_FOR_MS: u64 = 10_000;
/// Delay after a failed call, in milliseconds. It doubles up to the longest one.
const FIRST_RETRY_DELAY_MS: u64 = 1000;
const MAX_RETRY_DELAY_MS: u64 = 16_000;

/// The row of a data hall that names its readers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadersRow {
    /// The gateways named in the row. They are the readers if the row is full.
    pub named: Vec<SocketAddr>,
    /// Revision of the row. Zero if there is no row.
    pub revision: u64,
}

impl ReadersRow {
    /// The gateways that read for the others of the data hall.
    fn readers(&self) -> &[SocketAddr] {
        if self.named.len() < READERS {
            return &[];
        }
        &self.named
    }
}

/// A call to the store for the row of the gateway's data hall.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadersCall {
    /// Read the row.
    Read,
    /// Write the row if it still has the revision in this value.
    Write(ReadersRow),
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadersAnswer {
    /// The current row: it was read, or it differed from the one that a write was based on.
    Row(ReadersRow),
    /// The row was written and has this revision.
    Written(u64),
    /// The result is unknown.
    Failed,
}

/// The source that a gateway reads the store's tables from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// A reader of its data hall.
    Reader(SocketAddr),
    /// None yet: the gateway and the readers are starting.
    Undecided,
}

/// A reader that gave no answer.
#[derive(Clone, Copy, Debug)]
struct SilentReader {
    since: Millis,
    until: Millis,
}

/// The next action on the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Read it.
    Read,
    /// Add this gateway to it, in place of a reader that gives no answer or if the row is not full.
    Enter,
}

/// The state of a gateway regarding the readers of its data hall.
#[derive(Clone, Debug)]
pub struct Readers {
    own_address: SocketAddr,
    row: Option<ReadersRow>,
    silent: BTreeMap<SocketAddr, SilentReader>,
    next: Option<(Millis, Step)>,
    /// Whether the gateway has already waited for others to enter the row.
    has_waited: bool,
    /// Whether there was no row at the first read.
    found_no_row: bool,
    started_at: Millis,
    /// Whether any reader has answered.
    has_reader_answered: bool,
    /// Until when the store is queried, regardless of the readers.
    store_until: Option<Millis>,
    /// When other gateways last queried this one.
    queried_at: Option<Millis>,
    /// When the row was last read, and the delay before the next read, in milliseconds.
    read_at: Millis,
    reread_delay_ms: u64,
    retry_delay_ms: u64,
}

impl Readers {
    /// Creates the state of a gateway that starts now and is queried at this address.
    pub fn new(now: Millis, own_address: SocketAddr) -> Self {
        Self {
            own_address,
            row: None,
            silent: BTreeMap::new(),
            next: Some((now, Step::Read)),
            has_waited: false,
            found_no_row: false,
            started_at: now,
            has_reader_answered: false,
            store_until: None,
            queried_at: None,
            read_at: now,
            reread_delay_ms: FIRST_REREAD_DELAY_MS,
            retry_delay_ms: FIRST_RETRY_DELAY_MS,
        }
    }

    /// Whether this gateway reads the store for others.
    pub fn is_reader(&self) -> bool {
        self.row.as_ref().is_some_and(|it| it.readers().contains(&self.own_address))
    }

    /// Whether other gateways follow this one.
    pub fn is_followed(&self, now: Millis) -> bool {
        self.queried_at.is_some_and(|at| now.since(at).0 <= FOLLOWED_FOR_MS)
    }

    /// Whether the row names this gateway.
    pub fn is_named(&self) -> bool {
        self.row.as_ref().is_some_and(|it| it.named.contains(&self.own_address))
    }

    /// Whether the first gateways of the data hall are entering the row, and this one is not yet
    /// among them.
    pub fn is_settling(&self) -> bool {
        let is_full = self.row.as_ref().is_some_and(|it| it.named.len() >= READERS);
        let found_no_row = self.found_no_row && !self.is_named() && !is_full;
        found_no_row && self.next.is_some()
    }

    /// The source to query now.
    pub fn source(&self, now: Millis) -> Source {
        let row = self.row.as_ref().filter(|_| !self.is_reader());
        let mut readers: Vec<SocketAddr> = row.map(|it| it.readers().to_vec()).unwrap_or_default();
        // Each follower orders the readers differently, which balances the load between them.
        let own_address = self.own_address.to_string();
        readers.sort_by_key(|it| weight(&own_address, *it));
        let bypasses_readers = self.store_until.is_some_and(|until| now < until);
        let responsive = readers.iter().find(|it| !bypasses_readers && !self.is_silent(now, **it));
        match responsive {
            Some(reader) => Source::Reader(*reader),
            None if !readers.is_empty() && self.is_starting(now) => Source::Undecided,
            None => Source::Store,
        }
    }

    fn is_starting(&self, now: Millis) -> bool {
        !self.has_reader_answered && now.since(self.started_at).0 < STARTUP_WAIT_MS
    }

    fn is_silent(&self, now: Millis, reader: SocketAddr) -> bool {
        self.silent.get(&reader).is_some_and(|it| now < it.until)
    }

    /// Records that a reader answered.
    pub fn record_answer(&mut self, reader: SocketAddr) {
        self.has_reader_answered = true;
        self.silent.remove(&reader);
    }

    /// Records that a reader refused or gave no answer in time. A gateway whose query timed out
    /// (`has_waited`) does not wait for another reader: the time limit for applying a
    /// configuration leaves room for one timeout only.
    pub fn record_timeout(&mut self, now: Millis, seed: u64, reader: SocketAddr, has_waited: bool) {
        let since = self.silent.get(&reader).map_or(now, |it| it.since);
        let pause_ms =
            if self.is_starting(now) { STARTUP_QUERY_INTERVAL_MS } else { SILENT_READER_PAUSE_MS };
        self.silent.insert(reader, SilentReader { since, until: now.plus(pause_ms) });
        if has_waited {
            self.store_until = Some(now.plus(pause_ms));
        }
        if now.since(since).0 >= REPLACE_AFTER_MS && self.next.is_none() {
            self.next = Some((now.plus(random_delay(seed, REPLACE_SPREAD_MS)), Step::Enter));
        }
    }

    /// Records that another gateway queried this one as a reader.
    pub fn record_query(&mut self, now: Millis) {
        self.queried_at = Some(now);
        let is_due = self.next.is_none() && now.since(self.read_at).0 >= MIN_REREAD_INTERVAL_MS;
        if is_due && !self.is_reader() {
            self.next = Some((now, Step::Read));
        }
    }

    /// Records that the store was restored from an older copy, so that the row may have changed.
    pub fn record_store_restore(&mut self, now: Millis, seed: u64) {
        self.next = Some((now.plus(random_delay(seed, REPLACE_SPREAD_MS)), Step::Read));
    }

    /// When the next action is due.
    pub fn next_at(&self) -> Option<Millis> {
        let reread_at = self.is_named().then(|| self.read_at.plus(self.reread_delay_ms));
        self.next.map(|(at, _)| at).into_iter().chain(reread_at).min()
    }

    /// Returns the call that is due.
    pub fn due(&mut self, now: Millis) -> Option<ReadersCall> {
        if self.next_at().is_none_or(|at| at > now) {
            return None;
        }
        let step = self.next.take().map_or(Step::Read, |(_, step)| step);
        let row = self.row.clone().filter(|_| step == Step::Enter && !self.is_named());
        let named = row.and_then(|row| Some((self.with_self(now, row.named)?, row.revision)));
        Some(match named {
            Some((named, revision)) => ReadersCall::Write(ReadersRow { named, revision }),
            None => {
                self.read_at = now;
                self.reread_delay_ms = (self.reread_delay_ms * 4).min(MAX_REREAD_DELAY_MS);
                ReadersCall::Read
            }
        })
    }

    /// The names for the row with this gateway added. `None` if the row has no room for it.
    fn with_self(&self, now: Millis, mut named: Vec<SocketAddr>) -> Option<Vec<SocketAddr>> {
        let replaced = named.iter().position(|it| self.is_replaceable(now, *it));
        match replaced {
            Some(place) => named[place] = self.own_address,
            None if named.len() < READERS => named.push(self.own_address),
            None => return None,
        }
        Some(named)
    }

    fn is_replaceable(&self, now: Millis, reader: SocketAddr) -> bool {
        self.silent.get(&reader).is_some_and(|it| now.since(it.since).0 >= REPLACE_AFTER_MS)
    }

    /// Applies the result of a call.
    pub fn apply_answer(
        &mut self,
        now: Millis,
        seed: u64,
        call: &ReadersCall,
        answer: ReadersAnswer,
    ) {
        match (call, answer) {
            (_, ReadersAnswer::Failed) => {
                let step = if self.row.is_some() { Step::Enter } else { Step::Read };
                self.next = Some((
                    now.plus(self.retry_delay_ms / 2 + random_delay(seed, self.retry_delay_ms / 2)),
                    step,
                ));
                self.retry_delay_ms = (self.retry_delay_ms * 2).min(MAX_RETRY_DELAY_MS);
                return;
            }
            (ReadersCall::Write(row), ReadersAnswer::Written(revision)) => {
                self.row = Some(ReadersRow { revision, ..row.clone() });
            }
            (ReadersCall::Read, ReadersAnswer::Written(_)) => {}
            (call, ReadersAnswer::Row(row)) => {
                self.found_no_row |= self.row.is_none() && row.revision == 0;
                self.row = Some(row);
                self.enter_if_not_full(now, seed, call);
            }
        }
        self.retry_delay_ms = FIRST_RETRY_DELAY_MS;
        let row = self.row.as_ref();
        self.silent.retain(|it, _| row.is_some_and(|row| row.named.contains(it)));
    }

    /// If the row is not full, this gateway enters it, unless others fill it during the delay.
    fn enter_if_not_full(&mut self, now: Millis, seed: u64, call: &ReadersCall) {
        let count = self.row.as_ref().map_or(0, |it| it.named.len());
        if self.is_named() || count >= READERS {
            return;
        }
        let lost_to_another = matches!(call, ReadersCall::Write(_));
        self.next = Some(match (lost_to_another, self.has_waited) {
            (true, _) => (now.plus(random_delay(seed, ENTRY_SPREAD_MS / 5)), Step::Enter),
            (false, true) => (now, Step::Enter),
            (false, false) => (now.plus(random_delay(seed, ENTRY_SPREAD_MS)), Step::Read),
        });
        self.has_waited = true;
    }
}

/// A random part of a time span, in milliseconds.
fn random_delay(seed: u64, span: u64) -> u64 {
    SmallRng::seed_from_u64(seed).random_range(0..span.max(1))
}
