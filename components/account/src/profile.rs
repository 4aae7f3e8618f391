//! Where the time of requests goes, by step and by how they ended.
//!
//! A step is the time from one line of a request's gateway to the next. What sidecars say tells why they gave no
//! place.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::decision::{Decision, RequestLine};

/// The longest step that is told apart, in milliseconds. Requests are held for less.
const LONGEST_MS: u64 = 60_000;

/// What happened between two lines of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// It waited for a runner to be chosen, for the first time.
    Queued,
    /// A sidecar was asked for a place and gave none.
    Denied,
    /// A sidecar was asked for a place and did not answer in time, or the place was used too late.
    Unanswered,
    /// It waited for another runner to be chosen.
    WaitedAgain,
    /// A runner was chosen, gave a place and began to answer.
    Begun,
    /// A runner was sent the request and gave no answer.
    Failed,
    /// The answer was handed on.
    HandedOn,
    /// Its final answer was made up after that.
    Concluded,
}

/// How often a step was taken, and how long it took.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// How the requests ended.
    pub outcome: String,
    /// The step.
    pub step: Step,
    /// How often it was taken.
    pub count: u64,
    /// How often by each request that ended so.
    pub per_request: f64,
    /// The time that half of the steps kept to, in milliseconds.
    pub half_ms: u64,
    /// The time that 99 of 100 steps kept to, in milliseconds.
    pub most_ms: u64,
}

/// The profile of the requests in some logs.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Profile {
    /// Requests whose every step is in the logs, by how they ended.
    pub requests: BTreeMap<String, u64>,
    /// The steps.
    pub rows: Vec<Row>,
    /// Why sidecars gave no place.
    pub denials: BTreeMap<String, u64>,
}

impl Profile {
    /// Profiles the requests that some logs tell of whole. Lines that cannot be read are passed over: logs hold
    /// other lines too.
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
            if matches!(line.decision, Decision::Told { .. }) {
                // What a runner says of itself beside its answer is no step.
                continue;
            }
            by_request.entry((line.instance.clone(), line.request.clone())).or_default().push(line);
        }
        let mut spans: BTreeMap<(String, Step), Histogram<u64>> = BTreeMap::new();
        for lines in by_request.values_mut() {
            lines.sort_by_key(|it| it.ts_ms);
            profile.add(lines, &mut spans);
        }
        profile.rows = spans.into_iter().map(|(key, span)| profile.row(key, &span)).collect();
        profile
    }

    /// Adds the steps of a request, if its first and last line are there.
    fn add(&mut self, lines: &[RequestLine], spans: &mut BTreeMap<(String, Step), Histogram<u64>>) {
        let Some(outcome) = lines.iter().rev().find_map(|it| outcome(&it.decision)) else {
            return;
        };
        if !lines.iter().any(|it| matches!(it.decision, Decision::Routed { .. })) {
            return;
        }
        *self.requests.entry(outcome.to_owned()).or_default() += 1;
        for pair in lines.windows(2) {
            if let Some(step) = step(&pair[0].decision, &pair[1].decision) {
                let span = spans.entry((outcome.to_owned(), step)).or_insert_with(histogram);
                span.saturating_record(pair[1].ts_ms - pair[0].ts_ms);
            }
        }
    }

    fn row(&self, (outcome, step): (String, Step), span: &Histogram<u64>) -> Row {
        let requests = self.requests.get(&outcome).copied().unwrap_or(0).max(1);
        Row {
            count: span.len(),
            per_request: span.len() as f64 / requests as f64,
            half_ms: span.value_at_quantile(0.5),
            most_ms: span.value_at_quantile(0.99),
            outcome,
            step,
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST_MS, 3).expect("the bounds are in order")
}

fn outcome(decision: &Decision) -> Option<&str> {
    match decision {
        Decision::Ended { outcome, .. } => Some(outcome),
        _ => None,
    }
}

/// The step between two lines. `None` where no time of the request passed.
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
    }
}

impl fmt::Display for Profile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (outcome, count) in &self.requests {
            writeln!(f, "{count} requests ended {outcome}")?;
        }
        let titles = ["outcome", "step", "count", "each", "half ms", "99 in 100 ms"];
        let [outcome, step, count, each, half, most] = titles;
        writeln!(f, "{outcome:<10} {step:<12} {count:>8} {each:>7} {half:>8} {most:>13}")?;
        for row in &self.rows {
            let step = format!("{:?}", row.step);
            let Row { outcome, count, per_request, half_ms, most_ms, .. } = row;
            writeln!(
                f,
                "{outcome:<10} {step:<12} {count:>8} {per_request:>7.2} {half_ms:>8} {most_ms:>13}"
            )?;
        }
        for (reason, count) in &self.denials {
            writeln!(f, "{count} times no place: {reason}")?;
        }
        Ok(())
    }
}
