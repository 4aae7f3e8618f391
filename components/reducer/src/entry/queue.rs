//! Dispatch of requests to upstreams, and the queue of requests that wait for one.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use errors::Code;
use fleet::{Millis, RequestId};

use super::{AttemptId, Entry, EntryEffect, Target};

/// A position in the queue, ordered by priority and then by deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub(super) priority: Reverse<u8>,
    pub(super) deadline: Millis,
    pub(super) request: RequestId,
}

impl Entry {
    /// Sends a request to the best upstream with a free slot, or queues it.
    pub(super) fn route(&mut self, now: Millis, request: RequestId) -> Vec<EntryEffect> {
        let Some(progress) = self.requests.get(&request) else {
            return Vec::new();
        };
        let arrival = &progress.arrival;
        if now >= arrival.deadline {
            return self.refuse(request, Code::TooLate);
        }
        let (target, prefix) = (arrival.target.clone(), arrival.prefix);
        if self.is_barred(now, request, &arrival.subjects) {
            return self.refuse(request, Code::Quarantined);
        }
        let Some(progress) = self.requests.get_mut(&request) else {
            return Vec::new();
        };
        let found = self.router.choose(now, &self.control, &target, prefix, &progress.tried);
        let Some((agent, address)) = found else {
            return self.enqueue(now, request);
        };
        progress.attempts += 1;
        progress.tried.push(agent.clone());
        progress.upstream = Some(agent.clone());
        progress.is_waiting = false;
        self.shares.acquire(&progress.arrival.workspace);
        let attempt = AttemptId { request, number: progress.attempts };
        let budget_ms = progress.arrival.deadline.since(now).0;
        vec![EntryEffect::Send { attempt, agent, address, budget_ms }]
    }

    /// Queues a request. If the queue is full, either this request or one of a workspace with more waiting
    /// requests is rejected.
    fn enqueue(&mut self, now: Millis, request: RequestId) -> Vec<EntryEffect> {
        let Some(progress) = self.requests.get_mut(&request) else {
            return Vec::new();
        };
        // Upstreams that rejected the request may have a free slot when it is dispatched again.
        progress.tried.clear();
        // Rejects the request if no upstream will take it in time.
        let available_at = self.router.available_at(&self.control, &progress.arrival.target);
        if now.max(available_at) >= progress.waits_until {
            return self.refuse(request, Code::Overloaded);
        }
        let is_full = !progress.is_waiting && self.queue.len() as u32 >= self.options.queue_limit;
        progress.is_waiting = true;
        let arrival = &progress.arrival;
        let position = QueuePosition {
            priority: Reverse(arrival.priority),
            deadline: arrival.deadline,
            request,
        };
        let workspace = arrival.workspace.clone();
        let mut effects = Vec::new();
        if is_full {
            let Some(dropped) = self.find_request_to_drop(&workspace) else {
                return self.refuse(request, Code::Overloaded);
            };
            self.queue.remove(&dropped);
            effects = self.refuse(dropped.request, Code::WorkspaceLimit);
        }
        self.queue.insert(position);
        effects
    }

    /// Sends waiting requests while upstreams have free slots, and rejects those that have waited too long.
    pub(super) fn dispatch(&mut self, now: Millis) -> Vec<EntryEffect> {
        let mut effects = Vec::new();
        let mut full_targets: BTreeSet<Target> = BTreeSet::new();
        for position in self.dispatch_order() {
            let request = position.request;
            let Some(progress) = self.requests.get(&request) else {
                self.queue.remove(&position);
                continue;
            };
            let target = progress.arrival.target.clone();
            if full_targets.contains(&target)
                && now < progress.arrival.deadline.min(progress.waits_until)
            {
                continue;
            }
            self.queue.remove(&position);
            let routed = self.route(now, request);
            if routed.is_empty() {
                full_targets.insert(target);
            }
            effects.extend(routed);
        }
        effects
    }
}
