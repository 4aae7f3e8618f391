//! Checks what callers receive: answers to their own requests, complete or broken off, and refusals that are true.

use super::{broken, complete_body, Violation};
use crate::history::{Ending, Outcome, Request, Run};

/// Workspace to which the callers' key belongs.
const WORKSPACE: &str = "t1";
/// The end of a line and an empty line, as events of a stream end.
const EMPTY_LINES: [&str; 3] = ["\n\n", "\n\r\n", "\r\r"];

/// A complete answer belongs to this request.
pub(super) fn check_answer(request: &Request) -> Option<Violation> {
    let Outcome::Answer { status: 200, whole: true, body } = &request.outcome else {
        return None;
    };
    let correct = body == &complete_body(request.kind, &request.id);
    (!correct).then(|| broken("a whole answer is the caller's own", request, ""))
}

/// What arrived of an answer that was broken off is the beginning of the caller's own: all complete events of a stream,
/// or all bytes of a plain answer.
pub(super) fn check_beginning(request: &Request) -> Option<Violation> {
    let Outcome::Answer { status: 200, whole: false, body } = &request.outcome else {
        return None;
    };
    if request.ending == Ending::TooLong {
        return Some(broken("an answer is no longer than its runner's", request, ""));
    }
    let received = if request.kind.is_stream() { complete_events(body) } else { body };
    let correct = complete_body(request.kind, &request.id).starts_with(received);
    (!correct).then(|| broken("a broken answer begins as the caller's own", request, ""))
}

/// Returns a stream up to its last empty line, which ends an event.
fn complete_events(stream: &str) -> &str {
    let ends = EMPTY_LINES.iter().filter_map(|it| stream.rfind(it).map(|at| at + it.len()));
    &stream[..ends.max().unwrap_or(0)]
}

/// Requests run at the service of their route, only once if they may not be repeated, and without the key of
/// their caller.
pub(super) fn check_runs(request: &Request, runs: &[Run]) -> Option<Violation> {
    if request.kind.is_unsafe() && runs.len() > 1 {
        return Some(broken("runs at most once", request, &format!("{runs:?}")));
    }
    let service = if request.kind.is_stream() { "assistant" } else { "ledger" };
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
    let ran = request.kind.is_unsafe() && !runs.is_empty();
    ran.then(|| broken("what is refused did not run", request, &format!("{runs:?}")))
}
