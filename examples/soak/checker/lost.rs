//! Checks that every request ends with an answer or a refusal, whatever planned work is under way.

use std::time::Duration;

use super::{broken, was_disrupted, Violation, UNDISTURBED_PERIOD};
use crate::history::{Ending, History, Kind, Outcome, Request, Run, Stop, Target};

/// Within what time after it was sent a request may cross the regular close of its connection.
const CLOSE_RACE_PERIOD: Duration = Duration::from_millis(200);
/// How long a gateway may take to end after it has been asked to stop.
const GRACE_PERIOD: Duration = Duration::from_millis(8000);
/// How long after it has been asked to stop a gateway may take on streams that it can't finish.
const LATE_STREAM_PERIOD: Duration = Duration::from_millis(3000);
/// The unit of deadlines and timeouts.
const DEADLINE_UNIT: Duration = Duration::from_millis(1);
/// Least timeouts of routes in any configuration of a run.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(4000);
const LONG_ROUTE_TIMEOUT: Duration = Duration::from_millis(9000);

/// Planned work ends no request without an answer or a refusal: stops of gateways and sidecars, reloads and changed
/// settings, configurations, versions, evacuations, homes, and runners that leave as announced or fall silent. Only
/// an unplanned disruption of the gateway, or of a runner that the request may have used, excuses that.
pub(super) fn check_lost(history: &History, request: &Request, runs: &[Run]) -> Option<Violation> {
    let lost = match &request.outcome {
        Outcome::NoConnection => false,
        Outcome::Lost => !is_close_race(history, request, runs),
        Outcome::Answer { whole: true, .. } => false,
        Outcome::Answer { whole: false, .. } => {
            !has_reached_deadline(request) && !outlasts_grace_period(history, request, runs)
        }
    };
    let excused = runs.iter().any(|it| it.broken_off)
        || was_disrupted(history, request, |target| may_have_used(history, request, target));
    if !lost || excused {
        return None;
    }
    let detail = format!(
        "{:?}, ended {:?}, deadline {:?}, {} received, on a kept connection: {}, {runs:?}; planned work: {}",
        request.ending,
        request.ended,
        request.deadline,
        if request.received { "bytes" } else { "nothing" },
        request.on_kept_connection,
        planned_work(history, request),
    );
    Some(broken("planned work ends no request without an answer", request, &detail))
}

/// Whether a request crossed the regular close of its connection: its gateway was stopping, the caller saw the close soon
/// after it had sent the request, nothing arrived on the connection, and no runner started the request. Gateways close
/// connections for no other reason, since callers never leave one idle for long.
pub fn is_close_race(history: &History, request: &Request, runs: &[Run]) -> bool {
    let is_stopping = history.stops.iter().any(|it| {
        it.gateway == request.gateway.0
            && it.at <= request.ended
            && request.sent <= it.at + GRACE_PERIOD
    });
    let is_closed = matches!(request.ending, Ending::Closed | Ending::Reset);
    let is_soon = request.ended - request.sent <= CLOSE_RACE_PERIOD;
    request.outcome == Outcome::Lost
        && is_stopping
        && is_closed
        && is_soon
        && !request.received
        && runs.is_empty()
}

/// Whether a gateway closed the connection because the deadline of the request or the timeout of its route had passed.
fn has_reached_deadline(request: &Request) -> bool {
    let route_timeout = match request.kind {
        Kind::LongStream(_) | Kind::LongUnsafe(_) => LONG_ROUTE_TIMEOUT,
        _ => ROUTE_TIMEOUT,
    };
    let limit = request.deadline.min(route_timeout);
    let held = request.ended - request.sent + DEADLINE_UNIT;
    request.ending != Ending::TimedOut && held >= limit
}

/// Whether the runner of a stream was still at work when its gateway had to end.
fn outlasts_grace_period(history: &History, request: &Request, runs: &[Run]) -> bool {
    let outlasts = |stop: &Stop| {
        let last_part = stop.at + GRACE_PERIOD * 5 / 6;
        let at_work = runs.iter().any(|it| it.ended.is_none_or(|ended| ended >= last_part));
        stop.gateway == request.gateway.0
            && request.sent <= stop.at + LATE_STREAM_PERIOD
            && request.ended >= last_part
            && at_work
    };
    request.kind.is_stream() && history.stops.iter().any(outlasts)
}

/// Whether a request may have used a target: its gateway, or a runner of its service.
fn may_have_used(history: &History, request: &Request, target: Target) -> bool {
    match target {
        Target::Gateway(gateway) => gateway == request.gateway.0,
        Target::Runner(runner) => (runner < history.model_runners) == request.kind.is_stream(),
        Target::Store | Target::SlowStore => false,
    }
}

/// Describes the planned work shortly before a request and during it.
fn planned_work(history: &History, request: &Request) -> String {
    let from = request.sent.saturating_sub(UNDISTURBED_PERIOD);
    let during = history.planned_work.iter().filter(|it| it.at >= from && it.at <= request.ended);
    let texts: Vec<String> = during.map(|it| format!("{} at {:?}", it.what, it.at)).collect();
    texts.join(", ")
}
