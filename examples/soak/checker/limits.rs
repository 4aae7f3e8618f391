//! What runners are sent that name a rate limit, by all gateways together.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Violation, IN_TOUCH};
use crate::history::{History, Moment, NamedLimit, Request, Target};

/// From how long after a runner first named a limit it is held to.
const CONTACT: Duration = Duration::from_millis(3000);
/// From how long after it handed such an answer on a gateway counts.
const TOLD: Duration = Duration::from_millis(500);
/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_millis(4000);
/// How many times its rate a runner may get in a window, and how many requests on top.
const OVERRUN: f64 = 1.5;
const SLACK: f64 = 5.0;

/// A life of a runner.
type Life<'a> = (&'a str, u64);

/// When the process of a gateway handed on that a life of a runner names a limit.
type Told<'a> = BTreeMap<((usize, u32), Life<'a>, &'a str), Moment>;

/// The requests that reach a runner while it names a limit stay within it, summed over the gateways that it was told.
pub(super) fn check_limits(history: &History) -> Vec<Violation> {
    let requests: BTreeMap<&str, &Request> =
        history.requests.iter().map(|it| (it.id.as_str(), it)).collect();
    let told = first_told(history);
    let mut first: BTreeMap<Life<'_>, Moment> = BTreeMap::new();
    let mut counted: BTreeMap<(Life<'_>, &str), Vec<Moment>> = BTreeMap::new();
    for (id, NamedLimit { runner, life, limit, at }) in &history.limited {
        let life = (runner.as_str(), *life);
        let first = *first.entry(life).or_insert(*at);
        let Some(request) = requests.get(id.as_str()) else {
            continue;
        };
        let was_told = told.get(&(request.gateway, life, limit.as_str()));
        let is_told = was_told.is_some_and(|told| *told + TOLD <= *at);
        let is_old = history.old.contains(&request.gateway);
        if is_told && !is_old && *at >= first + CONTACT && !is_excused(history, request, *at) {
            counted.entry((life, limit.as_str())).or_default().push(*at);
        }
    }
    counted.into_iter().filter_map(|((life, limit), at)| check_windows(life, limit, at)).collect()
}

/// When each gateway first handed on each limit.
fn first_told(history: &History) -> Told<'_> {
    let mut told = Told::new();
    for request in &history.requests {
        if let Some(NamedLimit { runner, life, limit, at }) = &request.limit {
            let key = (request.gateway, (runner.as_str(), *life), limit.as_str());
            let known = told.entry(key).or_insert(*at);
            *known = (*known).min(*at);
        }
    }
    told
}

/// Whether the gateway of a request started again, stood still or was cut off shortly before.
fn is_excused(history: &History, request: &Request, at: Moment) -> bool {
    let target = Target::Gateway(request.gateway.0);
    let overlaps = |from: Moment, until: Moment| from <= at && until + IN_TOUCH >= at;
    history.harmed.iter().any(|it| it.target == target && overlaps(it.from, it.until))
}

/// Whether more requests came in some window than a limit allows. What can't be read allows no number.
fn check_windows(life: Life<'_>, limit: &str, mut at: Vec<Moment>) -> Option<Violation> {
    let per_s: f64 = limit.parse().ok()?;
    let allowed = (per_s * WINDOW.as_secs_f64() * OVERRUN + SLACK) as usize;
    at.sort();
    let first = at.windows(allowed + 1).find(|it| it[allowed] - it[0] < WINDOW)?;
    Some(Violation {
        promise: "a runner gets no more than the rate that it names",
        seen: format!("{life:?}, limit {limit}: more than {allowed} from {:?} on", first[0]),
    })
}
