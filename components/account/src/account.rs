//! A report on one request, assembled from the logs of several processes.

use std::fmt;

use serde::Serialize;

use crate::cause::cause;
use crate::decision::{Decision, RequestLine};

/// Information that is missing from an [`Account`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Gap {
    /// The logs contain no line about the request.
    Nothing,
    /// The line about the start of the request is missing.
    Start,
    /// The line about the end of the request is missing.
    End,
    /// A sidecar denied a reservation, and the line in which it gave the reason is missing.
    Sidecar,
    /// The number of lines that contain the id of the request but could not be parsed.
    Unreadable(usize),
}

/// All log lines about one request, in order of time, with a summary.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Account {
    /// The id of the request.
    pub request: String,
    /// The lines, oldest first.
    pub lines: Vec<RequestLine>,
    /// The information that the logs lack.
    pub gaps: Vec<Gap>,
    /// A one-sentence summary of why the request ended as it did.
    pub cause: String,
}

impl Account {
    /// Builds the report from the texts of log files, whose lines may be in any order.
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
        // The end of the request sorts after other lines with the same time.
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
            writeln!(f, "  {after:>6} ms  {:<20} {}", line.instance, describe(&line.decision))?;
        }
        for gap in &self.gaps {
            writeln!(f, "  missing: {}", describe_gap(gap))?;
        }
        writeln!(f, "cause: {}", self.cause)
    }
}

fn describe_gap(gap: &Gap) -> String {
    match gap {
        Gap::Nothing => {
            "no line about this request; only a sample of the successful requests is logged".into()
        }
        Gap::Start => "the line about its arrival".into(),
        Gap::End => {
            "the line about its end: the process exited first, or its log was not given".into()
        }
        Gap::Sidecar => "the sidecar's line with the reason for the denied reservation".into(),
        Gap::Unreadable(count) => format!("{count} lines that could not be parsed"),
    }
}

/// The home regions as a suffix for a line; empty if there are none.
fn homes_suffix(homes: &[String]) -> String {
    match homes {
        [] => String::new(),
        homes => format!(", homes {}", homes.join(" ")),
    }
}

fn describe(decision: &Decision) -> String {
    match decision {
        Decision::Routed { route, service, configuration, kind, held_ms, digest, parts } => {
            let parts = if parts.is_empty() {
                String::new()
            } else {
                format!(", parts {}", parts.join(" "))
            };
            format!(
                "route {route} ({kind}) to {service}, configuration {configuration}, held for {held_ms} ms at \
                 most, digest {digest}{parts}"
            )
        }
        Decision::Unrouted { configuration, age_ms } => {
            let age = age_ms.map_or("never".into(), |age| format!("{age} ms ago"));
            format!("no route or key in configuration {configuration}, confirmed {age}")
        }
        Decision::Chosen {
            runner,
            attempt,
            occupancy,
            report_age_ms,
            candidates,
            homes,
            left_ms,
        } => {
            let age =
                report_age_ms.map_or("no report".into(), |age| format!("report {age} ms old"));
            let homes = homes_suffix(homes);
            let left = time_left_suffix(*left_ms);
            format!(
                "attempt {attempt}: {runner} of {candidates}{homes}, {occupancy} requests there, {age}{left}"
            )
        }
        Decision::NoPlace { runner, outcome } => format!("no reservation at {runner}: {outcome}"),
        Decision::Denied { reason, taken, slots, version } => {
            format!("denies the reservation: {reason}, {taken} of {slots} slots taken, version {version}")
        }
        Decision::Failed { runner, code, name, not_run, took_ms, answering_ms } => {
            let ran = if *not_run { "not run" } else { "may have run" };
            let answering =
                answering_ms.map_or(String::new(), |ms| format!(", {ms} ms into its response"));
            format!("{runner} failed after {took_ms} ms{answering}: {code} {name}, {ran}")
        }
        Decision::Told { runner, leaving, rest_ms, limit_per_s } => {
            let leaves = if *leaving { " is leaving;" } else { "" };
            let rest = rest_ms.map_or(String::new(), |ms| format!(" no requests for {ms} ms;"));
            let limit = limit_per_s
                .map_or(String::new(), |rate| format!(" at most {rate} requests per second;"));
            format!("notice from {runner}:{leaves}{rest}{limit}")
        }
        Decision::Answered { runner, status, after_ms, ends_with_connection } => {
            let end = if *ends_with_connection { ", ends with its connection" } else { "" };
            format!("{runner} responds with {status} after {after_ms} ms{end}")
        }
        Decision::Silent { runner, silent_ms, begun } => {
            let place = if *begun { "in its response" } else { "before its response" };
            format!("{runner} has been silent for {silent_ms} ms {place}, its connection is open")
        }
        Decision::Continued { runner, after_ms } => {
            format!("{runner} goes on after {after_ms} ms")
        }
        Decision::BrokeOff { runner, end, ends_with_connection, events, last_id } => {
            let framing =
                if *ends_with_connection { "its connection" } else { "a length or chunks" };
            let last = last_id.map_or(String::new(), |id| format!(", the last with id {id}"));
            format!("the stream of {runner}, framed by {framing}, ends after {events} events{last}: {end}")
        }
        Decision::Resumed { after_event } => format!("resumes after event {after_event:?}"),
        Decision::Ended {
            outcome,
            code,
            name,
            status,
            retry_after_ms,
            runners,
            usable,
            homes,
            evacuated,
        } => {
            let code = if *code == 0 { String::new() } else { format!(", {code} {name}") };
            let back = retry_after_ms.map_or(String::new(), |ms| format!(", retry after {ms} ms"));
            let left = match evacuated {
                0 => String::new(),
                evacuated => format!(", {evacuated} in evacuated halls"),
            };
            let standing = match outcome.as_str() {
                "refused" => {
                    format!("; {usable} of {runners} runners usable{left}{}", homes_suffix(homes))
                }
                _ => String::new(),
            };
            format!("ends {outcome} with {status}{code}{back}{standing}")
        }
    }
}

/// The time left to the latency target as a suffix for a line; empty if the line does not contain it.
fn time_left_suffix(left_ms: Option<u64>) -> String {
    match left_ms {
        None => String::new(),
        Some(0) => ", a later try by its deadline: queued behind first tries".into(),
        Some(left) => format!(", {left} ms left to its latency target"),
    }
}
