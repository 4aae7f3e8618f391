//! The state of another daemon that a receiver exchanges chunks with.

use std::net::SocketAddr;

use fleet::{Bitmap, Millis};

/// Number of corrupt or failed chunks, without a good one in between, after which a neighbour is not asked
/// for a while.
const MAX_BAD_CHUNKS: u32 = 3;
/// How long it is not asked.
const FAILURE_PAUSE_MS: u64 = 10_000;
/// Shortest and longest delay before a neighbour whose upload queue was full is asked again.
const MIN_BUSY_DELAY_MS: u64 = 20;
const MAX_BUSY_DELAY_MS: u64 = 2000;
/// Number of consecutive refusals before the delay doubles: about the length of an upload queue.
const REFUSALS_BEFORE_BACKOFF: u32 = 8;
/// Most doublings of that delay.
const MAX_DOUBLINGS: u32 = 4;
/// Weight of a new measurement in the moving average.
const SMOOTHING_FACTOR: f64 = 0.25;

/// Another daemon that chunks are exchanged with.
#[derive(Clone, Debug)]
pub struct Neighbour {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// 0 in the same hall, 1 in the same region, 2 elsewhere.
    pub distance: u32,
    /// Whether it shares the copy that this group fetches from the origin.
    pub in_group: bool,
    /// Whether its engine already serves the version. It then holds chunks for others and needs none.
    pub serves: bool,
    /// The chunks that it reported to hold.
    pub have: Bitmap,
    /// Number of chunks that were requested from it and have not arrived.
    pub outstanding: u32,
    /// The length of its upload queue when last reported, and the time of that report.
    uploads: (u32, Millis),
    /// When it was last sent a summary of the chunks held here, and the number of those chunks.
    summary_sent: (Millis, u32),
    /// It is not asked before this time.
    pub not_before: Millis,
    /// Failures since the last good chunk.
    bad_chunks: u32,
    /// Whether a fetch from it has failed since its last message. It may be down, and its chunks lost.
    is_doubtful: bool,
    /// Refusals because of a full queue since the last good chunk.
    refusals: u32,
    /// Moving average of the time from request to arrival, in milliseconds.
    average_ms: Option<f64>,
}

impl Neighbour {
    /// Creates a neighbour that has not reported anything yet.
    pub fn new(address: SocketAddr, distance: u32, in_group: bool, chunks: u32) -> Self {
        Self {
            address,
            distance,
            in_group,
            serves: false,
            have: Bitmap::new(chunks),
            outstanding: 0,
            uploads: (0, Millis(0)),
            summary_sent: (Millis(0), 0),
            not_before: Millis(0),
            bad_chunks: 0,
            is_doubtful: false,
            refusals: 0,
            average_ms: None,
        }
    }

    /// Sets the length of its upload queue.
    pub fn set_uploads(&mut self, now: Millis, uploads: u32) {
        self.uploads = (uploads, now);
    }

    /// The estimated length of its upload queue, if each chunk takes `chunk_ms` to send. Without the decay, a
    /// neighbour whose last report was long would never be asked again.
    pub fn uploads(&self, now: Millis, chunk_ms: f64) -> u32 {
        let (uploads, since) = self.uploads;
        let sent = now.since(since).0 as f64 / chunk_ms.max(1.0);
        uploads.saturating_sub(sent as u32)
    }

    /// When it was last sent a summary.
    pub fn summarized_at(&self) -> Millis {
        self.summary_sent.0
    }

    /// The number of chunks in the last summary that it was sent.
    pub fn summarized_count(&self) -> u32 {
        self.summary_sent.1
    }

    /// Records that it was sent a summary of `held` chunks.
    pub fn record_summary(&mut self, now: Millis, held: u32) {
        self.summary_sent = (now, held);
    }

    /// Resets what it was sent, so that it gets a summary again.
    pub fn reset_summary(&mut self) {
        self.summary_sent = (Millis(0), 0);
    }

    /// The average time of a chunk from it, in milliseconds, or `default_ms` if there is none.
    pub fn average_ms_or(&self, default_ms: f64) -> f64 {
        self.average_ms.unwrap_or(default_ms)
    }

    /// Sets the chunks that it reports to hold.
    pub fn set_have(&mut self, have: Bitmap) {
        self.have = have;
        self.is_doubtful = false;
    }

    /// Whether it can be expected to send a chunk.
    pub fn offers(&self, chunk: u32) -> bool {
        !self.is_doubtful && self.have.contains(chunk)
    }

    /// Records a good chunk, which took the time `elapsed`.
    pub fn record_good_chunk(&mut self, elapsed: Millis) {
        self.is_doubtful = false;
        self.bad_chunks = 0;
        self.refusals = 0;
        let elapsed = elapsed.0 as f64;
        let before = self.average_ms.unwrap_or(elapsed);
        self.average_ms = Some(before + SMOOTHING_FACTOR * (elapsed - before));
    }

    /// Records a refusal because of a full queue. After `REFUSALS_BEFORE_BACKOFF` consecutive refusals the
    /// delay doubles with each further one: otherwise a neighbour behind a stalled link would be asked fifty
    /// times a second. It does not double from the first refusal on, because few receivers hold chunks when a
    /// spread starts, and long delays would leave their links idle.
    pub fn record_refusal(&mut self, now: Millis, retry_after: u64) {
        let doublings = self.refusals.saturating_sub(REFUSALS_BEFORE_BACKOFF).min(MAX_DOUBLINGS);
        let delay = retry_after.max(MIN_BUSY_DELAY_MS) << doublings;
        self.refusals += 1;
        self.not_before = now.plus(delay.min(MAX_BUSY_DELAY_MS));
    }

    /// Records a failure; after `MAX_BAD_CHUNKS` of them the neighbour is not asked for a while.
    pub fn record_bad_chunk(&mut self, now: Millis) {
        self.is_doubtful = true;
        self.bad_chunks += 1;
        if self.bad_chunks >= MAX_BAD_CHUNKS {
            self.bad_chunks = 0;
            self.not_before = now.plus(FAILURE_PAUSE_MS);
        }
    }
}
