//! What the requests of a process have to know of its planned stop.

use std::cell::Cell;

use fleet::Millis;

/// How far a planned stop has come.
#[derive(Debug, Default)]
pub struct StopState {
    plan: Cell<Option<StopPlan>>,
    is_over: Cell<bool>,
}

/// The times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct StopPlan {
    /// When the platform has detected the stop.
    pub detected_at: Millis,
    /// When the last requests end.
    pub requests_end: Millis,
}

impl StopState {
    /// Begins the stop.
    pub fn begin(&self, plan: StopPlan) {
        self.plan.set(Some(plan));
    }

    /// Whether the process is stopping.
    pub fn has_begun(&self) -> bool {
        self.plan.get().is_some()
    }

    /// Whether a request that arrives at `now` and may take until `deadline` is refused, since it may not end
    /// before the process does. A request that the platform sends before it has detected the stop is served.
    pub fn refuses(&self, now: Millis, deadline: Millis) -> bool {
        let plan = self.plan.get();
        plan.is_some_and(|it| it.detected_at <= now && it.requests_end < deadline)
    }

    /// Ends all requests.
    pub fn end_requests(&self) {
        self.is_over.set(true);
    }

    /// Whether no request may go on.
    pub fn is_over(&self) -> bool {
        self.is_over.get()
    }
}

#[cfg(test)]
mod tests;
