//! Where requests run: in their homes, and not in halls that are evacuated.

use std::time::Duration;

use super::{broken, is_in_touch, Violation, APPLY};
use crate::history::{Evacuated, History, Homes, Kind, Request, Run};

/// Within what time a hall that is evacuated gets nothing new.
const EVACUATE: Duration = Duration::from_millis(2500);
/// The only data hall in the home regions of the route that is always bound.
const BOUND_HALL: &str = "a";

/// What is bound throughout runs in its region alone, whoever was harmed.
pub(super) fn check_bound(request: &Request, runs: &[Run]) -> Option<Violation> {
    let elsewhere = runs.iter().find(|it| it.hall != BOUND_HALL)?;
    let bound = request.kind == Kind::Bound;
    bound.then(|| broken("a bound request stays in its region", request, &format!("{elsewhere:?}")))
}

/// Streams run where the homes that bind say, or a newer configuration.
pub(super) fn check_homes(history: &History, request: &Request, runs: &[Run]) -> Option<Violation> {
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
    let untouched = is_in_touch(history, request);
    untouched.then(|| broken("streams run in their homes", request, &format!("{outside:?}")))
}

/// A hall that is evacuated gets nothing new once that must be known.
pub(super) fn check_evacuated(
    history: &History,
    request: &Request,
    runs: &[Run],
) -> Option<Violation> {
    let untouched = is_in_touch(history, request);
    let forbids = |it: &Evacuated, run: &Run| {
        let back = it.until.is_some_and(|until| run.at >= until);
        it.hall == run.hall && !back && run.at > it.at + EVACUATE && request.sent > it.at
    };
    let after = |run: &&Run| history.evacuated.iter().any(|it| forbids(it, run));
    let late = runs.iter().find(after).filter(|_| untouched)?;
    Some(broken("an evacuated hall gets nothing new", request, &format!("{late:?}")))
}
