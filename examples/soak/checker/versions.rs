//! Checks which version of the weights requests begin on.

use std::time::Duration;

use super::{broken, no_disruption, Violation, UNDISTURBED_PERIOD};
use crate::history::{History, Moment, Request, Run, Target, TargetVersion};

/// How long requests may begin on an older version after a newer one became the target version.
const VERSION_BOUND: Duration = Duration::from_millis(8000);

/// No request begins on a version for longer than `VERSION_BOUND` after a newer one became the target version.
/// The time counts only while the store is without disruptions, from `UNDISTURBED_PERIOD` after one. A slow
/// store excuses no violation.
pub(super) fn check_versions(
    history: &History,
    request: &Request,
    runs: &[Run],
) -> Option<Violation> {
    let selects = |it| it == Target::Gateway(request.gateway.0) || it == Target::Store;
    if history.old_builds.contains(&request.gateway) || !no_disruption(history, request, selects) {
        return None;
    }
    let lateness = |run: &Run| {
        let newer =
            history.target_versions.iter().filter(|it| 0 < run.version && run.version < it.version);
        newer.filter_map(|it| lateness_after(history, it, run.at)).max()
    };
    let (run, late) = runs.iter().find_map(|run| Some((run, lateness(run)?)))?;
    let detail = format!("{run:?} {late:?} behind the bound");
    Some(broken("requests begin on a version that is new enough", request, &detail))
}

/// By how much a run that began at `begun` exceeds the deadline of a target version.
fn lateness_after(history: &History, target: &TargetVersion, begun: Moment) -> Option<Duration> {
    let outages =
        history.disruptions.iter().filter(|it| it.target == Target::Store && it.from <= begun);
    let since = outages.map(|it| it.until + UNDISTURBED_PERIOD).fold(target.taken, Duration::max);
    begun.checked_sub(since + VERSION_BOUND).filter(|it| !it.is_zero())
}
