//! Checks that requests that crash their runners are quarantined.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{is_undisturbed, Violation};
use crate::history::{History, Kind, Request};

/// Number of crashes after which a request is not sent to runners any more.
const QUARANTINE_CRASHES: usize = 3;
/// How long after its start such a request crashes its runner.
const CRASH_AFTER: Duration = Duration::from_millis(30);
/// Within what time every gateway must know of a crash.
const CRASH_NOTICE_BOUND: Duration = Duration::from_millis(3000);
/// How often such a request may reach runners after that.
const MAX_LATE_RUNS: usize = 3;

/// Once a request has crashed three runners and every gateway must know of it, only a few more attempts reach
/// runners, summed over all gateways without disruptions.
pub(super) fn check_quarantine(history: &History) -> Vec<Violation> {
    let mut runs: BTreeMap<u64, Vec<(Duration, &Request)>> = BTreeMap::new();
    for request in &history.requests {
        let Kind::Crash(number) = request.kind else {
            continue;
        };
        let of_request = history.runs.get(&request.id).into_iter().flatten();
        runs.entry(number).or_default().extend(of_request.map(|it| (it.at, request)));
    }
    let late = runs.into_iter().filter_map(|(number, mut runs)| {
        runs.sort_by_key(|it| it.0);
        // Each run crashes its runner.
        let known_from = runs.get(QUARANTINE_CRASHES - 1)?.0 + CRASH_AFTER + CRASH_NOTICE_BOUND;
        let is_late = |(at, request): &&(Duration, &Request)| {
            *at > known_from && request.sent > known_from && is_undisturbed(history, request)
        };
        let late = runs.iter().filter(is_late).count();
        (late > MAX_LATE_RUNS).then(|| Violation {
            guarantee: "a request that crashes its runners is not sent on",
            details: format!(
                "request {number}: {late} of {} runs later than {known_from:?}",
                runs.len()
            ),
        })
    });
    late.collect()
}
