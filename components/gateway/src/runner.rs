//! The state of one runner as a gateway knows it.

use std::net::SocketAddr;

use fleet::{
    AdvertisedLimit, AnnouncedVersion, Hall, IncarnationChange, IncarnationReport, InstanceId,
    Millis, ModelName, ReportedLimit, ServiceName,
};
use quarantine::IncarnationDigest;
use serde::{Deserialize, Serialize};

use crate::notices::{Notice, Notices};
use crate::pauses::{FailurePause, SilencePause};

/// Weight of a new measurement in the smoothed value.
const SMOOTHING_WEIGHT: f64 = 0.3;
/// Decay time of the measured time to first byte, in milliseconds: after it a measurement counts
/// for about a third (1/e).
const FIRST_BYTE_DECAY_MS: f64 = 4000.0;
/// How long a load report counts, in milliseconds.
const REPORT_VALIDITY_MS: u64 = 1000;
/// Delay until the list shows that a runner has become cold, in milliseconds: the time between two
/// writes of its entry plus the time between two reads of the list.
const LIST_DELAY_MS: u64 = 2000;

/// Whether a runner accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerState {
    /// It accepts new requests.
    Ready,
    /// It is draining.
    Draining,
}

/// The weights that a runner holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsHeld {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
    /// Whether it holds every layer of this version.
    pub whole: bool,
}

/// One incarnation of a runner, that is one lifetime of its process, as this gateway distinguishes
/// it from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunnerIncarnation {
    /// Digest by which all processes know the incarnation.
    pub digest: IncarnationDigest,
    /// Number of observed restarts of a runner that does not report its start time.
    pub restarts: u32,
}

/// The entry of a runner in the runner list.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerRecord {
    /// Name of the runner. It may restart under the same name.
    pub id: InstanceId,
    /// The incarnation that the entry is from.
    pub incarnation: IncarnationReport,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The data hall that it is in.
    pub hall: Hall,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: RunnerState,
    /// The weights that it holds, according to the list. `None` for a plain service.
    pub weights: Option<WeightsHeld>,
    /// How much longer it is cold, in milliseconds from the time when the entry was written.
    pub cold_ms: u64,
}

impl RunnerRecord {
    /// The version of which the runner holds every layer, according to the list.
    pub fn whole_version(&self) -> Option<u64> {
        self.weights.as_ref().filter(|it| it.whole).map(|it| it.version)
    }
}

/// The load report that the sidecar of a runner sends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunnerLoad {
    /// The incarnation that the report is from.
    pub life: IncarnationReport,
    /// Requests that it is processing.
    pub running: u32,
    /// Requests that wait at the runner.
    pub waiting: u32,
    /// Whether it is loading other weights and starts no new requests.
    pub busy: bool,
    /// How many times slower than usual it is.
    pub pace: f64,
    /// How long it will take to process the prompts that it has received, in milliseconds.
    pub reading_ms: u32,
    /// The weights that it holds.
    pub weights: Option<WeightsHeld>,
    /// Time until the runner accepts requests, in milliseconds: zero if it does now, `None` if
    /// unknown.
    pub serves_in_ms: Option<u32>,
    /// The version that its weights are to be updated to, while that matters for requests on older
    /// versions.
    pub named: Option<AnnouncedVersion>,
}

/// A load report with the time of its arrival.
#[derive(Clone, Debug)]
struct Reported {
    load: RunnerLoad,
    at: Millis,
    /// Requests of this gateway at the runner at that time.
    own_requests: u32,
}

/// A runner.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Its entry in the list.
    pub record: RunnerRecord,
    /// Its current incarnation.
    pub incarnation: RunnerIncarnation,
    /// Start time of that incarnation, from any report about it.
    pub born: Option<u64>,
    /// Start time of the previous incarnation, if the sidecar reported the start of this
    /// incarnation without its start time.
    pub previous_born: Option<u64>,
    /// The last incarnation reported by the list, and by the sidecar. They are kept apart because
    /// each counts orders at different times.
    listed_incarnation: IncarnationReport,
    reported_incarnation: Option<IncarnationReport>,
    /// Requests of this gateway at the runner.
    pub in_flight: u32,
    /// Those of them that crashed runners before.
    pub suspects: u32,
    /// When the runner or its sidecar last showed that it is alive.
    pub last_alive_at: Millis,
    reported: Option<Reported>,
    /// Smoothed time to first byte, in milliseconds, and when it was last measured.
    first_byte_ms: (f64, Millis),
    /// Until when it counts as full.
    full_until: Millis,
    failure_pause: FailurePause,
    silence_pause: SilencePause,
    /// Until when the runner is cold according to the list, and until when it may be cold without
    /// the list showing it yet.
    cold_until: Millis,
    maybe_cold_until: Millis,
    /// Since when it may be cold.
    maybe_cold_since: Millis,
    /// Its weight for this gateway among the sidecars that may be followed.
    pub weight: u64,
    /// Whether this gateway follows its sidecar.
    pub is_followed: bool,
    /// Information that it has sent in its responses.
    pub notices: Notices,
    /// Whether its sidecar enforces its rate limit for reservations, according to the last answer
    /// to a query.
    pub is_limit_enforced: bool,
    /// Until when it accepts nothing under its rate limit, according to its sidecar.
    rate_exhausted_until: Millis,
    /// The runner rejected a request as misdirected; nothing is sent until its list entry changes.
    pub misdirected: bool,
    /// Until when nothing is sent, because requests were rejected as misdirected repeatedly.
    pub misdirected_until: Millis,
}

impl Runner {
    /// Creates an incarnation of a runner from its list entry. `restarts` is the number of restarts
    /// of a runner that does not report its start time.
    pub fn new(now: Millis, record: RunnerRecord, restarts: u32) -> Self {
        Self {
            incarnation: RunnerIncarnation {
                digest: IncarnationDigest::of(&record.id, record.incarnation.born),
                // The start time distinguishes its incarnations, also if the entry was missing for
                // a while.
                restarts: if record.incarnation.born.is_some() { 0 } else { restarts },
            },
            born: record.incarnation.born,
            previous_born: None,
            listed_incarnation: record.incarnation,
            reported_incarnation: None,
            cold_until: now.plus(record.cold_ms),
            maybe_cold_until: Millis(0),
            maybe_cold_since: Millis(0),
            record,
            in_flight: 0,
            suspects: 0,
            last_alive_at: Millis(0),
            reported: None,
            first_byte_ms: (0.0, Millis(0)),
            full_until: Millis(0),
            failure_pause: FailurePause::default(),
            silence_pause: SilencePause::default(),
            weight: 0,
            is_followed: false,
            notices: Notices::default(),
            is_limit_enforced: false,
            rate_exhausted_until: Millis(0),
            misdirected: false,
            misdirected_until: Millis(0),
        }
    }

    /// Compares the incarnation reported by the list or a sidecar with the known one.
    pub fn compare(&self, other: IncarnationReport, is_listed: bool) -> IncarnationChange {
        let last =
            if is_listed { Some(self.listed_incarnation) } else { self.reported_incarnation };
        let sequence = last.map_or(other.sequence, |it| it.sequence);
        let known = IncarnationReport { born: self.born, sequence };
        if other.born.is_some() && other.born <= self.previous_born {
            return IncarnationChange::Earlier;
        }
        if !is_listed && other.born.is_none() && !self.reports_contain_start_time() {
            // Reports of this runner have no start time, even if its entry has one: the order count
            // distinguishes its incarnations.
            return IncarnationReport { born: None, ..known }.compare(other);
        }
        known.compare(other)
    }

    fn reports_contain_start_time(&self) -> bool {
        self.reported_incarnation.is_some_and(|it| it.born.is_some())
    }

    /// Applies a newer list entry.
    pub fn update_entry(&mut self, now: Millis, record: RunnerRecord) {
        self.listed_incarnation = record.incarnation;
        self.cold_until = now.plus(record.cold_ms);
        self.record = record;
        self.note_listed_state(now);
    }

    /// Remembers for the incarnation of the runner that the list showed it as draining. A store
    /// that is restored from an older copy lists it as ready again.
    pub fn note_listed_state(&mut self, now: Millis) {
        let is_leaving = self.record.state == RunnerState::Draining;
        self.notices.apply(now, now, Notice { is_leaving, ..Notice::default() });
    }

    /// Records that the runner may have become cold recently, for at most `start_ms` milliseconds.
    /// The doubt ends after that time, or when the list shows the state.
    pub fn mark_possibly_cold(&mut self, now: Millis, start_ms: u64) {
        self.maybe_cold_since = now;
        self.maybe_cold_until = now.plus(start_ms.max(LIST_DELAY_MS));
    }

    /// Records that the list is complete up to now.
    pub fn end_cold_doubt(&mut self, now: Millis) {
        if now.since(self.maybe_cold_since).0 >= LIST_DELAY_MS {
            self.maybe_cold_until = Millis(0);
        }
    }

    /// How much longer it may be cold as far as is known, in milliseconds.
    pub fn cold_left_ms(&self, now: Millis) -> u64 {
        self.cold_until.max(self.maybe_cold_until).since(now).0
    }

    /// The same for processes that are not notified when a doubt ends. It is limited to a short
    /// time, because it is reported to them repeatedly.
    pub fn cold_reported_ms(&self, now: Millis) -> u64 {
        let doubt = self.maybe_cold_until.min(now.plus(LIST_DELAY_MS));
        self.cold_until.max(doubt).since(now).0
    }

    /// Applies an answer of its sidecar to a reservation query: the rate limit that it reports, and that it
    /// answers. Returns the change of the limit, if any.
    pub fn apply_limit(
        &mut self,
        now: Millis,
        reported_limit: Option<ReportedLimit>,
    ) -> Option<AdvertisedLimit> {
        self.silence_pause.note_answer(now);
        self.is_limit_enforced = reported_limit.is_some();
        self.learn_limit(now, reported_limit?)
    }

    /// Applies the rate limit that another process reported. Returns the change, if any.
    pub fn learn_limit(
        &mut self,
        now: Millis,
        reported_limit: ReportedLimit,
    ) -> Option<AdvertisedLimit> {
        let limit = &mut self.notices.limit;
        let is_news = limit.apply_report(now, self.born, reported_limit);
        let change = limit.rate().map_or(AdvertisedLimit::Unlimited, AdvertisedLimit::Limited);
        is_news.then_some(change)
    }

    /// Records that its sidecar grants no reservation for this number of milliseconds, while it has
    /// a rate limit.
    pub fn note_rate_exhausted(&mut self, now: Millis, again_ms: u64) {
        self.rate_exhausted_until = now.plus(again_ms);
    }

    /// In how many milliseconds its sidecar may grant a reservation under its rate limit.
    pub fn rate_allows_in_ms(&self, now: Millis) -> u64 {
        match self.notices.limit.rate() {
            Some(_) => self.rate_exhausted_until.since(now).0,
            None => 0,
        }
    }

    /// The rate limit to report to its sidecar.
    pub fn limit_to_report(&self, now: Millis) -> Option<ReportedLimit> {
        self.notices.limit.to_report(now, self.born)
    }

    /// Counts a request that is sent to it.
    pub fn begin_request(&mut self, is_suspect: bool) {
        self.in_flight += 1;
        self.suspects += u32::from(is_suspect);
    }

    /// Removes a request that has ended there.
    pub fn end_request(&mut self, was_suspect: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.suspects = self.suspects.saturating_sub(u32::from(was_suspect));
    }

    /// Whether it accepts new requests, according to the list and its own responses.
    pub fn is_open(&self) -> bool {
        self.record.state == RunnerState::Ready && !self.notices.is_leaving()
    }

    /// Whether its list entry is considered wrong.
    pub fn is_misdirected(&self, now: Millis) -> bool {
        self.misdirected || now < self.misdirected_until
    }

    /// Applies a load report.
    pub fn apply_load(&mut self, now: Millis, load: RunnerLoad) {
        self.last_alive_at = now;
        self.silence_pause.note_message(now);
        self.reported_incarnation = Some(load.life);
        self.reported = Some(Reported { load, at: now, own_requests: self.in_flight });
    }

    /// The last load report, if it still counts.
    pub fn load(&self, now: Millis) -> Option<&RunnerLoad> {
        let reported = self.reported.as_ref()?;
        (now.since(reported.at).0 <= REPORT_VALIDITY_MS).then_some(&reported.load)
    }

    /// Age of the last load report.
    pub fn report_age(&self, now: Millis) -> Option<Millis> {
        self.reported.as_ref().map(|it| now.since(it.at))
    }

    /// The weights that it holds, according to the newest information.
    pub fn weights(&self, now: Millis) -> Option<&WeightsHeld> {
        match self.load(now) {
            Some(load) => load.weights.as_ref(),
            None => self.record.weights.as_ref(),
        }
    }

    /// Requests at the runner: those of this gateway and, according to the last report, those of
    /// other gateways.
    pub fn occupancy(&self, now: Millis) -> u32 {
        let Some(reported) = self.reported.as_ref() else {
            return self.in_flight;
        };
        if now.since(reported.at).0 > REPORT_VALIDITY_MS {
            return self.in_flight;
        }
        let total = reported.load.running.saturating_add(reported.load.waiting);
        self.in_flight.saturating_add(total.saturating_sub(reported.own_requests))
    }

    /// In how many milliseconds the runner accepts requests, according to the last report and its
    /// own responses.
    pub fn serves_in_ms(&self, now: Millis) -> Option<u64> {
        let reported = self.reported.as_ref()?;
        let age = now.since(reported.at).0;
        let serves_in = u64::from(reported.load.serves_in_ms?);
        let left = serves_in.saturating_sub(age).max(self.notices.backoff.left_ms(now));
        // A reported time that has passed without a newer report is not used.
        (age <= REPORT_VALIDITY_MS + serves_in).then_some(left)
    }

    /// How long the runner processes prompts before it can start with another one, in milliseconds.
    pub fn reading_ms(&self, now: Millis) -> f64 {
        let Some(reported) = &self.reported else {
            return 0.0;
        };
        let left = f64::from(reported.load.reading_ms) - now.since(reported.at).0 as f64;
        left.max(0.0)
    }

    /// Expected time to first byte, in milliseconds. A measurement decays with its age, so that a
    /// runner that was slow is tried again.
    pub fn expected_first_byte_ms(&self, now: Millis) -> f64 {
        let (measured_ms, at) = self.first_byte_ms;
        let age = now.since(at).0 as f64;
        measured_ms * (-age / FIRST_BYTE_DECAY_MS).exp()
    }

    /// Records the time to first byte of a response, or the time waited without one.
    pub fn note_first_byte(&mut self, now: Millis, took: Millis) {
        let before = self.expected_first_byte_ms(now);
        let took = took.0 as f64;
        let smoothed =
            if before == 0.0 { took } else { before + SMOOTHING_WEIGHT * (took - before) };
        self.first_byte_ms = (smoothed, now);
    }

    /// Whether it is paused after a failure or because it was full.
    pub fn is_paused(&self, now: Millis) -> bool {
        now < self.full_until || self.failure_pause_ms(now) > 0
    }

    /// Remaining pause after a failure or a silence of its sidecar, in milliseconds. A pause of a
    /// runner that was full does not count.
    pub fn failure_pause_ms(&self, now: Millis) -> u64 {
        self.failure_pause.left_ms(now).max(self.silence_pause.left_ms(now))
    }

    /// Records a response, which ends its pause.
    pub fn note_response(&mut self) {
        self.full_until = Millis(0);
        self.failure_pause = FailurePause::default();
        self.silence_pause = SilencePause::default();
    }

    /// Records a failure: the runner is paused for a time that doubles with each failure.
    pub fn note_failure(&mut self, now: Millis) {
        self.failure_pause.note_failure(now);
    }

    /// Records that its sidecar did not answer a query that was sent at `asked_at`.
    pub fn note_silence(&mut self, now: Millis, asked_at: Millis) {
        self.silence_pause.note_silence(now, asked_at);
    }

    /// Records that it rejected a request because it is full.
    pub fn note_full(&mut self, now: Millis, pause_ms: u64) {
        self.full_until = self.full_until.max(now.plus(pause_ms));
    }
}
