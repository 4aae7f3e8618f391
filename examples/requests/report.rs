//! What the example found.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use lab::Ending;
use serde::Serialize;

use crate::load::{Kind, Outcome};

/// The figures of one run.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// How upstreams were chosen.
    pub choice: String,
    /// The load, as a multiple of what the engines can do.
    pub load: f64,
    /// The faults.
    pub faults: String,
    /// Requests sent.
    pub sent: usize,
    /// Answered whole.
    pub whole: usize,
    /// Answered whole and in time.
    pub on_time: usize,
    /// The same a second, weighted by kind.
    pub on_time_weighted_per_s: f64,
    /// What could have been answered on time a second at this load, weighted by kind.
    pub capacity_weighted_per_s: f64,
    /// Told that they were not run.
    pub not_run: usize,
    /// Told that they may have run, or not told anything.
    pub unknown: usize,
    /// By code, what was told instead of an answer.
    pub codes: BTreeMap<String, usize>,
    /// Postings that ran twice.
    pub ran_twice: usize,
    /// Postings that ran although their caller was told that they were not.
    pub false_not_run: usize,
    /// Answers cut short and passed on as whole.
    pub cut: usize,
    /// Answers that belong to another request.
    pub crossed: usize,
    /// Seconds after the acceptance of a leave until the leaving engine began its last request.
    pub new_work_after_leave_s: Option<f64>,
    /// Whether a planned stop cut nothing off.
    pub stop_was_clean: Option<bool>,
    /// Microseconds that an entry and an agent add, at 50 in 100.
    pub entry_overhead_p50_us: Option<f64>,
    /// The same, at 99 in 100.
    pub entry_overhead_p99_us: Option<f64>,
    /// The time through an entry and an agent over the time around them, at 50 in 100.
    pub entry_overhead_ratio_p50: Option<f64>,
    /// Time to the first token of completions answered whole, 95 in 100.
    pub first_token_p95_ms: f64,
    /// The longest time between two tokens of a completion, 95 in 100.
    pub token_gap_p95_ms: f64,
}

impl Report {
    /// Counts the outcomes. `runs` tells how often each posting truly ran, by its digest.
    pub fn count(
        &mut self,
        outcomes: &[Outcome],
        runs: &HashMap<String, u64>,
        seconds: f64,
    ) -> eyre::Result<()> {
        let mut first = Histogram::<u64>::new(3)?;
        let mut gaps = Histogram::<u64>::new(3)?;
        let mut weighted = 0.0;
        for outcome in outcomes {
            self.count_endings(outcome);
            if outcome.on_time {
                self.on_time += 1;
                weighted += outcome.planned.kind.weight();
            }
            if let (Some(span), Ending::Whole) = (outcome.first_token, outcome.endings[0]) {
                first.record(span.as_micros() as u64)?;
                gaps.record(outcome.longest_gap.as_micros() as u64)?;
            }
            if outcome.planned.kind == Kind::Post {
                self.compare(outcome, runs);
            }
        }
        self.on_time_weighted_per_s = weighted / seconds;
        self.first_token_p95_ms = first.value_at_quantile(0.95) as f64 / 1000.0;
        self.token_gap_p95_ms = gaps.value_at_quantile(0.95) as f64 / 1000.0;
        Ok(())
    }

    fn count_endings(&mut self, outcome: &Outcome) {
        self.sent += 1;
        match outcome.endings[0] {
            Ending::Whole => self.whole += 1,
            Ending::NotRun(code) => {
                self.not_run += 1;
                *self.codes.entry(code.name().to_owned()).or_default() += 1;
            }
            Ending::Unknown(code) => {
                self.unknown += 1;
                *self.codes.entry(code.name().to_owned()).or_default() += 1;
            }
            Ending::Partial => self.cut += 1,
            Ending::Crossed => self.crossed += 1,
        }
    }

    /// Compares what a caller was told with what truly ran.
    fn compare(&mut self, outcome: &Outcome, runs: &HashMap<String, u64>) {
        let digest = blake3::hash(outcome.planned.text.as_bytes()).to_hex().to_string();
        let ran = runs.get(&digest).copied().unwrap_or(0);
        self.ran_twice += usize::from(ran > 1);
        // Each time it is sent is a request of its own: "not run" is false only if none of the
        // others can have been the one that ran.
        let told_not_run = outcome.endings.iter().all(|it| matches!(it, Ending::NotRun(_)));
        self.false_not_run += usize::from(told_not_run && ran > 0);
    }
}
