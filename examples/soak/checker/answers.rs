//! What callers get: whole answers of their own, and refusals that hold.

use std::time::Duration;

use super::{broken, is_calm, whole_body, Violation};
use crate::history::{History, Kind, Request, Run, Seen, Target};

/// The workspace that holds the callers' key.
const TENANT: &str = "t1";
/// How long a request may be under way when its connection is closed between two requests.
const CROSSING: Duration = Duration::from_millis(200);
/// How long a gateway goes on after it was told to stop.
const GRACE: Duration = Duration::from_millis(8000);

/// A whole answer is the one to this request.
pub(super) fn check_answer(request: &Request) -> Option<Violation> {
    let Seen::Answer { status: 200, whole: true, body } = &request.seen else {
        return None;
    };
    let right = body == &whole_body(request.kind, &request.id);
    (!right).then(|| broken("a whole answer is the caller's own", request, ""))
}

/// Requests run where their route says, once where more than once is not safe, and without the key of their caller.
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
        if run.saw_key || run.tenant.as_deref() != Some(TENANT) {
            return Some(broken("the key stays, the workspace is named", request, ""));
        }
    }
    None
}

/// What may run once only and was refused did not run.
pub(super) fn check_promise_of_refusal(request: &Request, runs: &[Run]) -> Option<Violation> {
    let Seen::Answer { status: 408 | 421 | 429 | 503, .. } = request.seen else {
        return None;
    };
    let ran = request.kind == Kind::Unsafe && !runs.is_empty();
    ran.then(|| broken("what is refused did not run", request, &format!("{runs:?}")))
}

/// A gateway that is told to stop cuts nothing that is under way.
pub(super) fn check_planned_stop(
    history: &History,
    request: &Request,
    runs: &[Run],
) -> Option<Violation> {
    let cut = match &request.seen {
        Seen::Lost => !runs.is_empty() || request.ended - request.sent > CROSSING,
        Seen::Answer { whole, .. } => !whole,
        Seen::NoConnection => false,
    };
    let gateway = request.gateway.0;
    let stopping = history
        .stops
        .iter()
        .any(|it| it.gateway == gateway && request.ended >= it.at && request.sent < it.at + GRACE);
    let untouched = is_calm(history, request, |target| {
        matches!(target, Target::Runner(_)) || target == Target::Gateway(gateway)
    });
    let broke = cut && stopping && untouched;
    broke.then(|| broken("a planned stop cuts nothing", request, &format!("{runs:?}")))
}
