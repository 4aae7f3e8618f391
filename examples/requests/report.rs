//! The results of the example.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use lab::Outcome;
use serde::Serialize;

use crate::load::{Kind, RequestResult};

/// The results of one run.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// The strategy that selected upstreams.
    pub choice: String,
    /// The load, as a multiple of the capacity of the engines.
    pub load: f64,
    /// The faults.
    pub faults: String,
    /// Number of requests sent.
    pub sent: usize,
    /// Requests answered completely.
    pub whole: usize,
    /// Requests answered completely and in time.
    pub on_time: usize,
    /// The same per second, weighted by kind.
    pub on_time_weighted_per_s: f64,
    /// Requests per second that could have been answered on time at this load, weighted by kind.
    pub capacity_weighted_per_s: f64,
    /// Requests refused with the statement that they did not run.
    pub not_run: usize,
    /// Requests whose caller was told that they may have run, or got no statement.
    pub unknown: usize,
    /// Number of requests without an answer, by result code.
    pub codes: BTreeMap<String, usize>,
    /// Till requests that ran more than once.
    pub ran_twice: usize,
    /// Till requests that ran although the caller was told that they did not.
    pub false_not_run: usize,
    /// Truncated answers passed on as complete.
    pub cut: usize,
    /// Answers that belong to another request.
    pub crossed: usize,
    /// Seconds from the acceptance of a leave until the leaving engine answered its last request.
    pub new_work_after_leave_s: Option<f64>,
    /// Whether a planned stop ended without cutting off a request.
    pub stop_was_clean: Option<bool>,
    /// Median latency that an entry and an agent add, in microseconds.
    pub entry_overhead_p50_us: Option<f64>,
    /// The 99th percentile of the same latency.
    pub entry_overhead_p99_us: Option<f64>,
    /// Median latency through an entry and an agent divided by the median latency of direct requests.
    pub entry_overhead_ratio_p50: Option<f64>,
    /// 95th percentile of the time to the first token of completions answered completely.
    pub first_token_p95_ms: f64,
    /// 95th percentile of the longest gap between two tokens of a completion.
    pub token_gap_p95_ms: f64,
}

impl Report {
    /// Counts the results. `runs` holds how often each till request ran, by the digest of its body.
    pub fn count(
        &mut self,
        results: &[RequestResult],
        runs: &HashMap<String, u64>,
        seconds: f64,
    ) -> eyre::Result<()> {
        let mut first = Histogram::<u64>::new(3)?;
        let mut gaps = Histogram::<u64>::new(3)?;
        let mut weighted = 0.0;
        for result in results {
            self.count_outcomes(result);
            if result.on_time {
                self.on_time += 1;
                weighted += result.planned.kind.weight();
            }
            if let (Some(span), Outcome::Complete) = (result.first_token, result.outcomes[0]) {
                first.record(span.as_micros() as u64)?;
                gaps.record(result.longest_gap.as_micros() as u64)?;
            }
            if result.planned.kind == Kind::Post {
                self.count_runs(result, runs);
            }
        }
        self.on_time_weighted_per_s = weighted / seconds;
        self.first_token_p95_ms = first.value_at_quantile(0.95) as f64 / 1000.0;
        self.token_gap_p95_ms = gaps.value_at_quantile(0.95) as f64 / 1000.0;
        Ok(())
    }

    fn count_outcomes(&mut self, result: &RequestResult) {
        self.sent += 1;
        match result.outcomes[0] {
            Outcome::Complete => self.whole += 1,
            Outcome::NotRun(code) => {
                self.not_run += 1;
                *self.codes.entry(code.name().to_owned()).or_default() += 1;
            }
            Outcome::Unknown(code) => {
                self.unknown += 1;
                *self.codes.entry(code.name().to_owned()).or_default() += 1;
            }
            Outcome::Truncated => self.cut += 1,
            Outcome::Mixed => self.crossed += 1,
        }
    }

    /// Compares what a caller was told with how often the request ran.
    fn count_runs(&mut self, result: &RequestResult, runs: &HashMap<String, u64>) {
        let digest = blake3::hash(result.planned.text.as_bytes()).to_hex().to_string();
        let ran = runs.get(&digest).copied().unwrap_or(0);
        self.ran_twice += usize::from(ran > 1);
        // Every attempt has its own answer. "Not run" is false only if no other attempt can be the one that
        // ran.
        let told_not_run = result.outcomes.iter().all(|it| matches!(it, Outcome::NotRun(_)));
        self.false_not_run += usize::from(told_not_run && ran > 0);
    }
}
