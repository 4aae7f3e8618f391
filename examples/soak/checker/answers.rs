//! Checks what callers receive: complete answers to their own requests, and refusals that are true.

use super::{broken, complete_body, Violation};
use crate::history::{Outcome, Request, Run};

/// Workspace to which the callers' key belongs.
const WORKSPACE: &str = "t1";

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
