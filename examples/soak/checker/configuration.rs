//! Checks which version of the configuration requests are served by.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{broken, is_undisturbed, Violation, CONFIGURATION_BOUND};
use crate::history::{ConfigurationChange, History, Kind, Outcome, Request};

/// The route of a version of the configuration is served as soon as that version must be in force, and no
/// longer than until the next one must be.
pub(super) fn check_in_force(history: &History, request: &Request) -> Option<Violation> {
    let (Kind::Probe(version), Outcome::Answer { status, .. }) = (request.kind, &request.outcome)
    else {
        return None;
    };
    let versions = |matches: &dyn Fn(&ConfigurationChange) -> bool| {
        history.configuration_changes.iter().filter(|it| matches(it)).map(|it| it.version).max()
    };
    let required = versions(&|it| it.taken + CONFIGURATION_BOUND < request.sent)?;
    let newest = versions(&|it| it.sent <= request.ended)?;
    let served_by_older = match status {
        200 => version < required,
        401 | 404 => version == required && newest == required,
        _ => false,
    };
    let undisturbed = is_undisturbed(history, request);
    let violated = served_by_older && undisturbed;
    violated.then(|| {
        broken("a configuration is in force in time", request, &format!("version {required}"))
    })
}

/// Within one incarnation of a process, an older configuration never replaces a newer one.
pub(super) fn check_configuration(history: &History) -> Vec<Violation> {
    let mut newest: BTreeMap<(usize, u32), (u64, Duration)> = BTreeMap::new();
    let mut requests: Vec<&Request> = history.requests.iter().collect();
    requests.sort_by_key(|it| it.ended);
    let mut violations = Vec::new();
    for request in requests {
        let Kind::Probe(version) = request.kind else {
            continue;
        };
        let Outcome::Answer { status: 200, .. } = request.outcome else {
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
