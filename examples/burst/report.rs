//! The results of the example.

use std::collections::BTreeMap;
use std::fmt;

use lab::{ChatAnswer, Outcome};
use serde::Serialize;

/// The results of one run.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Requested replicas, without those that were killed.
    pub replicas: usize,
    /// Replicas that serve the requested version.
    pub live: usize,
    /// The profile.
    pub profile: String,
    /// The strategy that selected chunks and sources.
    pub choice: String,
    /// The faults.
    pub faults: String,
    /// Bytes of the file.
    pub bytes: u64,
    /// Chunks of the file.
    pub chunks: u32,
    /// Seconds from the confirmation of the plan until the last replica was live.
    pub seconds: f64,
    /// Lower bound of the time at these link rates, in seconds.
    pub bound_seconds: f64,
    /// `seconds` divided by `bound_seconds`.
    pub ratio: f64,
    /// Bytes sent by the origin divided by the bytes of the file.
    pub origin_copies: f64,
    /// Corrupted chunks that were detected and discarded.
    pub chunks_corrupt_caught: u64,
    /// Number of chunks fetched again, by reason.
    pub rerequests: BTreeMap<String, u64>,
    /// Requests sent.
    pub requests: u64,
    /// Requests answered completely.
    pub whole: u64,
    /// Requests refused with the statement that they did not run.
    pub not_run: u64,
    /// The same, by the name of the result code.
    pub not_run_reasons: BTreeMap<&'static str, u64>,
    /// Requests that failed with the statement that they may have run.
    pub unknown: u64,
    /// Answers from weights that are no complete version, and truncated answers passed on as complete.
    pub partial_served: u64,
    /// Answers that contain tokens of two versions.
    pub mixed_served: u64,
}

impl Report {
    /// Counts one answer. `known_digests` holds the digests of the complete versions.
    pub fn count(&mut self, answer: &ChatAnswer, known_digests: &[String]) {
        self.requests += 1;
        match answer.outcome {
            Outcome::Complete if known_digests.contains(&answer.fingerprint) => self.whole += 1,
            Outcome::Complete | Outcome::Truncated => self.partial_served += 1,
            Outcome::Mixed => self.mixed_served += 1,
            Outcome::NotRun(code) => {
                self.not_run += 1;
                *self.not_run_reasons.entry(code.name()).or_default() += 1;
            }
            Outcome::Unknown(_) => self.unknown += 1,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults = if self.faults.is_empty() { "none" } else { &self.faults };
        writeln!(f, "profile {}, choice {}, faults: {faults}", self.profile, self.choice)?;
        writeln!(f, "live          {} of {} replicas", self.live, self.replicas)?;
        writeln!(
            f,
            "time          {:.2} s, {:.2} times the bound of {:.2} s",
            self.seconds, self.ratio, self.bound_seconds
        )?;
        writeln!(f, "origin        {:.2} copies of {} bytes", self.origin_copies, self.bytes)?;
        writeln!(f, "drawn again   {:?}", self.rerequests)?;
        writeln!(f, "corrupt       {} chunks found", self.chunks_corrupt_caught)?;
        writeln!(
            f,
            "requests      {}: {} whole, {} not run, {} unknown",
            self.requests, self.whole, self.not_run, self.unknown
        )?;
        writeln!(
            f,
            "not run       {:?}; callers begin with the rollout, before any replica is live",
            self.not_run_reasons
        )?;
        write!(f, "wrong answers {} partial, {} mixed", self.partial_served, self.mixed_served)
    }
}

/// Formats the baseline and the compared run as one table.
pub fn side_by_side(baseline: &Report, compared: &Report) -> String {
    let row = |it: &Report| {
        format!(
            "{:<12} {:>9.2} {:>7.2} {:>14.2} {:>10}",
            it.choice, it.seconds, it.ratio, it.origin_copies, it.live
        )
    };
    let header = format!(
        "{:<12} {:>9} {:>7} {:>14} {:>10}",
        "choice", "seconds", "ratio", "origin copies", "live"
    );
    [header, row(baseline), row(compared)].join("\n")
}
