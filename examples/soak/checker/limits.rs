//! Checks the number of requests that runners with a rate limit receive from all gateways together.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Violation, UNDISTURBED_PERIOD};
use crate::history::{History, LimitNotice, Moment, Request, Target};

/// How long after a runner first stated a limit it is enforced.
const LIMIT_BOUND: Duration = Duration::from_millis(3000);
/// How long after a gateway forwarded an answer with a limit its requests count.
const NOTICE_DELAY: Duration = Duration::from_millis(500);
/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_millis(4000);
/// A runner may receive `OVERRUN` times its rate in a window, and `SLACK` requests in addition.
const OVERRUN: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Id and incarnation of a runner.
type Incarnation<'a> = (&'a str, u64);

/// When the process of a gateway first forwarded each limit of each runner incarnation.
type FirstNotices<'a> = BTreeMap<((usize, u32), Incarnation<'a>, &'a str), Moment>;

/// The requests that reach a runner while it states a limit stay within it, summed over the gateways that know
/// the limit.
pub(super) fn check_limits(history: &History) -> Vec<Violation> {
    let requests: BTreeMap<&str, &Request> =
        history.requests.iter().map(|it| (it.id.as_str(), it)).collect();
    let notices = first_notices(history);
    let mut first: BTreeMap<Incarnation<'_>, Moment> = BTreeMap::new();
    let mut counted: BTreeMap<(Incarnation<'_>, &str), Vec<Moment>> = BTreeMap::new();
    for (id, LimitNotice { runner, life, limit, at }) in &history.limited_requests {
        let life = (runner.as_str(), *life);
        let first = *first.entry(life).or_insert(*at);
        let Some(request) = requests.get(id.as_str()) else {
            continue;
        };
        let notice = notices.get(&(request.gateway, life, limit.as_str()));
        let knew_limit = notice.is_some_and(|noticed_at| *noticed_at + NOTICE_DELAY <= *at);
        let runs_old_build = history.old_builds.contains(&request.gateway);
        if knew_limit
            && !runs_old_build
            && *at >= first + LIMIT_BOUND
            && !was_disrupted(history, request, *at)
        {
            counted.entry((life, limit.as_str())).or_default().push(*at);
        }
    }
    counted.into_iter().filter_map(|((life, limit), at)| check_windows(life, limit, at)).collect()
}

/// Returns when each gateway first forwarded each limit.
fn first_notices(history: &History) -> FirstNotices<'_> {
    let mut notices = FirstNotices::new();
    for request in &history.requests {
        if let Some(LimitNotice { runner, life, limit, at }) = &request.limit {
            let key = (request.gateway, (runner.as_str(), *life), limit.as_str());
            let known = notices.entry(key).or_insert(*at);
            *known = (*known).min(*at);
        }
    }
    notices
}

/// Whether the gateway of a request was restarted, paused or disconnected shortly before.
fn was_disrupted(history: &History, request: &Request, at: Moment) -> bool {
    let target = Target::Gateway(request.gateway.0);
    let overlaps = |from: Moment, until: Moment| from <= at && until + UNDISTURBED_PERIOD >= at;
    history.disruptions.iter().any(|it| it.target == target && overlaps(it.from, it.until))
}

/// Returns a violation if a window holds more requests than the limit allows. A limit that is no number allows
/// any number.
fn check_windows(life: Incarnation<'_>, limit: &str, mut at: Vec<Moment>) -> Option<Violation> {
    let per_s: f64 = limit.parse().ok()?;
    let allowed = (per_s * WINDOW.as_secs_f64() * OVERRUN + SLACK) as usize;
    at.sort();
    let first = at.windows(allowed + 1).find(|it| it[allowed] - it[0] < WINDOW)?;
    Some(Violation {
        guarantee: "a runner gets no more than the rate that it names",
        details: format!("{life:?}, limit {limit}: more than {allowed} from {:?} on", first[0]),
    })
}
