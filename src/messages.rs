//! Output of the client, as text for people and as JSON for scripts.

use std::fmt::Write;
use std::process::ExitCode;

use errors::{Code, Error};
use fleet::{Plan, RolloutStatus, Status, Step};
use serde::Serialize;

/// The exit code for invalid arguments or an invalid settings file.
const USAGE_EXIT: u8 = 2;
/// The width of a progress bar, in characters.
const BAR_WIDTH: usize = 40;

/// Prints a value as JSON or as formatted text.
pub fn print_value<T: Serialize>(json: bool, value: &T, format_text: impl Fn(&T) -> String) {
    if json {
        print_json_line(value);
    } else {
        println!("{}", format_text(value).trim_end());
    }
}

/// Prints a value as one line of JSON.
pub fn print_json_line<T: Serialize>(value: &T) {
    match serde_json::to_string(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("{error}"),
    }
}

/// The JSON output for an error.
#[derive(Serialize)]
struct Failure<'a> {
    code: u16,
    name: &'a str,
    message: &'a str,
}

/// Prints an error and returns the exit code for it.
pub fn report_error(error: &Error, json: bool) -> ExitCode {
    let code = error.code;
    if json {
        let failure =
            Failure { code: code.number(), name: code.name(), message: error.detail.trim_end() };
        print_json_line(&failure);
    } else {
        eprintln!("{}", error.to_string().trim_end());
    }
    if code == Code::OutcomeUnknown && !json {
        eprintln!("confirm the same plan again: repeated confirmations take effect only once");
    }
    match code {
        Code::BadSettings => ExitCode::from(USAGE_EXIT),
        _ => ExitCode::FAILURE,
    }
}

/// Formats a plan as text.
pub fn format_plan(plan: &Plan) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "plan {} on revision {}", plan.id, plan.base);
    for overridden in &plan.overrides {
        let _ = writeln!(text, "  overrides {overridden}");
    }
    for step in &plan.steps {
        let _ = writeln!(text, "  {}", format_step(step));
    }
    let _ = writeln!(
        text,
        "live in about {:.1} s, at most {} bytes from the origin",
        plan.live_seconds, plan.origin_bytes
    );
    let _ = writeln!(text, "to put it in force: silverdock confirm {}", plan.id);
    text
}

fn format_step(step: &Step) -> String {
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

/// Formats the state of the fleet as text.
pub fn format_status(status: &Status) -> String {
    let mut text = String::new();
    let current = if status.current { "current" } else { "may be out of date" };
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

/// Formats the progress of a rollout as a bar.
pub fn format_progress_bar(status: &RolloutStatus) -> String {
    let wanted = status.wanted.max(1);
    let not_live = (wanted - status.live.min(wanted)) as f64;
    let progress = (status.live as f64 + not_live * status.staged) / wanted as f64;
    let filled = ((progress * BAR_WIDTH as f64) as usize).min(BAR_WIDTH);
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
