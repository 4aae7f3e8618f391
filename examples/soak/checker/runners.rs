//! Checks what runners receive while they leave, are backed off from or are cold.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{broken, is_undisturbed, Violation, UNDISTURBED_PERIOD};
use crate::history::{Cold, History, Request, Run, Target, TurnedAway};

/// Within what time a leaving runner must receive no new requests.
const LEAVE_BOUND: Duration = Duration::from_millis(2000);
/// Length of the window in which requests to a cold runner are counted.
const COLD_WINDOW: Duration = Duration::from_millis(1000);
/// Maximum number of requests to a cold runner in one window: 1.5 times its limit of 6 requests a second, and 5
/// in addition.
const COLD_LIMIT: usize = 14;
/// How long after a rejection requests may still be in transit and are not counted.
const TRANSIT_PERIOD: Duration = Duration::from_millis(500);
/// Maximum number of requests that a runner may receive from one gateway during a backoff.
const MAX_DURING_BACKOFF: usize = 2;

/// A leaving runner receives no new requests once its leave must be known.
pub(super) fn check_leaving(
    history: &History,
    request: &Request,
    runs: &[Run],
) -> Option<Violation> {
    let undisturbed = is_undisturbed(history, request);
    let is_late = |run: &&Run| {
        history.leaving.iter().any(|it| {
            let returned = it.until.is_some_and(|until| run.at >= until);
            it.runner == run.runner
                && !returned
                && run.at > it.at + LEAVE_BOUND
                && request.sent > it.at
        })
    };
    let late = runs.iter().find(is_late).filter(|_| undisturbed)?;
    Some(broken("a runner that leaves gets nothing new", request, &format!("{late:?}")))
}

/// A runner that has stated in an answer that it leaves receives no new requests from the gateway that
/// forwarded the answer, regardless of that gateway's contact with the store, until the gateway has been paused
/// or restarted.
pub(super) fn check_leave_notices(
    history: &History,
    request: &Request,
    runs: &[Run],
) -> Option<Violation> {
    if history.old_builds.contains(&request.gateway) {
        return None;
    }
    let is_forbidden = |run: &Run| {
        let same_gateway = history.requests.iter().filter(|it| it.gateway == request.gateway);
        let mut notices = same_gateway.filter_map(|it| it.leave_notice.as_ref());
        notices.any(|it| {
            let was_paused = history.pauses.iter().any(|pause| {
                pause.gateway == request.gateway.0 && pause.at > it.at && pause.at <= run.at
            });
            let same_incarnation = (&it.runner, it.life) == (&run.runner, run.life);
            same_incarnation && !was_paused && request.sent > it.at + LEAVE_BOUND
        })
    };
    let late = runs.iter().find(|it| is_forbidden(it))?;
    Some(broken("a runner that says it leaves is left", request, &format!("{late:?}")))
}

/// Id and incarnation of a runner, and the gateway process that sends to it.
type Path<'a> = (&'a str, u64, (usize, u32));

/// During a backoff that a runner asks a gateway for, it receives at most two requests from that gateway,
/// unless the gateway was disrupted.
pub(super) fn check_rest_periods(history: &History) -> Vec<Violation> {
    let requests: BTreeMap<&str, &Request> =
        history.requests.iter().map(|it| (it.id.as_str(), it)).collect();
    let mut arrivals: BTreeMap<Path<'_>, Vec<Duration>> = BTreeMap::new();
    for it in &history.turned_away {
        let Some(request) = requests.get(it.request.as_str()) else {
            continue;
        };
        arrivals.entry((&it.runner, it.life, request.gateway)).or_default().push(it.at);
    }
    for (id, runs) in &history.runs {
        let Some(request) = requests.get(id.as_str()) else {
            continue;
        };
        for run in runs {
            arrivals.entry((&run.runner, run.life, request.gateway)).or_default().push(run.at);
        }
    }
    let is_violated = |it: &&TurnedAway| {
        let Some(request) = requests.get(it.request.as_str()) else {
            return false;
        };
        let key = (it.runner.as_str(), it.life, request.gateway);
        let backoff = it.at + TRANSIT_PERIOD..it.at + it.rest;
        let during =
            arrivals.get(&key).map_or(0, |at| at.iter().filter(|at| backoff.contains(at)).count());
        let was_disrupted = history.disruptions.iter().any(|disruption| {
            disruption.target == Target::Gateway(request.gateway.0)
                && disruption.from <= it.at + it.rest
                && disruption.until + UNDISTURBED_PERIOD >= it.at
        });
        during > MAX_DURING_BACKOFF
            && !was_disrupted
            && !history.old_builds.contains(&request.gateway)
    };
    let violated = history.turned_away.iter().filter(is_violated);
    violated
        .map(|it| Violation {
            guarantee: "a runner that wants rest is left alone",
            details: format!("{it:?}"),
        })
        .collect()
}

/// A cold runner receives no more requests than its limit, regardless of the sender and of disruptions.
pub(super) fn check_cold(history: &History, cold: &Cold) -> Option<Violation> {
    let runs = history.runs.values().flatten().filter(|it| it.runner == cold.runner);
    let mut at: Vec<Duration> =
        runs.map(|it| it.at).filter(|it| (cold.from..=cold.until).contains(it)).collect();
    at.sort();
    let first = at.windows(COLD_LIMIT + 1).find(|it| it[COLD_LIMIT] - it[0] < COLD_WINDOW)?;
    Some(Violation {
        guarantee: "a cold runner gets what it bears",
        details: format!("{cold:?}: more than {COLD_LIMIT} in the second from {:?}", first[0]),
    })
}
