//! The time that requests spend in each step, grouped by how they ended.
//!
//! A step lasts from one log line of the request's gateway to the next. The log lines of sidecars are only used to
//! count the reasons for denied reservations.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::decision::{Decision, RequestLine};

/// The largest duration that the histograms record, in milliseconds; longer steps count as this long. The gateway holds
/// requests for less.
const MAX_STEP_MS: u64 = 60_000;

/// What happened between two consecutive log lines of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The request waited in the queue until the first runner was selected.
    Queued,
    /// A sidecar was asked for a reservation and denied it.
    Denied,
    /// A sidecar was asked for a reservation and did not answer in time, or the reservation was used too late.
    Unanswered,
    /// The request waited until another runner was selected.
    WaitedAgain,
    /// A runner received the request and began to respond. Includes the time of the reservation.
    Begun,
    /// An attempt failed without a response.
    Failed,
    /// The response was relayed to the caller.
    HandedOn,
    /// The request ended without a response that could be relayed.
    Concluded,
}

/// The count and the durations of one step, for requests with one outcome.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// How the requests ended.
    pub outcome: String,
    /// The step.
    pub step: Step,
    /// The number of times that the step occurred.
    pub count: u64,
    /// The mean number of times that the step occurred in a request with this outcome.
    pub per_request: f64,
    /// The median duration, in milliseconds.
    pub half_ms: u64,
    /// The 99th percentile of the duration, in milliseconds.
    pub most_ms: u64,
}

/// The time spent by the requests in a set of logs.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Profile {
    /// The number of requests whose start and end are in the logs, by outcome.
    pub requests: BTreeMap<String, u64>,
    /// One row for each outcome and step.
    pub rows: Vec<Row>,
    /// The number of denied reservations, by reason.
    pub denials: BTreeMap<String, u64>,
}

impl Profile {
    /// Builds the profile from the texts of log files. Lines that cannot be parsed are skipped, as logs also contain
    /// lines of other kinds.
    pub fn of<'a>(logs: impl IntoIterator<Item = &'a str>) -> Self {
        let mut profile = Self::default();
        let mut by_request: BTreeMap<(String, String), Vec<RequestLine>> = BTreeMap::new();
        for text in logs.into_iter().flat_map(str::lines) {
            let Ok(line) = serde_json::from_str::<RequestLine>(text) else {
                continue;
            };
            if let Decision::Denied { reason, .. } = line.decision {
                *profile.denials.entry(reason).or_default() += 1;
                continue;
            }
            if is_remark(&line.decision) {
                continue;
            }
            by_request.entry((line.instance.clone(), line.request.clone())).or_default().push(line);
        }
        let mut histograms: BTreeMap<(String, Step), Histogram<u64>> = BTreeMap::new();
        for lines in by_request.values_mut() {
            lines.sort_by_key(|it| it.ts_ms);
            profile.record_request(lines, &mut histograms);
        }
        profile.rows =
            histograms.into_iter().map(|(key, histogram)| profile.row(key, &histogram)).collect();
        profile
    }

    /// Records the steps of one request if the log has both its start and its end.
    fn record_request(
        &mut self,
        lines: &[RequestLine],
        histograms: &mut BTreeMap<(String, Step), Histogram<u64>>,
    ) {
        let Some(outcome) = lines.iter().rev().find_map(|it| outcome(&it.decision)) else {
            return;
        };
        if !lines.iter().any(|it| matches!(it.decision, Decision::Routed { .. })) {
            return;
        }
        *self.requests.entry(outcome.to_owned()).or_default() += 1;
        for pair in lines.windows(2) {
            if let Some(step) = step(&pair[0].decision, &pair[1].decision) {
                let histogram =
                    histograms.entry((outcome.to_owned(), step)).or_insert_with(new_histogram);
                histogram.saturating_record(pair[1].ts_ms - pair[0].ts_ms);
            }
        }
    }

    fn row(&self, (outcome, step): (String, Step), histogram: &Histogram<u64>) -> Row {
        let requests = self.requests.get(&outcome).copied().unwrap_or(0).max(1);
        Row {
            count: histogram.len(),
            per_request: histogram.len() as f64 / requests as f64,
            half_ms: histogram.value_at_quantile(0.5),
            most_ms: histogram.value_at_quantile(0.99),
            outcome,
            step,
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_STEP_MS, 3).expect("the bounds are in order")
}

fn outcome(decision: &Decision) -> Option<&str> {
    match decision {
        Decision::Ended { outcome, .. } => Some(outcome),
        _ => None,
    }
}

/// Whether a line accompanies an attempt and does not mark the end of a step.
fn is_remark(decision: &Decision) -> bool {
    matches!(
        decision,
        Decision::Told { .. }
            | Decision::Silent { .. }
            | Decision::Continued { .. }
            | Decision::BrokeOff { .. }
    )
}

/// Classifies the time between two consecutive lines; `None` if the second one does not end a step.
fn step(before: &Decision, after: &Decision) -> Option<Step> {
    match (before, after) {
        (Decision::Routed { .. }, Decision::Chosen { .. }) => Some(Step::Queued),
        (_, Decision::NoPlace { outcome, .. }) if outcome == "denied" => Some(Step::Denied),
        (_, Decision::NoPlace { .. }) => Some(Step::Unanswered),
        (_, Decision::Chosen { .. }) => Some(Step::WaitedAgain),
        (_, Decision::Answered { .. } | Decision::Resumed { .. }) => Some(Step::Begun),
        (_, Decision::Failed { .. }) => Some(Step::Failed),
        (Decision::Answered { .. } | Decision::Resumed { .. }, Decision::Ended { .. }) => {
            Some(Step::HandedOn)
        }
        (_, Decision::Ended { .. }) => Some(Step::Concluded),
        (_, Decision::Routed { .. } | Decision::Unrouted { .. }) => None,
        (_, Decision::Denied { .. } | Decision::Told { .. }) => None,
        (_, Decision::Silent { .. } | Decision::Continued { .. } | Decision::BrokeOff { .. }) => {
            None
        }
    }
}

impl fmt::Display for Profile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (outcome, count) in &self.requests {
            writeln!(f, "{count} requests ended {outcome}")?;
        }
        let headers = ["outcome", "step", "count", "each", "p50 ms", "p99 ms"];
        let [outcome, step, count, each, median, p99] = headers;
        writeln!(f, "{outcome:<10} {step:<12} {count:>8} {each:>7} {median:>8} {p99:>13}")?;
        for row in &self.rows {
            let step = format!("{:?}", row.step);
            let Row { outcome, count, per_request, half_ms, most_ms, .. } = row;
            writeln!(
                f,
                "{outcome:<10} {step:<12} {count:>8} {per_request:>7.2} {half_ms:>8} {most_ms:>13}"
            )?;
        }
        for (reason, count) in &self.denials {
            writeln!(f, "{count} denied reservations: {reason}")?;
        }
        Ok(())
    }
}
