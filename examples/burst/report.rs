//! What the example found.

use std::collections::BTreeMap;
use std::fmt;

use lab::{ChatAnswer, Ending};
use serde::Serialize;

/// The figures of one run.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Replicas wanted, without those that died.
    pub replicas: usize,
    /// Replicas that serve the wanted version.
    pub live: usize,
    /// The profile.
    pub profile: String,
    /// How chunks and sources were chosen.
    pub choice: String,
    /// The faults.
    pub faults: String,
    /// Bytes of the file.
    pub bytes: u64,
    /// Chunks of the file.
    pub chunks: u32,
    /// From the confirmation until the last replica was live.
    pub seconds: f64,
    /// The least possible time at these link rates.
    pub bound_seconds: f64,
    /// `seconds` over `bound_seconds`.
    pub ratio: f64,
    /// Bytes that left the origin over the bytes of the file.
    pub origin_copies: f64,
    /// Damaged chunks that were found and thrown away.
    pub chunks_corrupt_caught: u64,
    /// Chunks drawn again, by reason.
    pub rerequests: BTreeMap<String, u64>,
    /// Requests sent.
    pub requests: u64,
    /// Answered whole.
    pub whole: u64,
    /// Told that they were not run.
    pub not_run: u64,
    /// The same by the name of the code that they were told.
    pub not_run_reasons: BTreeMap<&'static str, u64>,
    /// Told that they may have run.
    pub unknown: u64,
    /// Answers from weights that are no whole version, or cut answers passed on as whole.
    pub partial_served: u64,
    /// Answers whose tokens come from two versions.
    pub mixed_served: u64,
}

impl Report {
    /// Counts one answer; `known` are the digests of the whole versions.
    pub fn count(&mut self, answer: &ChatAnswer, known: &[String]) {
        self.requests += 1;
        match answer.ending {
            Ending::Whole if known.contains(&answer.fingerprint) => self.whole += 1,
            Ending::Whole | Ending::Partial => self.partial_served += 1,
            Ending::Crossed => self.mixed_served += 1,
            Ending::NotRun(code) => {
                self.not_run += 1;
                *self.not_run_reasons.entry(code.name()).or_default() += 1;
            }
            Ending::Unknown(_) => self.unknown += 1,
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

/// A naive version and ours in one table.
pub fn side_by_side(naive: &Report, ours: &Report) -> String {
    let row = |it: &Report| {
        format!(
            "{:<12} {:>9.2} {:>7.2} {:>14.2} {:>10}",
            it.choice, it.seconds, it.ratio, it.origin_copies, it.live
        )
    };
    let head = format!(
        "{:<12} {:>9} {:>7} {:>14} {:>10}",
        "choice", "seconds", "ratio", "origin copies", "live"
    );
    [head, row(naive), row(ours)].join("\n")
}
