//! By which configuration requests are served.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{broken, is_in_touch, Violation, APPLY};
use crate::history::{Configured, History, Kind, Request, Seen};

/// A route of one version of the configuration is served as soon as that version binds, and no longer than
/// until the next one does.
pub(super) fn check_in_force(history: &History, request: &Request) -> Option<Violation> {
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
    let untouched = is_in_touch(history, request);
    let broke = by_an_older_one && untouched;
    broke.then(|| {
        broken("a configuration is in force in time", request, &format!("version {binding}"))
    })
}

/// Within one life of a process, a configuration that was in force does not give way to an older one.
pub(super) fn check_configuration(history: &History) -> Vec<Violation> {
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
