//! Admission control of an agent, the last check before a request is sent to the upstream.

use std::collections::BTreeSet;

use errors::Code;
use fleet::{Backoff, Millis, RequestId, VersionId};
use wire::{Call, Load, Serving};

/// Admits or rejects requests according to the limit and the state of the upstream.
pub struct Admission {
    limit: u32,
    running: BTreeSet<RequestId>,
    /// The backoff that the upstream has requested.
    backoff: Backoff<RequestId>,
    /// Never reset: an agent that stops does not admit work again.
    stopping: bool,
}

/// The state of the instance that decides on admission, besides the number of running requests.
pub struct InstanceState<'a> {
    /// Whether the instance is leaving, according to the configuration or the platform's list.
    pub leaving: bool,
    /// What the engine serves; `None` for a plain service.
    pub serving: Option<&'a [Serving]>,
    /// Whether this agent knows that its configuration is up to date.
    pub current: bool,
}

impl Admission {
    /// Creates an admission control that lets `limit` requests run at once.
    pub fn new(limit: u32) -> Self {
        Self { limit, running: BTreeSet::new(), backoff: Backoff::default(), stopping: false }
    }

    /// Admits a request, or returns the reason for rejecting it. A rejected request has not run.
    pub fn admit(
        &mut self,
        now: Millis,
        arrived: Millis,
        call: &Call,
        state: &InstanceState<'_>,
    ) -> Result<Option<VersionId>, Code> {
        if self.stopping {
            return Err(Code::Stopping);
        }
        if state.leaving {
            return Err(Code::Leaving);
        }
        if !state.current {
            return Err(Code::NotReady);
        }
        if now.since(arrived).0 >= call.budget_ms {
            return Err(Code::TooLate);
        }
        if self.running.contains(&call.request) {
            return Err(Code::AlreadyRun);
        }
        let version = find_version(call, state.serving)?;
        let has_free_slot = (self.running.len() as u32) < self.limit;
        if !has_free_slot || !self.backoff.admit(now, call.request) {
            return Err(Code::Overloaded);
        }
        self.running.insert(call.request);
        self.backoff.note_sent(call.request);
        Ok(version)
    }

    /// Frees the slot of a request.
    pub fn end(&mut self, request: RequestId) {
        self.running.remove(&request);
        self.backoff.note_end(request);
    }

    /// Handles that the upstream began to answer a request (`backoff_ms` is zero) or rejected it and requested
    /// a backoff of `backoff_ms`. Without this, requests would still be sent to an upstream that has requested
    /// a backoff.
    pub fn handle_answer(&mut self, now: Millis, request: RequestId, backoff_ms: u64) {
        if backoff_ms > 0 {
            self.backoff.begin(now, backoff_ms);
        } else {
            self.backoff.note_run(request);
        }
    }

    /// The remaining backoff that the upstream has requested, in milliseconds.
    pub fn backoff_left_ms(&self, now: Millis) -> u64 {
        self.backoff.left_ms(now)
    }

    /// Rejects all further requests.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether the agent is stopping and no request is running.
    pub fn is_drained(&self) -> bool {
        self.stopping && self.running.is_empty()
    }

    /// The load to report.
    pub fn load(&self) -> Load {
        Load { running: self.running.len() as u32, limit: self.limit, uploads: 0 }
    }
}

/// The version that will answer the call; `None` for a plain service.
fn find_version(call: &Call, serving: Option<&[Serving]>) -> Result<Option<VersionId>, Code> {
    let Some(serving) = serving else {
        return if call.model.is_none() { Ok(None) } else { Err(Code::NotServing) };
    };
    let found = serving.iter().find(|it| Some(&it.model) == call.model.as_ref());
    let found = found.ok_or(Code::NotServing)?;
    match call.version {
        Some(version) if version != found.version => Err(Code::NotServing),
        _ => Ok(Some(found.version)),
    }
}

#[cfg(test)]
mod tests;
