//! Checks that requests are served beside a trouble that is not theirs, and what it costs gateways.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{no_disruption, Violation, UNDISTURBED_PERIOD};
use crate::history::{Beside, Disruption, FloodCost, History, Kind, Outcome, Request, Target};

/// Within what time a request must be served.
const SERVE_BOUND: Duration = Duration::from_millis(1500);
/// Least number of requests at a gateway that are checked.
const MIN_REQUESTS: usize = 6;
/// Number of runners of a service that may be in trouble while the others serve most of its requests.
const MAX_DISRUPTED_RUNNERS: usize = 1;

/// At each gateway that was left alone, at least half of the requests are served soon that a trouble of another runner,
/// or of a row, doesn't concern.
pub(super) fn check_beside(history: &History) -> Vec<Violation> {
    if has_fewer_runners(history) {
        return Vec::new();
    }
    history.beside.iter().flat_map(|it| check_period(history, it)).collect()
}

/// Whether requests may be refused for want of runners.
fn has_fewer_runners(history: &History) -> bool {
    !history.leaving.is_empty()
        || !history.limited_requests.is_empty()
        || !history.evacuations.is_empty()
        || !history.homes.is_empty()
        || !history.cold.is_empty()
}

fn check_period(history: &History, beside: &Beside) -> Vec<Violation> {
    let mut gateways: BTreeMap<usize, (usize, usize)> = BTreeMap::new();
    for request in history.requests.iter().filter(|it| is_beside(history, beside, it)) {
        let (served, all) = gateways.entry(request.gateway.0).or_default();
        *served += usize::from(is_served_soon(request));
        *all += 1;
    }
    let starved =
        gateways.into_iter().filter(|(_, (served, all))| *all >= MIN_REQUESTS && served * 2 < *all);
    let violation = |(gateway, (served, all))| Violation {
        guarantee: "other requests are served beside a trouble",
        details: format!(
            "gateway {gateway}: {served} of {all} from {:?} to {:?} beside {}",
            beside.from, beside.until, beside.what
        ),
    };
    starved.map(violation).collect()
}

/// Whether a request was sent beside the trouble, and nothing else may keep it from being served.
fn is_beside(history: &History, beside: &Beside, request: &Request) -> bool {
    let is_model = |runner| runner < history.model_runners;
    let concerned = beside.runner.is_some_and(|it| is_model(it) == request.kind.is_stream());
    let checked = match request.kind {
        Kind::Stream | Kind::OnceStream | Kind::Safe | Kind::Unsafe => !concerned,
        Kind::Bound | Kind::Probe(_) | Kind::Crash(_) | Kind::CrashPart(_) => false,
        Kind::LongStream(_) | Kind::LongUnsafe(_) => false,
    };
    checked
        && request.sent >= beside.from
        && request.sent <= beside.until
        && no_disruption(history, request, |target| match target {
            Target::Gateway(gateway) => gateway == request.gateway.0,
            Target::Runner(_) => false,
            Target::Store | Target::SlowStore => true,
        })
        && disrupted_runners(history, request) <= MAX_DISRUPTED_RUNNERS
}

/// Number of runners of the service of a request that were disrupted shortly before it or during it.
fn disrupted_runners(history: &History, request: &Request) -> usize {
    let from = request.sent.saturating_sub(UNDISTURBED_PERIOD);
    let overlaps = |it: &&Disruption| it.from <= request.ended && it.until >= from;
    let runners = history.disruptions.iter().filter(overlaps).filter_map(|it| match it.target {
        Target::Runner(runner) => Some(runner),
        Target::Gateway(_) | Target::Store | Target::SlowStore => None,
    });
    let of_service = runners.filter(|it| (*it < history.model_runners) == request.kind.is_stream());
    of_service.collect::<BTreeSet<usize>>().len()
}

/// A gateway spends at most half of a processor while a runner sends bytes without end.
pub(super) fn check_flood_costs(history: &History) -> Vec<Violation> {
    let excessive = |it: &&FloodCost| it.used * 2 > it.until.saturating_sub(it.from);
    let violation = |cost: &FloodCost| Violation {
        guarantee: "a flood costs a gateway at most half of a processor",
        details: format!(
            "gateway {}: {:?} of processor time from {:?} to {:?}",
            cost.gateway, cost.used, cost.from, cost.until
        ),
    };
    history.flood_costs.iter().filter(excessive).map(violation).collect()
}

fn is_served_soon(request: &Request) -> bool {
    let is_whole = matches!(request.outcome, Outcome::Answer { status: 200, whole: true, .. });
    is_whole && request.ended - request.sent <= SERVE_BOUND
}
