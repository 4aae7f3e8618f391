//! The promises, checked from what callers and runners saw and nothing else.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::history::{
    Cold, Configured, Evacuated, Harmed, History, Homes, Kind, Request, Run, Seen, Target,
    TurnedAway,
};

/// Events of a whole stream of the stand-in's engines.
const EVENTS: u64 = 12;
/// The workspace that holds the callers' key.
const TENANT: &str = "t1";
/// Within what time a runner that leaves gets nothing new.
const DRAIN: Duration = Duration::from_millis(2000);
/// Within what time a configuration is in force.
const APPLY: Duration = Duration::from_millis(2000);
/// Within what time a hall that is evacuated gets nothing new.
const EVACUATE: Duration = Duration::from_millis(2500);
/// The only data hall in the home regions of the route that is always bound.
pub const BOUND_HALL: &str = "a";
/// The window in which the requests of a cold runner are counted.
const COLD_WINDOW: Duration = Duration::from_millis(1000);
/// The most requests that a cold runner gets in one window: 1.5 times the 6 that it bears and 5 on top.
pub const COLD_LIMIT: usize = 14;
/// The crashes after which a request is not sent on, how long after it began such a request ends its runner, and within
/// what time every gateway knows.
const QUARANTINE_AT: usize = 3;
const CRASH_AFTER: Duration = Duration::from_millis(30);
const CONTACT: Duration = Duration::from_millis(3000);
/// How often it may reach runners after that.
const MOST_RETRIES: usize = 3;
/// How long after a runner asked for rest requests may still be on their way, and how many it may get meanwhile.
const TRANSIT: Duration = Duration::from_millis(500);
const MOST_DURING_REST: usize = 2;
/// How long a process must have been left alone to be held to a bound of time.
const IN_TOUCH: Duration = Duration::from_millis(3500);
/// How long a request may be under way when its connection is closed between two requests.
const CROSSING: Duration = Duration::from_millis(200);
/// How long a gateway goes on after it was told to stop.
const GRACE: Duration = Duration::from_millis(8000);
/// Within what time after the last fault every gateway serves again.
const RECOVERY: Duration = Duration::from_millis(12_000);

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub seen: String,
}

/// Every broken promise of a run.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    for request in &history.requests {
        let runs = history.runs.get(&request.id).map_or(&[][..], Vec::as_slice);
        violations.extend(check_answer(request));
        violations.extend(check_runs(request, runs));
        violations.extend(check_promise_of_refusal(request, runs));
        violations.extend(check_planned_stop(history, request, runs));
        violations.extend(check_leaving(history, request, runs));
        violations.extend(check_told(history, request, runs));
        violations.extend(check_in_force(history, request));
        violations.extend(check_bound(request, runs));
        violations.extend(check_homes(history, request, runs));
        violations.extend(check_evacuated(history, request, runs));
    }
    violations.extend(history.cold.iter().filter_map(|cold| check_cold(history, cold)));
    violations.extend(check_quarantine(history));
    violations.extend(check_rest(history));
    violations.extend(check_configuration(history));
    violations.extend(check_recovery(history));
    violations.extend(history.mixtures.iter().map(|runner| Violation {
        promise: "no runner takes partial or mixed weights",
        seen: runner.clone(),
    }));
    violations
}

fn broken(promise: &'static str, request: &Request, detail: &str) -> Violation {
    let Request { id, kind, gateway, sent, seen, .. } = request;
    let seen = format!("{id} {kind:?} at {gateway:?}, sent {sent:?}: {seen:?} {detail}");
    Violation { promise, seen }
}

/// The body of a whole answer to a request.
pub fn whole_body(kind: Kind, id: &str) -> String {
    if matches!(kind, Kind::Stream | Kind::Crash(_)) {
        return (1..=EVENTS).map(|it| format!("id: {it}\ndata: {id}/{it}\n\n")).collect();
    }
    format!("ledger {id}")
}

fn check_answer(request: &Request) -> Option<Violation> {
    let Seen::Answer { status: 200, whole: true, body } = &request.seen else {
        return None;
    };
    let right = body == &whole_body(request.kind, &request.id);
    (!right).then(|| broken("a whole answer is the caller's own", request, ""))
}

fn check_runs(request: &Request, runs: &[Run]) -> Option<Violation> {
    if request.kind == Kind::Unsafe && runs.len() > 1 {
        return Some(broken("runs at most once", request, &format!("{runs:?}")));
    }
    let is_stream = matches!(request.kind, Kind::Stream | Kind::Crash(_));
    let service = if is_stream { "assistant" } else { "ledger" };
    for run in runs {
        if run.service != service {
            return Some(broken("runs where its route says", request, &run.service));
        }
        if run.saw_key || run.tenant.as_deref() != Some(TENANT) {
            return Some(broken("the key stays, the workspace is named", request, ""));
        }
    }
    None
}

fn check_promise_of_refusal(request: &Request, runs: &[Run]) -> Option<Violation> {
    let Seen::Answer { status: 408 | 421 | 429 | 503, .. } = request.seen else {
        return None;
    };
    let ran = request.kind == Kind::Unsafe && !runs.is_empty();
    ran.then(|| broken("what is refused did not run", request, &format!("{runs:?}")))
}

fn check_planned_stop(history: &History, request: &Request, runs: &[Run]) -> Option<Violation> {
    let cut = match &request.seen {
        Seen::Lost => !runs.is_empty() || request.ended - request.sent > CROSSING,
        Seen::Answer { whole, .. } => !whole,
        Seen::NoConnection => false,
    };
    let gateway = request.gateway.0;
    let stopping = history
        .stops
        .iter()
        .any(|it| it.gateway == gateway && request.ended >= it.at && request.sent < it.at + GRACE);
    let untouched = is_calm(history, request, |target| {
        matches!(target, Target::Runner(_)) || target == Target::Gateway(gateway)
    });
    let broke = cut && stopping && untouched;
    broke.then(|| broken("a planned stop cuts nothing", request, &format!("{runs:?}")))
}

fn check_leaving(history: &History, request: &Request, runs: &[Run]) -> Option<Violation> {
    let gateway = request.gateway.0;
    let untouched = is_calm(history, request, |target| {
        target == Target::Gateway(gateway) || target == Target::Store
    });
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
fn check_told(history: &History, request: &Request, runs: &[Run]) -> Option<Violation> {
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
fn check_rest(history: &History) -> Vec<Violation> {
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

/// What is bound throughout runs in its region alone, whoever was harmed.
fn check_bound(request: &Request, runs: &[Run]) -> Option<Violation> {
    let elsewhere = runs.iter().find(|it| it.hall != BOUND_HALL)?;
    let bound = request.kind == Kind::Bound;
    bound.then(|| broken("a bound request stays in its region", request, &format!("{elsewhere:?}")))
}

/// Streams run where the homes that bind say, or a newer configuration.
fn check_homes(history: &History, request: &Request, runs: &[Run]) -> Option<Violation> {
    if request.kind != Kind::Stream {
        return None;
    }
    let binding = history.homes.iter().rposition(|it| it.taken + APPLY < request.sent)?;
    let allows = |homes: &Homes, run: &Run| homes.hall.as_ref().is_none_or(|it| *it == run.hall);
    let outside = |run: &&Run| {
        let newer = history.homes[binding..].iter().filter(|it| it.sent <= run.at);
        newer.into_iter().all(|homes| !allows(homes, run))
    };
    let outside = runs.iter().find(outside)?;
    let untouched = is_calm(history, request, |target| {
        target == Target::Gateway(request.gateway.0) || target == Target::Store
    });
    untouched.then(|| broken("streams run in their homes", request, &format!("{outside:?}")))
}

fn check_evacuated(history: &History, request: &Request, runs: &[Run]) -> Option<Violation> {
    let untouched = is_calm(history, request, |target| {
        target == Target::Gateway(request.gateway.0) || target == Target::Store
    });
    let forbids = |it: &Evacuated, run: &Run| {
        let back = it.until.is_some_and(|until| run.at >= until);
        it.hall == run.hall && !back && run.at > it.at + EVACUATE && request.sent > it.at
    };
    let after = |run: &&Run| history.evacuated.iter().any(|it| forbids(it, run));
    let late = runs.iter().find(after).filter(|_| untouched)?;
    Some(broken("an evacuated hall gets nothing new", request, &format!("{late:?}")))
}

/// A cold runner gets no more than it bears, whoever sends and whoever was harmed.
fn check_cold(history: &History, cold: &Cold) -> Option<Violation> {
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

/// Once a request has crashed three runners and every gateway must have heard of that, it reaches few more, of all
/// gateways that were left alone together.
fn check_quarantine(history: &History) -> Vec<Violation> {
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

/// Whether a request's gateway and the store were left alone from a while before it.
fn is_in_touch(history: &History, request: &Request) -> bool {
    is_calm(history, request, |target| {
        target == Target::Gateway(request.gateway.0) || target == Target::Store
    })
}

/// A route of one version of the configuration is served as soon as that version binds, and no longer than
/// until the next one does.
fn check_in_force(history: &History, request: &Request) -> Option<Violation> {
    let (Kind::Probe(version), Seen::Answer { status, .. }) = (request.kind, &request.seen) else {
        return None;
    };
    let versions = |is_counted: &dyn Fn(&Configured) -> bool| {
        history.configured.iter().filter(|it| is_counted(it)).map(|it| it.version).max()
    };
    let binding = versions(&|it| it.taken + APPLY < request.sent)?;
    let newest = versions(&|it| it.sent <= request.ended)?;
    let by_an_older_one = match status {
        200 => version < binding,
        401 | 404 => version == binding && newest == binding,
        _ => false,
    };
    let untouched = is_calm(history, request, |target| {
        target == Target::Gateway(request.gateway.0) || target == Target::Store
    });
    let broke = by_an_older_one && untouched;
    broke.then(|| {
        broken("a configuration is in force in time", request, &format!("version {binding}"))
    })
}

/// Whether nothing was done to these targets from a while before a request until its end.
fn is_calm(history: &History, request: &Request, concerns: impl Fn(Target) -> bool) -> bool {
    let from = request.sent.saturating_sub(IN_TOUCH);
    let overlaps =
        |it: &&Harmed| concerns(it.target) && it.from <= request.ended && it.until >= from;
    !history.harmed.iter().any(|it| overlaps(&it))
}

/// Within one life of a process, a configuration that was in force does not give way to an older one.
fn check_configuration(history: &History) -> Vec<Violation> {
    let mut newest: BTreeMap<(usize, u32), (u64, Duration)> = BTreeMap::new();
    let mut probes: Vec<&Request> = history.requests.iter().collect();
    probes.sort_by_key(|it| it.ended);
    let mut violations = Vec::new();
    for request in probes {
        let Kind::Probe(version) = request.kind else {
            continue;
        };
        let Seen::Answer { status: 200, .. } = request.seen else {
            continue;
        };
        let (known, since) = newest.entry(request.gateway).or_default();
        if version < *known && request.sent > *since {
            violations.push(broken("a configuration does not go back", request, ""));
        }
        if version > *known {
            (*known, *since) = (version, request.ended);
        }
    }
    violations
}

/// Every gateway serves plain requests and streams again soon after the last fault.
fn check_recovery(history: &History) -> Vec<Violation> {
    let from = history.calm_from + RECOVERY;
    let mut served: BTreeMap<(usize, &'static str), (u32, u32)> = BTreeMap::new();
    for request in history.requests.iter().filter(|it| it.sent >= from) {
        let what = match request.kind {
            Kind::Stream => "streams",
            Kind::Safe | Kind::Unsafe | Kind::Bound => "plain requests",
            Kind::Probe(_) | Kind::Crash(_) => continue,
        };
        let whole = matches!(request.seen, Seen::Answer { status: 200, whole: true, .. });
        let (good, all) = served.entry((request.gateway.0, what)).or_default();
        *good += u32::from(whole);
        *all += 1;
    }
    let poor = served.into_iter().filter(|(_, (good, all))| good * 4 < *all);
    let violation = |((gateway, what), (good, all))| Violation {
        promise: "back in service soon after the last fault",
        seen: format!("gateway {gateway}: {good} of {all} {what}"),
    };
    poor.map(violation).collect()
}
