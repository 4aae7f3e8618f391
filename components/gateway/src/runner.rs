//! What a gateway knows of one runner.

use std::net::SocketAddr;

use fleet::{
    Hall, InstanceId, LifeChange, LifeWord, Millis, ModelName, NamedVersion, RateWord, ServiceName,
    ToldLimit,
};
use quarantine::LifeDigest;
use serde::{Deserialize, Serialize};

use crate::notices::{Notice, Notices};

/// The part of a new measurement in a smoothed one.
const SMOOTHING: f64 = 0.3;
/// The time after which what was seen of a runner counts for a third, in milliseconds.
const FIRST_MEMORY: f64 = 4000.0;
/// How long a load report counts, in milliseconds.
const REPORT_LIFE: u64 = 1000;
/// The shortest time that a runner is left alone after a failure, in milliseconds.
const MIN_SUSPICION: u64 = 300;
/// The longest such time, in milliseconds.
const MAX_SUSPICION: u64 = 4000;
/// How long it takes until the list tells of a runner that has turned cold, in milliseconds: the time
/// between two writes of its entry and the one between two readings of the list.
const ENTRY_LAG: u64 = 2000;
/// How often the time is doubled at most.
const MOST_DOUBLINGS: u32 = 4;

/// Whether a runner takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerState {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// The weights that a runner holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsHeld {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
    /// Whether every layer is there, all of this version.
    pub whole: bool,
}

/// One life of a runner, as this process tells it from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunnerLife {
    /// What all processes know it by.
    pub digest: LifeDigest,
    /// Restarts that were seen of a runner that does not tell when it started.
    pub restarts: u32,
}

/// What the list of runners says of one.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerRecord {
    /// Its name. It may start again under the same one.
    pub id: InstanceId,
    /// The life that the entry is from.
    pub life: LifeWord,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub hall: Hall,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: RunnerState,
    /// The weights that it holds, by the list. `None` for a plain service.
    pub weights: Option<WeightsHeld>,
    /// How much longer it is cold, in milliseconds from when the entry was written.
    pub cold_ms: u64,
}

impl RunnerRecord {
    /// The version of which the runner holds every layer, by the list.
    pub fn whole_version(&self) -> Option<u64> {
        self.weights.as_ref().filter(|it| it.whole).map(|it| it.version)
    }
}

/// What the sidecar beside a runner says of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunnerLoad {
    /// The life that the report is from.
    pub life: LifeWord,
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Whether it is taking other weights and begins nothing new.
    pub busy: bool,
    /// How many times slower than usual it is.
    pub pace: f64,
    /// How long it still reads the prompts that it was given, in milliseconds.
    pub reading_ms: u32,
    /// The weights that it holds.
    pub weights: Option<WeightsHeld>,
    /// How long it takes until the runner takes requests, in milliseconds: zero where it does, `None` where
    /// nobody can tell.
    pub serves_in_ms: Option<u32>,
    /// The version that its weights are to be moved to, while that matters for older ones.
    pub named: Option<NamedVersion>,
}

/// A report with the moment it arrived.
#[derive(Clone, Debug)]
struct Reported {
    load: RunnerLoad,
    at: Millis,
    /// Own requests there at that moment.
    own: u32,
}

/// A runner.
#[derive(Clone, Debug)]
pub struct Runner {
    /// What the list says.
    pub record: RunnerRecord,
    /// Its life.
    pub life: RunnerLife,
    /// When that life began, by any word of it.
    pub born: Option<u64>,
    /// The birth of the life before, where the sidecar told of this one's beginning and not of its birth.
    pub past_birth: Option<u64>,
    /// The last word of the list, and of the sidecar: each counts orders at other moments.
    listed: LifeWord,
    told: Option<LifeWord>,
    /// Own requests there.
    pub in_flight: u32,
    /// Those of them that runners crashed under before.
    pub suspects: u32,
    /// When it, or the sidecar beside it, last showed that it lives.
    pub heard_at: Millis,
    reported: Option<Reported>,
    /// How long answers took to begin, smoothed, in milliseconds, and when that was last seen.
    first_ms: (f64, Millis),
    /// Until when it is left alone, for whatever reason, and until when after a failure.
    suspect_until: Millis,
    failed_until: Millis,
    failures: u32,
    /// Until when it is cold by the list, and until when it may be without the list telling it yet.
    cold_until: Millis,
    may_be_cold_until: Millis,
    /// Since when it may be.
    doubted_at: Millis,
    /// Its weight for this gateway among the sidecars that may be followed.
    pub weight: u64,
    /// Whether this gateway follows its sidecar.
    pub is_followed: bool,
    /// What it has said in its answers.
    pub notices: Notices,
    /// Whether its sidecar keeps its places to the rate that it names, by the last answer to a question.
    pub is_limit_kept: bool,
    /// Until when it takes nothing by its rate, as its sidecar told.
    no_turn_until: Millis,
    /// The incarnation was refused there; nothing is sent until the list changes.
    pub misdirected: bool,
}

impl Runner {
    /// A life of a runner of which nothing but an entry is known. `restarts` counts those of a runner that does not tell
    /// when it started.
    pub fn new(now: Millis, record: RunnerRecord, restarts: u32) -> Self {
        Self {
            life: RunnerLife {
                digest: LifeDigest::of(&record.id, record.life.born),
                // Its birth tells its lives apart, also where the entry was gone for a while.
                restarts: if record.life.born.is_some() { 0 } else { restarts },
            },
            born: record.life.born,
            past_birth: None,
            listed: record.life,
            told: None,
            cold_until: now.plus(record.cold_ms),
            may_be_cold_until: Millis(0),
            doubted_at: Millis(0),
            record,
            in_flight: 0,
            suspects: 0,
            heard_at: Millis(0),
            reported: None,
            first_ms: (0.0, Millis(0)),
            suspect_until: Millis(0),
            failed_until: Millis(0),
            failures: 0,
            weight: 0,
            is_followed: false,
            notices: Notices::default(),
            is_limit_kept: false,
            no_turn_until: Millis(0),
            misdirected: false,
        }
    }

    /// How a word of the list, or of a sidecar, stands to the life that is known.
    pub fn compare(&self, word: LifeWord, is_listed: bool) -> LifeChange {
        let last = if is_listed { Some(self.listed) } else { self.told };
        let sequence = last.map_or(word.sequence, |it| it.sequence);
        let known = LifeWord { born: self.born, sequence };
        if word.born.is_some() && word.born <= self.past_birth {
            return LifeChange::Earlier;
        }
        if !is_listed && word.born.is_none() && !self.has_report_told_birth() {
            // Reports of this runner tell no birth, whatever its entry does: its orders tell their lives apart.
            return LifeWord { born: None, ..known }.compare(word);
        }
        known.compare(word)
    }

    fn has_report_told_birth(&self) -> bool {
        self.told.is_some_and(|it| it.born.is_some())
    }

    /// Takes in a newer entry of the list.
    pub fn list(&mut self, now: Millis, record: RunnerRecord) {
        self.listed = record.life;
        self.cold_until = now.plus(record.cold_ms);
        self.record = record;
        self.note_listed_state(now);
    }

    /// Keeps for its life that the list had it leaving. A store that comes back from an older copy has it ready again.
    pub fn note_listed_state(&mut self, now: Millis) {
        let is_leaving = self.record.state == RunnerState::Draining;
        self.notices.take(now, now, Notice { is_leaving, ..Notice::default() });
    }

    /// It may have turned cold lately, for so many milliseconds at the most. The doubt ends with that, or when the list
    /// can tell.
    pub fn doubt_warmth(&mut self, now: Millis, start_ms: u64) {
        self.doubted_at = now;
        self.may_be_cold_until = now.plus(start_ms.max(ENTRY_LAG));
    }

    /// The list tells of everything up to now.
    pub fn settle_doubt(&mut self, now: Millis) {
        if now.since(self.doubted_at).0 >= ENTRY_LAG {
            self.may_be_cold_until = Millis(0);
        }
    }

    /// How much longer it is cold, as far as known, in milliseconds.
    pub fn cold_left_ms(&self, now: Millis) -> u64 {
        self.cold_until.max(self.may_be_cold_until).since(now).0
    }

    /// The same, as others are told who do not hear when a doubt ends: they are told of it again and again.
    pub fn cold_told_ms(&self, now: Millis) -> u64 {
        let doubt = self.may_be_cold_until.min(now.plus(ENTRY_LAG));
        self.cold_until.max(doubt).since(now).0
    }

    /// Takes in what its sidecar told of its rate limit. Gives what changed.
    pub fn take_limit(&mut self, now: Millis, told: Option<ToldLimit>) -> Option<RateWord> {
        self.is_limit_kept = told.is_some();
        self.learn_limit(now, told?)
    }

    /// Takes in what another process told of its rate limit. Gives what changed.
    pub fn learn_limit(&mut self, now: Millis, told: ToldLimit) -> Option<RateWord> {
        let limit = &mut self.notices.limit;
        let is_news = limit.learn(now, self.born, told);
        let word = limit.rate().map_or(RateWord::Unlimited, RateWord::Limited);
        is_news.then_some(word)
    }

    /// Its sidecar has no place for so many milliseconds, while it names a rate limit.
    pub fn note_no_turn(&mut self, now: Millis, again_ms: u64) {
        self.no_turn_until = now.plus(again_ms);
    }

    /// In how many milliseconds its sidecar may have a place, as far as its rate goes.
    pub fn turn_in_ms(&self, now: Millis) -> u64 {
        match self.notices.limit.rate() {
            Some(_) => self.no_turn_until.since(now).0,
            None => 0,
        }
    }

    /// What its sidecar is told of its rate limit.
    pub fn told_limit(&self, now: Millis) -> Option<ToldLimit> {
        self.notices.limit.told(now, self.born)
    }

    /// A request is sent there.
    pub fn enter(&mut self, is_suspect: bool) {
        self.in_flight += 1;
        self.suspects += u32::from(is_suspect);
    }

    /// A request is there no more.
    pub fn leave(&mut self, was_suspect: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.suspects = self.suspects.saturating_sub(u32::from(was_suspect));
    }

    /// Whether it takes new work, by the list and by its own answers.
    pub fn is_open(&self) -> bool {
        self.record.state == RunnerState::Ready && !self.notices.is_leaving()
    }

    /// Takes in a report.
    pub fn take_load(&mut self, now: Millis, load: RunnerLoad) {
        self.heard_at = now;
        self.told = Some(load.life);
        self.reported = Some(Reported { load, at: now, own: self.in_flight });
    }

    /// The last report, if it still counts.
    pub fn load(&self, now: Millis) -> Option<&RunnerLoad> {
        let reported = self.reported.as_ref()?;
        (now.since(reported.at).0 <= REPORT_LIFE).then_some(&reported.load)
    }

    /// The age of the last report.
    pub fn report_age(&self, now: Millis) -> Option<Millis> {
        self.reported.as_ref().map(|it| now.since(it.at))
    }

    /// The weights that it holds, by the newest word on that.
    pub fn weights(&self, now: Millis) -> Option<&WeightsHeld> {
        match self.load(now) {
            Some(load) => load.weights.as_ref(),
            None => self.record.weights.as_ref(),
        }
    }

    /// Requests there: its own and, by the last report, those of other gateways.
    pub fn occupancy(&self, now: Millis) -> u32 {
        let Some(reported) = self.reported.as_ref() else {
            return self.in_flight;
        };
        if now.since(reported.at).0 > REPORT_LIFE {
            return self.in_flight;
        }
        let total = reported.load.running + reported.load.waiting;
        self.in_flight + total.saturating_sub(reported.own)
    }

    /// When the runner takes requests by the last report and its own answers, in milliseconds from now.
    pub fn serves_in_ms(&self, now: Millis) -> Option<u64> {
        let reported = self.reported.as_ref()?;
        let age = now.since(reported.at).0;
        let serves_in = u64::from(reported.load.serves_in_ms?);
        let left = serves_in.saturating_sub(age).max(self.notices.rest.left_ms(now));
        // A moment that has passed without a newer report is worth nothing.
        (age <= REPORT_LIFE + serves_in).then_some(left)
    }

    /// How long the runner still reads prompts before another one has its turn, in milliseconds.
    pub fn reading_ms(&self, now: Millis) -> f64 {
        let Some(reported) = &self.reported else {
            return 0.0;
        };
        let left = f64::from(reported.load.reading_ms) - now.since(reported.at).0 as f64;
        left.max(0.0)
    }

    /// How long an answer is expected to take to begin, in milliseconds. What was seen counts for less
    /// as it gets older, so that a runner that was slow is tried again.
    pub fn usual_first_ms(&self, now: Millis) -> f64 {
        let (seen, at) = self.first_ms;
        let age = now.since(at).0 as f64;
        seen * (-age / FIRST_MEMORY).exp()
    }

    /// An answer took so long to begin, or did not begin by then.
    pub fn note_first(&mut self, now: Millis, took: Millis) {
        let before = self.usual_first_ms(now);
        let took = took.0 as f64;
        let smoothed = if before == 0.0 { took } else { before + SMOOTHING * (took - before) };
        self.first_ms = (smoothed, now);
    }

    /// Whether it failed a short while ago.
    pub fn is_suspect(&self, now: Millis) -> bool {
        now < self.suspect_until
    }

    /// How much longer it is left alone after a failure, in milliseconds. A pause of one that is full is none.
    pub fn failed_ms(&self, now: Millis) -> u64 {
        self.failed_until.since(now).0
    }

    /// A request was answered.
    pub fn reward(&mut self) {
        self.failures = 0;
        self.suspect_until = Millis(0);
        self.failed_until = Millis(0);
    }

    /// A request failed: the runner is left alone for a while that doubles with each failure.
    pub fn punish(&mut self, now: Millis) {
        let span = MIN_SUSPICION << self.failures.min(MOST_DOUBLINGS);
        self.failures += 1;
        self.failed_until = now.plus(span.min(MAX_SUSPICION));
        self.suspect_until = self.failed_until;
    }

    /// It turned a request away because it is full.
    pub fn note_full(&mut self, now: Millis, pause_ms: u64) {
        self.suspect_until = self.suspect_until.max(now.plus(pause_ms));
    }
}
