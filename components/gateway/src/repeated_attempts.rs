//! Detects repeated attempts of callers that were refused before.
//!
//! Nothing on the wire marks them. But a caller that comes back has less time left than before: its
//! deadline is shorter than usual on its route by the time that it stayed away. A first attempt
//! that is served is on time and a repeated one is late, so first attempts are preferred when
//! capacity is short.
//!
//! A caller whose deadline is always short looks the same. The usual deadline is therefore learned
//! for each workspace as well, and sidecars keep a part of their slots for repeated attempts. If
//! many requests look like repeated attempts although none was refused, the deadline is no
//! evidence, and no request is treated as a repeated attempt.

use std::collections::BTreeMap;

use fleet::WorkspaceId;

use crate::event::Arrival;

/// Part of the usual deadline below which a request counts as a repeated attempt. First attempts of
/// one route differ by less, and a caller that stayed away comes back with less.
const LATER_TRY_DEADLINE_SHARE: f64 = 0.8;
/// The shortest deadline used in the estimate, in milliseconds: an estimate of zero would never
/// change again.
const MIN_DEADLINE_MS: u64 = 1;
/// Requests of a route before its usual deadline counts as known.
const MIN_REQUESTS: u32 = 16;
/// Relative change of the estimate of a route by one request below it. A request above it changes
/// it three times as much, so the estimate settles where three of four requests are below. Later
/// tries, which are fewer than the first ones, hardly change it.
const ROUTE_STEP: f64 = 0.004;
/// The same for the estimate of one workspace on a route, which has few requests to learn from.
const WORKSPACE_STEP: f64 = 0.02;
/// Factor by which a request above the estimate changes it more than one below.
const UPWARD_FACTOR: f64 = 3.0;
/// Maximum share of requests that look like repeated attempts without a shortage. Above it the
/// deadline is no evidence: it is about twice the part of the slots that sidecars keep for repeated
/// attempts, and with a larger share few callers whose deadline is always short would be served.
const MAX_LOOKALIKE_SHARE: f64 = 0.1;
/// Weight of one request in that share, which is thus an average of about the last fifty.
const LOOKALIKE_STEP: f64 = 0.02;
/// Maximum number of estimates. When it is reached, all are dropped.
const MAX_ESTIMATES: usize = 4096;

/// An estimate of the usual deadline.
#[derive(Clone, Copy, Debug)]
struct DeadlineEstimate {
    deadline_ms: f64,
    requests: u32,
    /// Share of requests that were far below the estimate without a shortage.
    lookalike_share: f64,
}

impl DeadlineEstimate {
    fn update(&mut self, deadline_ms: f64, step: f64) {
        let step = if deadline_ms > self.deadline_ms { step * UPWARD_FACTOR } else { -step };
        self.deadline_ms *= 1.0 + step;
        self.requests = self.requests.saturating_add(1);
    }

    /// Uses the lowest of the first deadlines. Otherwise a single deadline far longer than usual
    /// would affect thousands of requests, and first attempts would look like repeated ones.
    fn lower_initial(&mut self, deadline_ms: f64) {
        if self.requests < MIN_REQUESTS {
            self.deadline_ms = self.deadline_ms.min(deadline_ms);
        }
    }

    fn note_without_shortage(&mut self, looks_repeated: bool) {
        self.lookalike_share +=
            LOOKALIKE_STEP * (f64::from(u8::from(looks_repeated)) - self.lookalike_share);
    }

    /// Whether a deadline far below the estimate shows that a request is a repeated attempt.
    fn is_evidence(&self) -> bool {
        self.requests >= MIN_REQUESTS && self.lookalike_share <= MAX_LOOKALIKE_SHARE
    }

    fn is_far_above(&self, deadline_ms: f64) -> bool {
        deadline_ms < self.deadline_ms * LATER_TRY_DEADLINE_SHARE
    }
}

/// Estimates of the usual deadline for each route and for each workspace on a route, learned from
/// the requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsualDeadlines {
    routes: BTreeMap<String, DeadlineEstimate>,
    workspaces: BTreeMap<(String, WorkspaceId), DeadlineEstimate>,
}

impl UsualDeadlines {
    /// Updates the estimates with a request and returns whether it looks like a repeated attempt. A
    /// request without a deadline does not. `is_calm` means that no caller was refused recently, so
    /// that none comes back.
    pub(crate) fn is_repeated(&mut self, arrival: &Arrival, is_calm: bool) -> bool {
        let Some(deadline) = arrival.deadline_ms.map(|it| it.max(MIN_DEADLINE_MS) as f64) else {
            return false;
        };
        let route = estimate_for(&mut self.routes, arrival.route.clone(), deadline);
        route.lower_initial(deadline);
        let of_route = *route;
        route.update(deadline, ROUTE_STEP);
        let of_workspace = match &arrival.workspace {
            None => of_route,
            Some(workspace) => {
                let key = (arrival.route.clone(), workspace.clone());
                let usual = estimate_for(&mut self.workspaces, key, of_route.deadline_ms);
                let before = *usual;
                usual.update(deadline, WORKSPACE_STEP);
                before
            }
        };
        let is_below = of_route.is_far_above(deadline) && of_workspace.is_far_above(deadline);
        if is_calm {
            estimate_for(&mut self.routes, arrival.route.clone(), deadline)
                .note_without_shortage(is_below);
        }
        is_below && of_route.is_evidence()
    }
}

/// Returns the estimate for a key, which is initialized with this deadline.
fn estimate_for<K: Ord>(
    all: &mut BTreeMap<K, DeadlineEstimate>,
    key: K,
    deadline_ms: f64,
) -> &mut DeadlineEstimate {
    if all.len() >= MAX_ESTIMATES && !all.contains_key(&key) {
        all.clear();
    }
    all.entry(key).or_insert(DeadlineEstimate { deadline_ms, requests: 0, lookalike_share: 0.0 })
}
