//! The account of one request.

use std::fmt;

use serde::Serialize;

use crate::cause::cause;
use crate::decision::{Decision, RequestLine};

/// What an account lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Gap {
    /// No line speaks of the request.
    Nothing,
    /// The line of its arrival is missing.
    Start,
    /// The line of its end is missing.
    End,
    /// A sidecar gave no place, and its own line is missing.
    Sidecar,
    /// So many lines of the logs could not be read.
    Unreadable(usize),
}

/// Everything that some logs say of one request, oldest first.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Account {
    /// The request.
    pub request: String,
    /// The lines.
    pub lines: Vec<RequestLine>,
    /// What is missing.
    pub gaps: Vec<Gap>,
    /// What happened, in a sentence.
    pub cause: String,
}

impl Account {
    /// Puts together what some logs say of a request. The lines may come in any order.
    pub fn of<'a>(request: &str, logs: impl IntoIterator<Item = &'a str>) -> Self {
        let mut lines = Vec::new();
        let mut unreadable = 0;
        for text in logs.into_iter().flat_map(str::lines) {
            if !text.contains(request) {
                continue;
            }
            match serde_json::from_str::<RequestLine>(text) {
                Ok(line) if line.request == request => lines.push(line),
                Ok(_) => {}
                Err(_) => unreadable += 1,
            }
        }
        // Of one moment, the end comes last.
        lines.sort_by_key(|line| (line.ts_ms, is_end(&line.decision)));
        lines.dedup();
        let gaps = gaps(&lines, unreadable);
        let cause = cause(&lines);
        Self { request: request.to_owned(), lines, gaps, cause }
    }
}

fn is_end(decision: &Decision) -> bool {
    matches!(decision, Decision::Ended { .. })
}

fn gaps(lines: &[RequestLine], unreadable: usize) -> Vec<Gap> {
    let mut gaps = Vec::new();
    let any = |check: fn(&Decision) -> bool| lines.iter().any(|line| check(&line.decision));
    if lines.is_empty() {
        gaps.push(Gap::Nothing);
    } else {
        if !any(|it| matches!(it, Decision::Routed { .. } | Decision::Ended { .. })) {
            gaps.push(Gap::Start);
        }
        if !any(is_end) {
            gaps.push(Gap::End);
        }
    }
    let denied = any(|it| matches!(it, Decision::NoPlace { outcome, .. } if outcome == "denied"));
    if denied && !any(|it| matches!(it, Decision::Denied { .. })) {
        gaps.push(Gap::Sidecar);
    }
    if unreadable > 0 {
        gaps.push(Gap::Unreadable(unreadable));
    }
    gaps
}

impl fmt::Display for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.request)?;
        let start = self.lines.first().map_or(0, |line| line.ts_ms);
        for line in &self.lines {
            let after = line.ts_ms - start;
            writeln!(f, "  {after:>6} ms  {:<20} {}", line.instance, words(&line.decision))?;
        }
        for gap in &self.gaps {
            writeln!(f, "  missing: {}", missing(gap))?;
        }
        writeln!(f, "cause: {}", self.cause)
    }
}

fn missing(gap: &Gap) -> String {
    match gap {
        Gap::Nothing => "no line speaks of this request; successes are sampled".into(),
        Gap::Start => "the line of its arrival".into(),
        Gap::End => "the line of its end: the process ended first, or its log is not here".into(),
        Gap::Sidecar => "the sidecar's line on the place that it did not give".into(),
        Gap::Unreadable(count) => format!("{count} lines that could not be read"),
    }
}

/// The homes of a request that is bound.
fn bound(homes: &[String]) -> String {
    match homes {
        [] => String::new(),
        homes => format!(", homes {}", homes.join(" ")),
    }
}

fn words(decision: &Decision) -> String {
    match decision {
        Decision::Routed { route, service, configuration, kind, held_ms, digest } => format!(
            "route {route} ({kind}) to {service}, configuration {configuration}, held {held_ms} ms at most, \
             digest {digest}"
        ),
        Decision::Unrouted { configuration, age_ms } => {
            let age = age_ms.map_or("never".into(), |age| format!("{age} ms ago"));
            format!("no route or key in configuration {configuration}, confirmed {age}")
        }
        Decision::Chosen {
            runner, attempt, occupancy, report_age_ms, candidates, homes, left_ms
        } => {
            let age = report_age_ms.map_or("no report".into(), |age| format!("report {age} ms old"));
            let homes = bound(homes);
            let left = left_of_aim(*left_ms);
            format!(
                "attempt {attempt}: {runner} of {candidates}{homes}, {occupancy} requests there, {age}{left}"
            )
        }
        Decision::NoPlace { runner, outcome } => format!("no place at {runner}: {outcome}"),
        Decision::Denied { reason, taken, slots, version } => {
            format!("gives no place: {reason}, {taken} of {slots} taken, version {version}")
        }
        Decision::Failed { runner, code, name, not_run, took_ms } => {
            let ran = if *not_run { "not run" } else { "may have run" };
            format!("{runner} failed after {took_ms} ms: {code} {name}, {ran}")
        }
        Decision::Told { runner, leaving, rest_ms, limit_per_s } => {
            let leaves = if *leaving { " leaves" } else { "" };
            let rest = rest_ms.map_or(String::new(), |ms| format!(" wants nothing for {ms} ms"));
            let limit =
                limit_per_s.map_or(String::new(), |rate| format!(" takes {rate} requests a second"));
            format!("{runner} says that it{leaves}{rest}{limit}")
        }
        Decision::Answered { runner, status, after_ms } => {
            format!("{runner} answers {status} after {after_ms} ms")
        }
        Decision::Resumed { after_event } => format!("goes on behind event {after_event:?}"),
        Decision::Ended {
            outcome, code, name, status, retry_after_ms, runners, usable, homes, evacuated
        } => {
            let code = if *code == 0 { String::new() } else { format!(", {code} {name}") };
            let back = retry_after_ms.map_or(String::new(), |ms| format!(", back in {ms} ms"));
            let left = match evacuated {
                0 => String::new(),
                evacuated => format!(", {evacuated} in evacuated halls"),
            };
            let standing = match outcome.as_str() {
                "refused" => format!("; {usable} of {runners} runners usable{left}{}", bound(homes)),
                _ => String::new(),
            };
            format!("ends {outcome} with {status}{code}{back}{standing}")
        }
    }
}

/// What was left of a request's aim, in words. Nothing where the line does not say.
fn left_of_aim(left_ms: Option<u64>) -> String {
    match left_ms {
        None => String::new(),
        Some(0) => ", a later try by its deadline: stands behind first ones".into(),
        Some(left) => format!(", {left} ms of its aim left"),
    }
}
