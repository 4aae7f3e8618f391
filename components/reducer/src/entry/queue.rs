//! Requests on their way to an upstream, and those that wait for one.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use errors::Code;
use fleet::{Millis, RequestId};

use super::{AttemptId, Entry, EntryEffect, Target};

/// A place in the queue: high priority first, then the nearest deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub(super) priority: Reverse<u8>,
    pub(super) deadline: Millis,
    pub(super) request: RequestId,
}

impl Entry {
    /// Sends a request to the best upstream with room, or lets it wait.
    pub(super) fn route(&mut self, now: Millis, request: RequestId) -> Vec<EntryEffect> {
        let Some(progress) = self.requests.get_mut(&request) else {
            return Vec::new();
        };
        let arrival = &progress.arrival;
        if now >= arrival.deadline {
            return self.refuse(request, Code::TooLate);
        }
        let (target, prefix, digest) = (arrival.target.clone(), arrival.prefix, arrival.digest);
        if self.is_barred(now, request, digest) {
            return self.refuse(request, Code::Quarantined);
        }
        let Some(progress) = self.requests.get_mut(&request) else {
            return Vec::new();
        };
        let found = self.router.choose(now, &self.control, &target, prefix, &progress.tried);
        let Some((agent, address)) = found else {
            return self.wait(now, request);
        };
        progress.tries += 1;
        progress.tried.push(agent.clone());
        progress.at = Some(agent.clone());
        progress.waiting = false;
        self.shares.take(&progress.arrival.workspace);
        let attempt = AttemptId { request, number: progress.tries };
        let budget_ms = progress.arrival.deadline.since(now).0;
        vec![EntryEffect::Send { attempt, agent, address, budget_ms }]
    }

    /// Lets a request wait. Where the queue is full it or one of a workspace that has more waiting is refused.
    fn wait(&mut self, now: Millis, request: RequestId) -> Vec<EntryEffect> {
        let Some(progress) = self.requests.get_mut(&request) else {
            return Vec::new();
        };
        // Upstreams that refused a moment ago may have room again by the next turn.
        progress.tried.clear();
        // A place that comes too late need not be waited for.
        let available_at = self.router.available_at(&self.control, &progress.arrival.target);
        if now.max(available_at) >= progress.waits_until {
            return self.refuse(request, Code::Overloaded);
        }
        let full = !progress.waiting && self.queue.len() as u32 >= self.options.queue_limit;
        progress.waiting = true;
        let arrival = &progress.arrival;
        let place =
            Place { priority: Reverse(arrival.priority), deadline: arrival.deadline, request };
        let workspace = arrival.workspace.clone();
        let mut effects = Vec::new();
        if full {
            let Some(surplus) = self.find_surplus(&workspace) else {
                return self.refuse(request, Code::Overloaded);
            };
            self.queue.remove(&surplus);
            effects = self.refuse(surplus.request, Code::WorkspaceLimit);
        }
        self.queue.insert(place);
        effects
    }

    /// Sends waiting requests on while there is room, and ends those that are too late.
    pub(super) fn dispatch(&mut self, now: Millis) -> Vec<EntryEffect> {
        let mut effects = Vec::new();
        let mut full: BTreeSet<Target> = BTreeSet::new();
        for place in self.turns() {
            let request = place.request;
            let Some(progress) = self.requests.get(&request) else {
                self.queue.remove(&place);
                continue;
            };
            let target = progress.arrival.target.clone();
            if full.contains(&target) && now < progress.arrival.deadline.min(progress.waits_until) {
                continue;
            }
            self.queue.remove(&place);
            let routed = self.route(now, request);
            if routed.is_empty() {
                full.insert(target);
            }
            effects.extend(routed);
        }
        effects
    }
}
