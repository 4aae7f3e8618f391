//! What a receiver knows of another daemon that it exchanges chunks with.

use std::net::SocketAddr;

use fleet::{Bitmap, Millis};

/// Corrupt or stalled chunks after which a neighbour is put aside.
const STRIKES: u32 = 3;
/// How long it is put aside, in milliseconds.
const ASIDE_TIME: u64 = 10_000;
/// How long an asker that found the upload queue full waits, at least and at most, in milliseconds.
const MIN_BUSY_WAIT: u64 = 20;
const MAX_BUSY_WAIT: u64 = 2000;
/// Refusals in a row before the wait is doubled: about as many as an upload queue is long.
const PATIENT_REFUSALS: u32 = 8;
/// How often that wait is doubled at most.
const MOST_DOUBLINGS: u32 = 4;
/// The part of a new measurement in the smoothed one.
const SMOOTHING: f64 = 0.25;

/// A neighbour.
#[derive(Clone, Debug)]
pub struct Neighbour {
    /// Where it listens.
    pub address: SocketAddr,
    /// Zero in the same hall, one in the same region, two beyond.
    pub distance: u32,
    /// Whether it shares this group's copy from the origin.
    pub in_group: bool,
    /// Whether its engine serves the version already. It keeps chunks for others and wants none.
    pub serves: bool,
    /// The chunks it said it holds.
    pub have: Bitmap,
    /// Chunks asked of it and not yet answered.
    pub outstanding: u32,
    /// Chunks in its upload queue when it last said so, and when that was.
    uploads: (u32, Millis),
    /// When it was last told which chunks are held here, and how many those were.
    told: (Millis, u32),
    /// Not to be asked before this moment.
    pub not_before: Millis,
    /// Failures since the last good chunk.
    strikes: u32,
    /// Whether a chunk failed there since it last said anything. It may be gone with all that it held.
    doubted: bool,
    /// Refusals for a full queue since the last good chunk.
    refusals: u32,
    /// Smoothed time from asking to arrival, in milliseconds.
    time_ms: Option<f64>,
}

impl Neighbour {
    /// A neighbour that has said nothing yet.
    pub fn new(address: SocketAddr, distance: u32, in_group: bool, chunks: u32) -> Self {
        Self {
            address,
            distance,
            in_group,
            serves: false,
            have: Bitmap::new(chunks),
            outstanding: 0,
            uploads: (0, Millis(0)),
            told: (Millis(0), 0),
            not_before: Millis(0),
            strikes: 0,
            doubted: false,
            refusals: 0,
            time_ms: None,
        }
    }

    /// Takes in how many chunks wait in its upload queue.
    pub fn set_uploads(&mut self, now: Millis, uploads: u32) {
        self.uploads = (uploads, now);
    }

    /// How many chunks wait there by now, if each takes `chunk_ms` to send. A report that is never
    /// taken for old would keep a source from being asked for good.
    pub fn uploads(&self, now: Millis, chunk_ms: f64) -> u32 {
        let (uploads, since) = self.uploads;
        let sent = now.since(since).0 as f64 / chunk_ms.max(1.0);
        uploads.saturating_sub(sent as u32)
    }

    /// When it was last told.
    pub fn told_at(&self) -> Millis {
        self.told.0
    }

    /// How many chunks it was told of.
    pub fn told_count(&self) -> u32 {
        self.told.1
    }

    /// Notes that it is told now of so many chunks.
    pub fn tell(&mut self, now: Millis, held: u32) {
        self.told = (now, held);
    }

    /// Forgets that it was ever told which chunks are held.
    pub fn forget_told(&mut self) {
        self.told = (Millis(0), 0);
    }

    /// How long a chunk from it takes, in milliseconds.
    pub fn usual_time(&self, otherwise: f64) -> f64 {
        self.time_ms.unwrap_or(otherwise)
    }

    /// Takes in which chunks it says it holds.
    pub fn set_have(&mut self, have: Bitmap) {
        self.have = have;
        self.doubted = false;
    }

    /// Whether a chunk can be expected from it.
    pub fn offers(&self, chunk: u32) -> bool {
        !self.doubted && self.have.contains(chunk)
    }

    /// Counts a good chunk.
    pub fn reward(&mut self, took: Millis) {
        self.doubted = false;
        self.strikes = 0;
        self.refusals = 0;
        let took = took.0 as f64;
        let before = self.time_ms.unwrap_or(took);
        self.time_ms = Some(before + SMOOTHING * (took - before));
    }

    /// Counts a refusal for a full queue. After a few in a row the wait doubles with each: a source
    /// behind a stalled link would otherwise be asked fifty times a second. Not from the first one
    /// on: when a spread starts few hold anything, and who comes back late lets their links idle.
    pub fn back_off(&mut self, now: Millis, retry_after: u64) {
        let doublings = self.refusals.saturating_sub(PATIENT_REFUSALS).min(MOST_DOUBLINGS);
        let wait = retry_after.max(MIN_BUSY_WAIT) << doublings;
        self.refusals += 1;
        self.not_before = now.plus(wait.min(MAX_BUSY_WAIT));
    }

    /// Counts a failure; after a few the neighbour is put aside for a while.
    pub fn punish(&mut self, now: Millis) {
        self.doubted = true;
        self.strikes += 1;
        if self.strikes >= STRIKES {
            self.strikes = 0;
            self.not_before = now.plus(ASIDE_TIME);
        }
    }
}
