//! Checks where requests run: in their home regions, and not in evacuated data halls.

use std::time::Duration;

use super::{broken, is_undisturbed, Violation, CONFIGURATION_BOUND};
use crate::history::{Evacuation, History, Kind, Request, Run, StreamHomes};

/// Within what time an evacuated hall must receive no new requests.
const EVACUATION_BOUND: Duration = Duration::from_millis(2500);
/// The only data hall in the home regions of the route that is bound during the whole run.
const BOUND_HALL: &str = "a";

/// Requests of the bound route run only in their region, regardless of disruptions.
pub(super) fn check_bound(request: &Request, runs: &[Run]) -> Option<Violation> {
    let outside_region = runs.iter().find(|it| it.hall != BOUND_HALL)?;
    let bound = request.kind == Kind::Bound;
    bound.then(|| {
        broken("a bound request stays in its region", request, &format!("{outside_region:?}"))
    })
}

/// Streams run in the home regions that must be in force, or in those of a newer configuration.
pub(super) fn check_homes(history: &History, request: &Request, runs: &[Run]) -> Option<Violation> {
    if request.kind != Kind::Stream {
        return None;
    }
    let required =
        history.homes.iter().rposition(|it| it.taken + CONFIGURATION_BOUND < request.sent)?;
    let allows =
        |homes: &StreamHomes, run: &Run| homes.hall.as_ref().is_none_or(|it| *it == run.hall);
    let outside = |run: &&Run| {
        let newer = history.homes[required..].iter().filter(|it| it.sent <= run.at);
        newer.into_iter().all(|homes| !allows(homes, run))
    };
    let outside = runs.iter().find(outside)?;
    let undisturbed = is_undisturbed(history, request);
    undisturbed.then(|| broken("streams run in their homes", request, &format!("{outside:?}")))
}

/// An evacuated hall receives no new requests once the evacuation must be known.
pub(super) fn check_evacuated(
    history: &History,
    request: &Request,
    runs: &[Run],
) -> Option<Violation> {
    let undisturbed = is_undisturbed(history, request);
    let forbids = |it: &Evacuation, run: &Run| {
        let ended = it.until.is_some_and(|until| run.at >= until);
        it.hall == run.hall && !ended && run.at > it.at + EVACUATION_BOUND && request.sent > it.at
    };
    let is_late = |run: &&Run| history.evacuations.iter().any(|it| forbids(it, run));
    let late = runs.iter().find(is_late).filter(|_| undisturbed)?;
    Some(broken("an evacuated hall gets nothing new", request, &format!("{late:?}")))
}
