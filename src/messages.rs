//! What a person reads, and the same as JSON for scripts.

use std::fmt::Write;
use std::process::ExitCode;

use errors::{Code, Error};
use fleet::{Plan, RolloutStatus, Status, Step};
use serde::Serialize;

/// The exit code when the arguments or a settings file cannot be used.
const USAGE_EXIT: u8 = 2;
/// The width of a progress bar, in characters.
const BAR_WIDTH: usize = 40;

/// Prints a value as JSON or in words.
pub fn show<T: Serialize>(json: bool, value: &T, words: impl Fn(&T) -> String) {
    if json {
        line(value);
    } else {
        println!("{}", words(value).trim_end());
    }
}

/// Prints a value as one line of JSON.
pub fn line<T: Serialize>(value: &T) {
    match serde_json::to_string(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("{error}"),
    }
}

/// An error as JSON.
#[derive(Serialize)]
struct Failure<'a> {
    code: u16,
    name: &'a str,
    message: &'a str,
}

/// Reports an error and gives the exit code that goes with it.
pub fn report(error: &Error, json: bool) -> ExitCode {
    let code = error.code;
    if json {
        let failure =
            Failure { code: code.number(), name: code.name(), message: error.detail.trim_end() };
        line(&failure);
    } else {
        eprintln!("{}", error.to_string().trim_end());
    }
    if code == Code::OutcomeUnknown && !json {
        eprintln!("confirm the same plan again: it is accepted once, however often it is sent");
    }
    match code {
        Code::BadSettings => ExitCode::from(USAGE_EXIT),
        _ => ExitCode::FAILURE,
    }
}

/// A plan in words.
pub fn plan(plan: &Plan) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "plan {} on revision {}", plan.id, plan.base);
    for overridden in &plan.overrides {
        let _ = writeln!(text, "  overrides {overridden}");
    }
    for step in &plan.steps {
        let _ = writeln!(text, "  {}", describe(step));
    }
    let _ = writeln!(
        text,
        "live in about {:.1} s, at most {} bytes from the origin",
        plan.live_seconds, plan.origin_bytes
    );
    let _ = writeln!(text, "to put it in force: silverdock confirm {}", plan.id);
    text
}

fn describe(step: &Step) -> String {
    match step {
        Step::Place { instance, hall, version, role, source, reason } => format!(
            "place    {instance} ({hall}): {} as {}, from {}; {reason}",
            version.short(),
            format!("{role:?}").to_lowercase(),
            format!("{source:?}").to_lowercase()
        ),
        Step::Withdraw { instance, model, reason } => {
            format!("withdraw {model} from {instance}; {reason}")
        }
        Step::Drain { instance } => format!("drain    {instance}"),
        Step::Resume { instance } => format!("resume   {instance}"),
    }
}

/// The fleet in words.
pub fn status(status: &Status) -> String {
    let mut text = String::new();
    let current = if status.current { "current" } else { "perhaps behind" };
    let _ = writeln!(text, "{} at revision {} ({current})", status.instance, status.revision);
    for it in &status.deployments {
        let version = &it.version[..8];
        let _ = writeln!(
            text,
            "model {} {} {version}: {} of {} live",
            it.model, it.label, it.live, it.wanted
        );
    }
    for instance in &status.leaving {
        let _ = writeln!(text, "leaving {instance}");
    }
    for it in &status.members {
        let serving = it.serving.join(" ");
        let _ = writeln!(text, "{:<16} {:<10} {:<8} {serving}", it.instance.0, it.hall.0, it.state);
    }
    text
}

/// A rollout as a bar.
pub fn bar(status: &RolloutStatus) -> String {
    let wanted = status.wanted.max(1);
    let waiting = (wanted - status.live.min(wanted)) as f64;
    let share = (status.live as f64 + waiting * status.staged) / wanted as f64;
    let filled = ((share * BAR_WIDTH as f64) as usize).min(BAR_WIDTH);
    format!(
        "{} {} [{}{}] {} of {} live",
        status.model,
        status.label,
        "#".repeat(filled),
        ".".repeat(BAR_WIDTH - filled),
        status.live,
        status.wanted
    )
}

#[cfg(test)]
mod tests;
