//! Checks the guarantees of silverdock, based only on what callers and runners observed.

mod answers;
mod beside;
mod configuration;
mod limits;
mod lost;
mod parts;
mod placement;
mod quarantine;
mod runners;
mod versions;

use std::collections::BTreeMap;
use std::time::Duration;

use self::answers::{check_answer, check_beginning, check_refusals, check_runs};
use self::beside::{check_beside, check_flood_costs};
use self::configuration::{check_configuration, check_in_force};
use self::limits::check_limits;
use self::lost::check_lost;
pub use self::lost::is_close_race;
use self::parts::{check_parts, check_sound_requests};
use self::placement::{check_bound, check_evacuated, check_homes};
use self::quarantine::check_quarantine;
use self::runners::{check_cold, check_leave_notices, check_leaving, check_rest_periods};
use self::versions::check_versions;
use crate::history::{Disruption, History, Kind, Outcome, Request, Target};

/// Number of events in a complete stream of the stand-in's engines.
const STREAM_EVENTS: u64 = 12;
/// Within what time a configuration must be in force.
const CONFIGURATION_BOUND: Duration = Duration::from_millis(2000);
/// How long a process must have been without disruptions before time bounds are checked for it.
const UNDISTURBED_PERIOD: Duration = Duration::from_millis(3500);
/// Within what time after the last fault every gateway must serve again.
const RECOVERY_BOUND: Duration = Duration::from_millis(12_000);

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The guarantee.
    pub guarantee: &'static str,
    /// Description of what was observed.
    pub details: String,
}

/// Returns all violations of a run.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for request in &history.requests {
        let runs = history.runs.get(&request.id).map_or(&[][..], Vec::as_slice);
        violations.extend(check_answer(request));
        violations.extend(check_beginning(request));
        violations.extend(check_runs(request, runs));
        violations.extend(check_refusals(request, runs));
        violations.extend(check_lost(history, request, runs));
        violations.extend(check_leaving(history, request, runs));
        violations.extend(check_leave_notices(history, request, runs));
        violations.extend(check_versions(history, request, runs));
        violations.extend(check_in_force(history, request));
        violations.extend(check_bound(request, runs));
        violations.extend(check_homes(history, request, runs));
        violations.extend(check_evacuated(history, request, runs));
    }
    violations.extend(history.cold.iter().filter_map(|cold| check_cold(history, cold)));
    violations.extend(check_quarantine(history));
    violations.extend(check_parts(history));
    violations.extend(check_sound_requests(history));
    violations.extend(check_rest_periods(history));
    violations.extend(check_limits(history));
    violations.extend(check_configuration(history));
    violations.extend(check_beside(history));
    violations.extend(check_flood_costs(history));
    violations.extend(check_recovery(history));
    violations.extend(history.mixed_weights.iter().map(|runner| Violation {
        guarantee: "no runner takes partial or mixed weights",
        details: runner.clone(),
    }));
    violations.extend(history.ended_processes.iter().map(|process| Violation {
        guarantee: "a process ends only when it is told to, and without a failure",
        details: process.clone(),
    }));
    violations
}

/// Builds the violation of a guarantee by a request.
fn broken(guarantee: &'static str, request: &Request, detail: &str) -> Violation {
    let Request { id, kind, gateway, sent, outcome, .. } = request;
    let details = format!("{id} {kind:?} at {gateway:?}, sent {sent:?}: {outcome:?} {detail}");
    Violation { guarantee, details }
}

/// Returns the body of a complete answer to a request.
pub fn complete_body(kind: Kind, id: &str) -> String {
    if kind.is_stream() {
        return (1..=STREAM_EVENTS).map(|it| format!("id: {it}\ndata: {id}/{it}\n\n")).collect();
    }
    format!("ledger {id}")
}

/// Whether the gateway of a request and the store were without disruptions from `UNDISTURBED_PERIOD` before the
/// request until its end.
fn is_undisturbed(history: &History, request: &Request) -> bool {
    no_disruption(history, request, |target| {
        let store = [Target::Store, Target::SlowStore];
        target == Target::Gateway(request.gateway.0) || store.contains(&target)
    })
}

/// Whether the selected targets were without disruptions from `UNDISTURBED_PERIOD` before a request until its
/// end.
fn no_disruption(history: &History, request: &Request, selects: impl Fn(Target) -> bool) -> bool {
    let from = request.sent.saturating_sub(UNDISTURBED_PERIOD);
    let overlaps =
        |it: &&Disruption| selects(it.target) && it.from <= request.ended && it.until >= from;
    !history.disruptions.iter().any(|it| overlaps(&it))
}

/// Whether an unplanned disruption of the selected targets lasted at any time from `UNDISTURBED_PERIOD` before a request
/// until its end.
fn was_disrupted(history: &History, request: &Request, selects: impl Fn(Target) -> bool) -> bool {
    let from = request.sent.saturating_sub(UNDISTURBED_PERIOD);
    let overlaps = |it: &Disruption| it.from <= request.ended && it.until >= from;
    let mut unplanned = history.disruptions.iter().filter(|it| !it.planned);
    unplanned.any(|it| selects(it.target) && overlaps(it))
}

/// Every gateway serves plain requests and streams again soon after the last fault.
fn check_recovery(history: &History) -> Vec<Violation> {
    let from = history.faults_ended_at + RECOVERY_BOUND;
    let mut served: BTreeMap<(usize, &'static str), (u32, u32)> = BTreeMap::new();
    for request in history.requests.iter().filter(|it| it.sent >= from) {
        let request_kind = match request.kind {
            Kind::Stream | Kind::OnceStream => "streams",
            Kind::Safe | Kind::Unsafe | Kind::Bound => "plain requests",
            Kind::Probe(_) | Kind::Crash(_) | Kind::CrashPart(_) => continue,
            Kind::LongStream(_) | Kind::LongUnsafe(_) => continue,
        };
        let whole = matches!(request.outcome, Outcome::Answer { status: 200, whole: true, .. });
        let (complete, all) = served.entry((request.gateway.0, request_kind)).or_default();
        *complete += u32::from(whole);
        *all += 1;
    }
    let insufficient = served.into_iter().filter(|(_, (complete, all))| complete * 4 < *all);
    let violation = |((gateway, request_kind), (complete, all))| Violation {
        guarantee: "back in service soon after the last fault",
        details: format!("gateway {gateway}: {complete} of {all} {request_kind}"),
    };
    insufficient.map(violation).collect()
}
