//! What runners are sent while they leave, rest or are cold.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{broken, is_in_touch, Violation, IN_TOUCH};
use crate::history::{Cold, History, Request, Run, Target, TurnedAway};

/// Within what time a runner that leaves gets nothing new.
const DRAIN: Duration = Duration::from_millis(2000);
/// The window in which the requests of a cold runner are counted.
const COLD_WINDOW: Duration = Duration::from_millis(1000);
/// The most requests that a cold runner gets in one window: 1.5 times the 6 that it bears and 5 on top.
const COLD_LIMIT: usize = 14;
/// How long after a runner asked for rest requests may still be on their way.
const TRANSIT: Duration = Duration::from_millis(500);
/// How many requests a runner may get from one gateway while it rests.
const MOST_DURING_REST: usize = 2;

/// A runner that leaves gets nothing new once that must be known.
pub(super) fn check_leaving(
    history: &History,
    request: &Request,
    runs: &[Run],
) -> Option<Violation> {
    let untouched = is_in_touch(history, request);
    let after_leaving = |run: &&Run| {
        history.leaving.iter().any(|it| {
            let stays = it.until.is_some_and(|until| run.at >= until);
            it.runner == run.runner && !stays && run.at > it.at + DRAIN && request.sent > it.at
        })
    };
    let late = runs.iter().find(after_leaving).filter(|_| untouched)?;
    Some(broken("a runner that leaves gets nothing new", request, &format!("{late:?}")))
}

/// A runner that has said in an answer that it leaves gets nothing new from the gateway that handed the answer on, in
/// touch or not, until that gateway has stood still or started again.
pub(super) fn check_told(history: &History, request: &Request, runs: &[Run]) -> Option<Violation> {
    if history.old.contains(&request.gateway) {
        return None;
    }
    let told = |run: &Run| {
        let same_gateway = history.requests.iter().filter(|it| it.gateway == request.gateway);
        let mut told = same_gateway.filter_map(|it| it.told.as_ref());
        told.any(|it| {
            let stood_still = history.pauses.iter().any(|pause| {
                pause.gateway == request.gateway.0 && pause.at > it.at && pause.at <= run.at
            });
            let is_its_life = (&it.runner, it.life) == (&run.runner, run.life);
            is_its_life && !stood_still && request.sent > it.at + DRAIN
        })
    };
    let late = runs.iter().find(|it| told(it))?;
    Some(broken("a runner that says it leaves is left", request, &format!("{late:?}")))
}

/// A life of a runner, and the process of the gateway that sends there.
type Way<'a> = (&'a str, u64, (usize, u32));

/// A runner that asks a gateway for rest gets two requests from it at most meanwhile, if nothing was done to the gateway.
pub(super) fn check_rest(history: &History) -> Vec<Violation> {
    let requests: BTreeMap<&str, &Request> =
        history.requests.iter().map(|it| (it.id.as_str(), it)).collect();
    let mut arrivals: BTreeMap<Way<'_>, Vec<Duration>> = BTreeMap::new();
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
    let is_broken = |it: &&TurnedAway| {
        let Some(request) = requests.get(it.request.as_str()) else {
            return false;
        };
        let key = (it.runner.as_str(), it.life, request.gateway);
        let rest = it.at + TRANSIT..it.at + it.rest;
        let during =
            arrivals.get(&key).map_or(0, |at| at.iter().filter(|at| rest.contains(at)).count());
        let harmed = history.harmed.iter().any(|harm| {
            harm.target == Target::Gateway(request.gateway.0)
                && harm.from <= it.at + it.rest
                && harm.until + IN_TOUCH >= it.at
        });
        during > MOST_DURING_REST && !harmed && !history.old.contains(&request.gateway)
    };
    let broken = history.turned_away.iter().filter(is_broken);
    broken
        .map(|it| Violation {
            promise: "a runner that wants rest is left alone",
            seen: format!("{it:?}"),
        })
        .collect()
}

/// A cold runner gets no more than it bears, whoever sends and whoever was harmed.
pub(super) fn check_cold(history: &History, cold: &Cold) -> Option<Violation> {
    let runs = history.runs.values().flatten().filter(|it| it.runner == cold.runner);
    let mut at: Vec<Duration> =
        runs.map(|it| it.at).filter(|it| (cold.from..=cold.until).contains(it)).collect();
    at.sort();
    let first = at.windows(COLD_LIMIT + 1).find(|it| it[COLD_LIMIT] - it[0] < COLD_WINDOW)?;
    Some(Violation {
        promise: "a cold runner gets what it bears",
        seen: format!("{cold:?}: more than {COLD_LIMIT} in the second from {:?}", first[0]),
    })
}
