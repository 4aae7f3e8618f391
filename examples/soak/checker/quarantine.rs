//! What becomes of requests that crash their runners.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{is_in_touch, Violation};
use crate::history::{History, Kind, Request};

/// The crashes after which a request is not sent on.
const QUARANTINE_AT: usize = 3;
/// How long after it began such a request ends its runner.
const CRASH_AFTER: Duration = Duration::from_millis(30);
/// Within what time every gateway knows of a crash.
const CONTACT: Duration = Duration::from_millis(3000);
/// How often such a request may reach runners after that.
const MOST_RETRIES: usize = 3;

/// Once a request has crashed three runners and every gateway must have heard of that, it reaches few more, of all
/// gateways that were left alone together.
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
        // Each run ends its runner.
        let known = runs.get(QUARANTINE_AT - 1)?.0 + CRASH_AFTER + CONTACT;
        let is_late = |(at, request): &&(Duration, &Request)| {
            *at > known && request.sent > known && is_in_touch(history, request)
        };
        let late = runs.iter().filter(is_late).count();
        (late > MOST_RETRIES).then(|| Violation {
            promise: "a request that crashes its runners is not sent on",
            seen: format!("request {number}: {late} of {} runs later than {known:?}", runs.len()),
        })
    });
    late.collect()
}
