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
const START_SPREAD: u64 = 1500;
/// How long a reader that gave no answer is not queried again, in milliseconds.
const REST: u64 = 3000;
/// How long a starting gateway waits for readers that start at the same time, and the interval of
/// its queries to them, in milliseconds.
const START_PATIENCE: u64 = 3000;
const START_REST: u64 = 200;
/// Time without an answer after which a reader is replaced, in milliseconds: one that was killed
/// restarts sooner.
const REPLACE_AFTER: u64 = 3000;
/// Random delay before gateways replace the same reader, in milliseconds.
const REPLACE_SPREAD: u64 = 2000;
/// Delay before a gateway that is named in the row reads it again, in milliseconds. It grows
/// fourfold each time, up to the longest one. Another gateway may have taken its place.
const FIRST_LOOK: u64 = 5000;
const LONGEST_LOOK: u64 = 30_000;
/// Minimum time between reads of the row by a gateway that is queried as a reader but is none by
/// its own knowledge, in milliseconds.
const LOOK_SPACING: u64 = 1000;
/// How long a gateway counts as followed after it was queried, in milliseconds.
const FOLLOWED_FOR: u64 = 10_000;
/// Delay after a failed call, in milliseconds. It doubles up to the longest one.
const FIRST_PAUSE: u64 = 1000;
const LONGEST_PAUSE: u64 = 16_000;

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
    Nobody,
}

/// A reader that gave no answer.
#[derive(Clone, Copy, Debug)]
struct Silence {
    since: Millis,
    until: Millis,
}

/// The next action on the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Read it.
    Look,
    /// Add this gateway to it, in place of a reader that gives no answer or if the row is not full.
    Join,
}

/// The state of a gateway regarding the readers of its data hall.
#[derive(Clone, Debug)]
pub struct Readers {
    me: SocketAddr,
    row: Option<ReadersRow>,
    silent: BTreeMap<SocketAddr, Silence>,
    next: Option<(Millis, Step)>,
    /// Whether the gateway has already waited for others to enter the row.
    has_waited: bool,
    /// Whether there was no row at the first read.
    found_none: bool,
    started_at: Millis,
    /// Whether any reader has answered.
    was_answered: bool,
    /// Until when the store is queried, regardless of the readers.
    alone_until: Option<Millis>,
    /// When other gateways last queried this one.
    asked_at: Option<Millis>,
    /// When the row was last read, and the delay before the next read, in milliseconds.
    looked_at: Millis,
    look_after: u64,
    pause: u64,
}

impl Readers {
    /// Creates the state of a gateway that starts now and is queried at this address.
    pub fn new(now: Millis, me: SocketAddr) -> Self {
        Self {
            me,
            row: None,
            silent: BTreeMap::new(),
            next: Some((now, Step::Look)),
            has_waited: false,
            found_none: false,
            started_at: now,
            was_answered: false,
            alone_until: None,
            asked_at: None,
            looked_at: now,
            look_after: FIRST_LOOK,
            pause: FIRST_PAUSE,
        }
    }

    /// Whether this gateway reads the store for others.
    pub fn is_reader(&self) -> bool {
        self.row.as_ref().is_some_and(|it| it.readers().contains(&self.me))
    }

    /// Whether other gateways follow this one.
    pub fn is_followed(&self, now: Millis) -> bool {
        self.asked_at.is_some_and(|at| now.since(at).0 <= FOLLOWED_FOR)
    }

    /// Whether the row names this gateway.
    pub fn is_named(&self) -> bool {
        self.row.as_ref().is_some_and(|it| it.named.contains(&self.me))
    }

    /// Whether the first gateways of the data hall are entering the row, and this one is not yet
    /// among them.
    pub fn is_settling(&self) -> bool {
        let is_full = self.row.as_ref().is_some_and(|it| it.named.len() >= READERS);
        let found_none = self.found_none && !self.is_named() && !is_full;
        found_none && self.next.is_some()
    }

    /// The source to query now.
    pub fn source(&self, now: Millis) -> Source {
        let row = self.row.as_ref().filter(|_| !self.is_reader());
        let mut readers: Vec<SocketAddr> = row.map(|it| it.readers().to_vec()).unwrap_or_default();
        // Each follower orders the readers differently, which balances the load between them.
        let me = self.me.to_string();
        readers.sort_by_key(|it| weight(&me, *it));
        let is_hurried = self.alone_until.is_some_and(|until| now < until);
        let heard = readers.iter().find(|it| !is_hurried && !self.is_silent(now, **it));
        match heard {
            Some(reader) => Source::Reader(*reader),
            None if !readers.is_empty() && self.is_starting(now) => Source::Nobody,
            None => Source::Store,
        }
    }

    fn is_starting(&self, now: Millis) -> bool {
        !self.was_answered && now.since(self.started_at).0 < START_PATIENCE
    }

    fn is_silent(&self, now: Millis, reader: SocketAddr) -> bool {
        self.silent.get(&reader).is_some_and(|it| now < it.until)
    }

    /// Records that a reader answered.
    pub fn note_heard(&mut self, reader: SocketAddr) {
        self.was_answered = true;
        self.silent.remove(&reader);
    }

    /// Records that a reader refused or gave no answer in time. A gateway whose query timed out
    /// (`has_waited`) does not wait for another reader: the time bound for applying a configuration
    /// leaves room for one timeout only.
    pub fn note_silent(&mut self, now: Millis, seed: u64, reader: SocketAddr, has_waited: bool) {
        let since = self.silent.get(&reader).map_or(now, |it| it.since);
        let rest = if self.is_starting(now) { START_REST } else { REST };
        self.silent.insert(reader, Silence { since, until: now.plus(rest) });
        if has_waited {
            self.alone_until = Some(now.plus(rest));
        }
        if now.since(since).0 >= REPLACE_AFTER && self.next.is_none() {
            self.next = Some((now.plus(spread(seed, REPLACE_SPREAD)), Step::Join));
        }
    }

    /// Records that another gateway queried this one as a reader.
    pub fn note_asked(&mut self, now: Millis) {
        self.asked_at = Some(now);
        let is_due = self.next.is_none() && now.since(self.looked_at).0 >= LOOK_SPACING;
        if is_due && !self.is_reader() {
            self.next = Some((now, Step::Look));
        }
    }

    /// Records that the store was restored from an older copy, so that the row may have changed.
    pub fn note_went_back(&mut self, now: Millis, seed: u64) {
        self.next = Some((now.plus(spread(seed, REPLACE_SPREAD)), Step::Look));
    }

    /// When the next action is due.
    pub fn next_at(&self) -> Option<Millis> {
        let look = self.is_named().then(|| self.looked_at.plus(self.look_after));
        self.next.map(|(at, _)| at).into_iter().chain(look).min()
    }

    /// Returns the call that is due.
    pub fn due(&mut self, now: Millis) -> Option<ReadersCall> {
        if self.next_at().is_none_or(|at| at > now) {
            return None;
        }
        let step = self.next.take().map_or(Step::Look, |(_, step)| step);
        let row = self.row.clone().filter(|_| step == Step::Join && !self.is_named());
        let named = row.and_then(|row| Some((self.with_me(now, row.named)?, row.revision)));
        Some(match named {
            Some((named, revision)) => ReadersCall::Write(ReadersRow { named, revision }),
            None => {
                self.looked_at = now;
                self.look_after = (self.look_after * 4).min(LONGEST_LOOK);
                ReadersCall::Read
            }
        })
    }

    /// The names for the row with this gateway added. `None` if the row has no room for it.
    fn with_me(&self, now: Millis, mut named: Vec<SocketAddr>) -> Option<Vec<SocketAddr>> {
        let replaced = named.iter().position(|it| self.is_replaceable(now, *it));
        match replaced {
            Some(place) => named[place] = self.me,
            None if named.len() < READERS => named.push(self.me),
            None => return None,
        }
        Some(named)
    }

    fn is_replaceable(&self, now: Millis, reader: SocketAddr) -> bool {
        self.silent.get(&reader).is_some_and(|it| now.since(it.since).0 >= REPLACE_AFTER)
    }

    /// Applies the result of a call.
    pub fn take(&mut self, now: Millis, seed: u64, call: &ReadersCall, answer: ReadersAnswer) {
        match (call, answer) {
            (_, ReadersAnswer::Failed) => {
                let step = if self.row.is_some() { Step::Join } else { Step::Look };
                self.next = Some((now.plus(self.pause / 2 + spread(seed, self.pause / 2)), step));
                self.pause = (self.pause * 2).min(LONGEST_PAUSE);
                return;
            }
            (ReadersCall::Write(row), ReadersAnswer::Written(revision)) => {
                self.row = Some(ReadersRow { revision, ..row.clone() });
            }
            (ReadersCall::Read, ReadersAnswer::Written(_)) => {}
            (call, ReadersAnswer::Row(row)) => {
                self.found_none |= self.row.is_none() && row.revision == 0;
                self.row = Some(row);
                self.join_if_short(now, seed, call);
            }
        }
        self.pause = FIRST_PAUSE;
        let row = self.row.as_ref();
        self.silent.retain(|it, _| row.is_some_and(|row| row.named.contains(it)));
    }

    /// If the row is not full, this gateway enters it, unless others fill it during the delay.
    fn join_if_short(&mut self, now: Millis, seed: u64, call: &ReadersCall) {
        let count = self.row.as_ref().map_or(0, |it| it.named.len());
        if self.is_named() || count >= READERS {
            return;
        }
        let lost_to_another = matches!(call, ReadersCall::Write(_));
        self.next = Some(match (lost_to_another, self.has_waited) {
            (true, _) => (now.plus(spread(seed, START_SPREAD / 5)), Step::Join),
            (false, true) => (now, Step::Join),
            (false, false) => (now.plus(spread(seed, START_SPREAD)), Step::Look),
        });
        self.has_waited = true;
    }
}

/// A random part of a time span, in milliseconds.
fn spread(seed: u64, span: u64) -> u64 {
    SmallRng::seed_from_u64(seed).random_range(0..span.max(1))
}
