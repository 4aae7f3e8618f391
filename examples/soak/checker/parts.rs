//! Checks that requests with a prompt part that crashes runners are refused, and that sound requests are served meanwhile.

use std::time::Duration;

use super::{is_undisturbed, Violation, UNDISTURBED_PERIOD};
use crate::history::{Disruption, History, Kind, Moment, PartPeriod, Request, Target};

/// Number of crashes under a part from which the bounds count.
const COUNTED_CRASHES: usize = 5;
/// How long after its start a request with such a part crashes its runner, at most.
const CRASH_AFTER: Duration = Duration::from_millis(30);
/// Within what time every gateway must know of a crash.
const CONTACT: Duration = Duration::from_millis(3000);
/// How many requests with the part may reach runners after that.
const MAX_LATE_RUNS: usize = 3;
/// Number of sound requests from which their share is compared.
const MIN_SOUND_REQUESTS: usize = 20;

/// When runners started requests with a part, oldest first, each with the request.
fn runs_of(history: &History, number: u64) -> Vec<(Moment, &Request)> {
    let requests = history.requests.iter().filter(|it| it.kind == Kind::CrashPart(number));
    let mut runs: Vec<_> = requests
        .flat_map(|request| {
            let runs = history.runs.get(&request.id).into_iter().flatten();
            runs.map(move |run| (run.at, request))
        })
        .collect();
    runs.sort_by_key(|it| it.0);
    runs
}

/// Once a part has crashed five runners and every gateway must know of it, only a few more requests with it reach
/// runners, summed over all gateways without disruptions.
pub(super) fn check_parts(history: &History) -> Vec<Violation> {
    let late = history.part_periods.iter().filter_map(|period| {
        let runs = runs_of(history, period.number);
        let known_from = runs.get(COUNTED_CRASHES - 1)?.0 + CRASH_AFTER + CONTACT;
        // Gateways that run an earlier build know nothing of parts.
        let is_late = |(at, request): &&(Moment, &Request)| {
            *at > known_from
                && request.sent > known_from
                && !history.old_builds.contains(&request.gateway)
                && is_undisturbed(history, request)
        };
        let late = runs.iter().filter(is_late).count();
        (late > MAX_LATE_RUNS).then(|| Violation {
            guarantee: "requests with a part that crashes runners are not sent on",
            details: format!(
                "part {}: {late} of {} runs later than {known_from:?}",
                period.number,
                runs.len()
            ),
        })
    });
    late.collect()
}

/// Sound requests, all of which share their key and half of which share their first part with those that crash runners,
/// begin at least half as often as without disruptions, from twice the contact time after the fifth crash on.
pub(super) fn check_sound_requests(history: &History) -> Vec<Violation> {
    // Gateways that run an earlier build go on crashing the runners of all.
    if !history.old_builds.is_empty() {
        return Vec::new();
    }
    let usual = sound_requests(history, |request| {
        let is_disrupted = |it: &Disruption| !it.planned && overlaps(it, request);
        !history.disruptions.iter().any(is_disrupted)
    });
    let usual_share = begun_share(history, &usual);
    let violations = history.part_periods.iter().filter_map(|period| {
        let runs = runs_of(history, period.number);
        let counted = runs.get(COUNTED_CRASHES - 1).or(runs.last())?.0 + CRASH_AFTER;
        let from = counted + 2 * CONTACT;
        let sound = sound_requests(history, |request| {
            let is_other = |it: &Disruption| !is_caused_by(it, period) && overlaps(it, request);
            let is_during = request.sent >= from && request.sent <= period.until;
            is_during && !history.disruptions.iter().any(is_other)
        });
        if usual.len() < MIN_SOUND_REQUESTS || sound.len() < MIN_SOUND_REQUESTS {
            return None;
        }
        let share = begun_share(history, &sound);
        (share * 2.0 < usual_share).then(|| Violation {
            guarantee: "sound requests are served beside a part that crashes runners",
            details: format!(
                "part {}: {share:.2} of {} begin, usually {usual_share:.2} of {}",
                period.number,
                sound.len(),
                usual.len()
            ),
        })
    });
    violations.collect()
}

fn sound_requests(history: &History, selects: impl Fn(&Request) -> bool) -> Vec<&Request> {
    history.requests.iter().filter(|it| it.kind == Kind::Stream && selects(it)).collect()
}

/// Whether a disruption lasted at any time from `UNDISTURBED_PERIOD` before a request until its end.
fn overlaps(disruption: &Disruption, request: &Request) -> bool {
    let from = request.sent.saturating_sub(UNDISTURBED_PERIOD);
    disruption.from <= request.ended && disruption.until >= from
}

fn is_caused_by(disruption: &Disruption, period: &PartPeriod) -> bool {
    matches!(disruption.target, Target::Runner(_))
        && (disruption.from, disruption.until) == (period.from, period.until)
}

/// The share of requests that a runner began.
fn begun_share(history: &History, requests: &[&Request]) -> f64 {
    let has_begun = |it: &&&Request| history.runs.get(&it.id).is_some_and(|runs| !runs.is_empty());
    requests.iter().filter(has_begun).count() as f64 / requests.len().max(1) as f64
}
