//! Detects later tries of callers that were refused before.
//!
//! Nothing on the wire marks them. But a caller that comes back has less time left than before: its
//! deadline is shorter than usual on its route by the time that it stayed away. A first try that is
//! served is on time and a later one is late, so first tries are preferred when capacity is short.
//!
//! A caller whose deadline is always short looks the same. The usual deadline is therefore learned
//! for each workspace as well, and sidecars keep a part of their slots for later tries. If many
//! requests look like later tries although none was refused, the deadline is no evidence, and no
//! request is treated as a later try.

use std::collections::BTreeMap;

use fleet::WorkspaceId;

use crate::event::Arrival;

/// Part of the usual deadline below which a request counts as a later try. First tries of one route
/// differ by less, and a caller that stayed away comes back with less.
const LATER_SHARE: f64 = 0.8;
/// The shortest deadline used in the estimate, in milliseconds: an estimate of zero would never
/// change again.
const LEAST: u64 = 1;
/// Requests of a route before its usual deadline counts as known.
const MIN_SEEN: u32 = 16;
/// Relative change of the estimate of a route by one request below it. A request above it changes
/// it three times as much, so the estimate settles where three of four requests are below. Later
/// tries, which are fewer than the first ones, hardly change it.
const ROUTE_STEP: f64 = 0.004;
/// The same for the estimate of one workspace on a route, which has few requests to learn from.
const WORKSPACE_STEP: f64 = 0.02;
/// Factor by which a request above the estimate changes it more than one below.
const UP: f64 = 3.0;
/// Maximum share of requests that look like later tries without a shortage. Above it the deadline
/// is no evidence: it is about twice the part of the slots that sidecars keep for later tries, and
/// with a larger share few callers whose deadline is always short would be served.
const MAX_DOUBT: f64 = 0.1;
/// Weight of one request in that share, which is thus an average of about the last fifty.
const DOUBT_STEP: f64 = 0.02;
/// Maximum number of estimates. When it is reached, all are dropped.
const MAX_KEPT: usize = 4096;

/// An estimate of the usual deadline.
#[derive(Clone, Copy, Debug)]
struct Usual {
    deadline_ms: f64,
    seen: u32,
    /// Share of requests that were far below the estimate without a shortage.
    doubt: f64,
}

impl Usual {
    fn take(&mut self, deadline_ms: f64, step: f64) {
        let step = if deadline_ms > self.deadline_ms { step * UP } else { -step };
        self.deadline_ms *= 1.0 + step;
        self.seen = self.seen.saturating_add(1);
    }

    /// Uses the lowest of the first deadlines. Otherwise a single deadline far longer than usual
    /// would affect thousands of requests, and first tries would look like later ones.
    fn begin(&mut self, deadline_ms: f64) {
        if self.seen < MIN_SEEN {
            self.deadline_ms = self.deadline_ms.min(deadline_ms);
        }
    }

    fn note_calm(&mut self, looks_later: bool) {
        self.doubt += DOUBT_STEP * (f64::from(u8::from(looks_later)) - self.doubt);
    }

    /// Whether a deadline far below the estimate shows that a request is a later try.
    fn is_evidence(&self) -> bool {
        self.seen >= MIN_SEEN && self.doubt <= MAX_DOUBT
    }

    fn is_far_above(&self, deadline_ms: f64) -> bool {
        deadline_ms < self.deadline_ms * LATER_SHARE
    }
}

/// Estimates of the usual deadline for each route and for each workspace on a route, learned from
/// the requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsualDeadlines {
    routes: BTreeMap<String, Usual>,
    workspaces: BTreeMap<(String, WorkspaceId), Usual>,
}

impl UsualDeadlines {
    /// Updates the estimates with a request and returns whether it looks like a later try. A
    /// request without a deadline does not. `is_calm` means that no caller was refused recently, so
    /// that none comes back.
    pub(crate) fn is_later(&mut self, arrival: &Arrival, is_calm: bool) -> bool {
        let Some(deadline) = arrival.deadline_ms.map(|it| it.max(LEAST) as f64) else {
            return false;
        };
        let route = kept(&mut self.routes, arrival.route.clone(), deadline);
        route.begin(deadline);
        let of_route = *route;
        route.take(deadline, ROUTE_STEP);
        let of_workspace = match &arrival.workspace {
            None => of_route,
            Some(workspace) => {
                let key = (arrival.route.clone(), workspace.clone());
                let usual = kept(&mut self.workspaces, key, of_route.deadline_ms);
                let before = *usual;
                usual.take(deadline, WORKSPACE_STEP);
                before
            }
        };
        let is_below = of_route.is_far_above(deadline) && of_workspace.is_far_above(deadline);
        if is_calm {
            kept(&mut self.routes, arrival.route.clone(), deadline).note_calm(is_below);
        }
        is_below && of_route.is_evidence()
    }
}

/// Returns the estimate for a key, which is initialized with this deadline.
fn kept<K: Ord>(all: &mut BTreeMap<K, Usual>, key: K, deadline_ms: f64) -> &mut Usual {
    if all.len() >= MAX_KEPT && !all.contains_key(&key) {
        all.clear();
    }
    all.entry(key).or_insert(Usual { deadline_ms, seen: 0, doubt: 0.0 })
}
