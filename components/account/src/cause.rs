//! What happened to a request, in a sentence.

use errors::Code;

use crate::decision::{Decision, RequestLine};

/// The cause, as far as the lines tell it.
pub(crate) fn cause(lines: &[RequestLine]) -> String {
    let ended = lines.iter().rev().find_map(|line| match &line.decision {
        Decision::Ended { outcome, code, runners, usable, evacuated, homes, .. } => Some((
            outcome.as_str(),
            *code,
            Standing { runners: *runners, usable: *usable, evacuated: *evacuated },
            homes,
        )),
        _ => None,
    });
    let Some((outcome, code, standing, homes)) = ended else {
        return unfinished(lines);
    };
    match outcome {
        "refused" if code == Code::NoHome.number() => homeless(homes, standing.runners),
        "whole" => "the caller got the whole answer".into(),
        "left" => "the caller left before the answer was whole".into(),
        "refused" => refused(lines, code, standing),
        "failed" => format!("the runner's own failure was handed on{}", last_failure(lines)),
        "unknown" => format!(
            "it was sent and no whole answer came, so whether it ran is not known{}",
            last_failure(lines)
        ),
        "cut" => format!("the stream broke off and could not go on{}", last_failure(lines)),
        other => format!("it ended as {other}"),
    }
}

fn unfinished(lines: &[RequestLine]) -> String {
    match lines.last() {
        None => "not known: no line speaks of it".into(),
        Some(line) => format!("not known: the last word is that of {}", line.instance),
    }
}

/// Why no runner in a request's homes could run it.
fn homeless(homes: &[String], runners: u32) -> String {
    match homes {
        [] => "it did not run: its route and its workspace have no home region in common".into(),
        homes => format!(
            "it did not run: none of {runners} listed runners could run it in its homes {}",
            homes.join(" ")
        ),
    }
}

/// The runners of the service as a request that ended found them.
#[derive(Clone, Copy)]
struct Standing {
    runners: u32,
    usable: u32,
    evacuated: u32,
}

fn refused(lines: &[RequestLine], code: u16, standing: Standing) -> String {
    let Standing { runners, usable, evacuated } = standing;
    let name = Code::from_number(code).map_or("", Code::meaning);
    if let Some(unrouted) = unrouted(lines) {
        return unrouted;
    }
    let reasons = denials(lines);
    if !reasons.is_empty() {
        return format!("it did not run: sidecars gave no place ({reasons})");
    }
    if runners == 0 {
        return format!("it did not run: no runner of the service is listed. {name}");
    }
    if evacuated == runners {
        return format!("it did not run: each of {runners} listed runners is in an evacuated hall");
    }
    if usable == 0 && code == Code::Overloaded.number() {
        return format!("it did not run: none of {runners} listed runners was fit or had room");
    }
    format!("it did not run. {name}{}", last_failure(lines))
}

/// What the configuration lacked, and how old it was.
fn unrouted(lines: &[RequestLine]) -> Option<String> {
    lines.iter().find_map(|line| match &line.decision {
        Decision::Unrouted { configuration, age_ms } => {
            let age = age_ms.map_or("never".into(), |it| format!("{it} ms before"));
            Some(format!(
                "it did not run: configuration {configuration}, last confirmed by the store {age}, \
                 lacks its route or key"
            ))
        }
        _ => None,
    })
}

/// Why sidecars gave no place, each reason once.
fn denials(lines: &[RequestLine]) -> String {
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
