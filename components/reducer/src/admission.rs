//! The last gate before an upstream.

use std::collections::BTreeSet;

use errors::Code;
use fleet::{Millis, RequestId, Rest, VersionId};
use wire::{Call, Load, Serving};

/// How an agent admits requests.
pub struct Admission {
    limit: u32,
    running: BTreeSet<RequestId>,
    /// The rest that the upstream asked for.
    rest: Rest<RequestId>,
    /// Set once; an agent that stops never takes work again.
    stopping: bool,
}

/// What the gate looks at besides its own count.
pub struct Standing<'a> {
    /// Whether the instance is leaving, by whichever route that became known.
    pub leaving: bool,
    /// What the engine serves; `None` beside a plain service.
    pub serving: Option<&'a [Serving]>,
    /// Whether this agent knows that its configuration is not behind.
    pub current: bool,
}

impl Admission {
    /// A gate that lets `limit` requests run at once.
    pub fn new(limit: u32) -> Self {
        Self { limit, running: BTreeSet::new(), rest: Rest::default(), stopping: false }
    }

    /// Takes a request in, or says why not. A refused request has certainly not run.
    pub fn admit(
        &mut self,
        now: Millis,
        arrived: Millis,
        call: &Call,
        standing: &Standing<'_>,
    ) -> Result<Option<VersionId>, Code> {
        if self.stopping {
            return Err(Code::Stopping);
        }
        if standing.leaving {
            return Err(Code::Leaving);
        }
        if !standing.current {
            return Err(Code::NotReady);
        }
        if now.since(arrived).0 >= call.budget_ms {
            return Err(Code::TooLate);
        }
        if self.running.contains(&call.request) {
            return Err(Code::AlreadyRun);
        }
        let version = find_version(call, standing.serving)?;
        let has_room = (self.running.len() as u32) < self.limit;
        if !has_room || !self.rest.admit(now, call.request) {
            return Err(Code::Overloaded);
        }
        self.running.insert(call.request);
        self.rest.note_sent(call.request);
        Ok(version)
    }

    /// Gives the place of a request back.
    pub fn end(&mut self, request: RequestId) {
        self.running.remove(&request);
        self.rest.note_end(request);
    }

    /// Takes in that the upstream began to answer a request, or turned it away and wants to be left alone
    /// for so many milliseconds. Otherwise requests would go on to an upstream that has asked for rest.
    pub fn take_answer(&mut self, now: Millis, request: RequestId, rest_ms: u64) {
        if rest_ms > 0 {
            self.rest.begin(now, rest_ms);
        } else {
            self.rest.note_run(request);
        }
    }

    /// How much longer the upstream wants to be left alone, in milliseconds.
    pub fn rest_left_ms(&self, now: Millis) -> u64 {
        self.rest.left_ms(now)
    }

    /// Takes no new work from now on.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether a stop was asked for and nothing runs any more.
    pub fn is_drained(&self) -> bool {
        self.stopping && self.running.is_empty()
    }

    /// The load to report.
    pub fn load(&self) -> Load {
        Load { running: self.running.len() as u32, limit: self.limit, uploads: 0 }
    }
}

/// The version that answers the call, `None` beside a plain service.
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
