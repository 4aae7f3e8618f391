//! Checks what callers receive: complete answers to their own requests, and refusals that are true.

use std::time::Duration;

use super::{broken, complete_body, no_disruption, Violation};
use crate::history::{History, Kind, Outcome, Request, Run, Target};

/// Workspace to which the callers' key belongs.
const WORKSPACE: &str = "t1";
/// A request without a run that is lost within this time may have crossed the regular close of its connection;
/// it does not count as cut off.
const CLOSE_RACE_PERIOD: Duration = Duration::from_millis(200);
/// How long a gateway continues requests after it has been asked to stop.
const STOP_PERIOD: Duration = Duration::from_millis(8000);

/// A complete answer belongs to this request.
pub(super) fn check_answer(request: &Request) -> Option<Violation> {
    let Outcome::Answer { status: 200, whole: true, body } = &request.outcome else {
        return None;
    };
    let correct = body == &complete_body(request.kind, &request.id);
    (!correct).then(|| broken("a whole answer is the caller's own", request, ""))
}

/// Requests run at the service of their route, only once if they may not be repeated, and without the key of
/// their caller.
pub(super) fn check_runs(request: &Request, runs: &[Run]) -> Option<Violation> {
    if request.kind == Kind::Unsafe && runs.len() > 1 {
        return Some(broken("runs at most once", request, &format!("{runs:?}")));
    }
    let is_stream = matches!(request.kind, Kind::Stream | Kind::Crash(_));
    let service = if is_stream { "assistant" } else { "ledger" };
    for run in runs {
        if run.service != service {
            return Some(broken("runs where its route says", request, &run.service));
        }
        if run.saw_key || run.tenant.as_deref() != Some(WORKSPACE) {
            return Some(broken("the key stays, the workspace is named", request, ""));
        }
    }
    None
}

/// A request that may run only once and was refused did not run.
pub(super) fn check_refusals(request: &Request, runs: &[Run]) -> Option<Violation> {
    let Outcome::Answer { status: 408 | 421 | 429 | 503, .. } = request.outcome else {
        return None;
    };
    let ran = request.kind == Kind::Unsafe && !runs.is_empty();
    ran.then(|| broken("what is refused did not run", request, &format!("{runs:?}")))
}

/// A planned stop of a gateway cuts off no request in progress.
pub(super) fn check_planned_stop(
    history: &History,
    request: &Request,
    runs: &[Run],
) -> Option<Violation> {
    let cut_off = match &request.outcome {
        Outcome::Lost => !runs.is_empty() || request.ended - request.sent > CLOSE_RACE_PERIOD,
        Outcome::Answer { whole, .. } => !whole,
        Outcome::NoConnection => false,
    };
    let gateway = request.gateway.0;
    let stopping = history.stops.iter().any(|it| {
        it.gateway == gateway && request.ended >= it.at && request.sent < it.at + STOP_PERIOD
    });
    let undisturbed = no_disruption(history, request, |target| {
        matches!(target, Target::Runner(_)) || target == Target::Gateway(gateway)
    });
    let violated = cut_off && stopping && undisturbed;
    violated.then(|| broken("a planned stop cuts nothing", request, &format!("{runs:?}")))
}
