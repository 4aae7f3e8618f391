//! A one-sentence summary of why a request ended as it did.

use errors::Code;

use crate::decision::{Decision, RequestLine};

/// Derives the cause from the log lines of a request.
pub(crate) fn cause(lines: &[RequestLine]) -> String {
    let ended = lines.iter().rev().find_map(|line| match &line.decision {
        Decision::Ended { outcome, code, runners, usable, evacuated, homes, .. } => Some((
            outcome.as_str(),
            *code,
            RunnerCounts { runners: *runners, usable: *usable, evacuated: *evacuated },
            homes,
        )),
        _ => None,
    });
    let Some((outcome, code, counts, homes)) = ended else {
        return unfinished_cause(lines);
    };
    match outcome {
        "refused" if code == Code::NoHome.number() => no_home_cause(homes, counts.runners),
        "whole" => "the caller received the whole response".into(),
        "left" => "the caller disconnected before the response was complete".into(),
        "refused" => refusal_cause(lines, code, counts),
        "failed" => format!("the runner's error response was relayed{}", last_failure(lines)),
        "unknown" => format!(
            "it was sent and no complete response arrived, so whether it ran is not known{}",
            last_failure(lines)
        ),
        "cut" => format!("the stream broke off and could not be resumed{}", last_failure(lines)),
        other => format!("it ended as {other}"),
    }
}

fn unfinished_cause(lines: &[RequestLine]) -> String {
    match lines.last() {
        None => "not known: the logs have no line about it".into(),
        Some(line) => format!("not known: the last line is from {}", line.instance),
    }
}

/// The cause of a refusal with `NoHome`: no runner in the home regions could run the request.
fn no_home_cause(homes: &[String], runners: u32) -> String {
    match homes {
        [] => "it did not run: its route and its workspace have no home region in common".into(),
        homes => format!(
            "it did not run: none of {runners} listed runners could run it in its homes {}",
            homes.join(" ")
        ),
    }
}

/// The number of runners of the service when the request ended.
#[derive(Clone, Copy)]
struct RunnerCounts {
    runners: u32,
    usable: u32,
    evacuated: u32,
}

fn refusal_cause(lines: &[RequestLine], code: u16, counts: RunnerCounts) -> String {
    let RunnerCounts { runners, usable, evacuated } = counts;
    let name = Code::from_number(code).map_or("", Code::meaning);
    if let Some(missing_route) = missing_route_cause(lines) {
        return missing_route;
    }
    let reasons = denial_reasons(lines);
    if !reasons.is_empty() {
        return format!("it did not run: no sidecar reserved a place ({reasons})");
    }
    if runners == 0 {
        return format!("it did not run: no runner of the service is listed. {name}");
    }
    if evacuated == runners {
        return format!("it did not run: each of {runners} listed runners is in an evacuated hall");
    }
    if usable == 0 && code == Code::Overloaded.number() {
        return format!(
            "it did not run: none of {runners} listed runners was eligible and had capacity"
        );
    }
    format!("it did not run. {name}{}", last_failure(lines))
}

/// The cause for a request without a route, with the age of the configuration.
fn missing_route_cause(lines: &[RequestLine]) -> Option<String> {
    lines.iter().find_map(|line| match &line.decision {
        Decision::Unrouted { configuration, age_ms } => {
            let age = age_ms.map_or("never".into(), |it| format!("{it} ms before"));
            Some(format!(
                "it did not run: configuration {configuration}, last confirmed by the store {age}, \
                 has no route for it or does not know its key"
            ))
        }
        _ => None,
    })
}

/// The distinct reasons why sidecars did not reserve a slot, separated by commas.
fn denial_reasons(lines: &[RequestLine]) -> String {
    let mut reasons: Vec<&str> = Vec::new();
    for line in lines {
        let reason = match &line.decision {
            Decision::Denied { reason, .. } => reason.as_str(),
            Decision::NoPlace { outcome, .. } if outcome == "silent" => "silent",
            _ => continue,
        };
        if !reasons.contains(&reason) {
            reasons.push(reason);
        }
    }
    reasons.join(", ")
}

fn last_failure(lines: &[RequestLine]) -> String {
    let failure = lines.iter().rev().find_map(|line| match &line.decision {
        Decision::Failed { runner, name, took_ms, .. } => {
            Some(format!(": {runner} ended with {name} after {took_ms} ms"))
        }
        _ => None,
    });
    failure.unwrap_or_default()
}
