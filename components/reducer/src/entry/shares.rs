//! Fair sharing between workspaces. The workspace with the fewest running requests is served first, and a
//! full queue drops requests of the workspace with the most waiting ones.

use std::collections::BTreeMap;

use fleet::{RequestId, WorkspaceId};

use super::queue::QueuePosition;
use super::Entry;

/// The number of requests of each workspace that are running at upstreams.
#[derive(Default)]
pub(super) struct Shares {
    running: BTreeMap<WorkspaceId, u32>,
}

impl Shares {
    /// Counts a request that was sent to an upstream.
    pub(super) fn acquire(&mut self, workspace: &WorkspaceId) {
        *self.running.entry(workspace.clone()).or_default() += 1;
    }

    /// Counts a request that has left its upstream.
    pub(super) fn release(&mut self, workspace: &WorkspaceId) {
        if let Some(running) = self.running.get_mut(workspace) {
            *running = running.saturating_sub(1);
        }
        self.running.retain(|_, running| *running > 0);
    }

    fn running(&self, workspace: &WorkspaceId) -> u32 {
        self.running.get(workspace).copied().unwrap_or(0)
    }
}

impl Entry {
    /// The waiting requests in dispatch order: by priority, then by the number of running requests of the
    /// workspace, then by deadline.
    pub(super) fn dispatch_order(&self) -> Vec<QueuePosition> {
        let mut dispatch_order: Vec<QueuePosition> = self.queue.iter().copied().collect();
        dispatch_order.sort_by_cached_key(|position| {
            let workspace = self.workspace_of(position.request);
            let running = workspace.map_or(0, |it| self.shares.running(it));
            (position.priority, running, position.deadline, position.request)
        });
        dispatch_order
    }

    /// The waiting request to reject so that a request of the workspace `newcomer` can be queued: the last
    /// one of the workspace with the most waiting requests, if that workspace has at least two more waiting
    /// than `newcomer`.
    pub(super) fn find_request_to_drop(&self, newcomer: &WorkspaceId) -> Option<QueuePosition> {
        let mut waiting: BTreeMap<&WorkspaceId, usize> = BTreeMap::new();
        for workspace in
            self.queue.iter().filter_map(|position| self.workspace_of(position.request))
        {
            *waiting.entry(workspace).or_default() += 1;
        }
        let own = waiting.get(newcomer).copied().unwrap_or(0);
        let (largest, count) = waiting.into_iter().max_by_key(|(_, count)| *count)?;
        if count <= own + 1 {
            return None;
        }
        let is_of_largest =
            |position: &&QueuePosition| self.workspace_of(position.request) == Some(largest);
        self.queue.iter().rev().find(is_of_largest).copied()
    }

    fn workspace_of(&self, request: RequestId) -> Option<&WorkspaceId> {
        self.requests.get(&request).map(|progress| progress.workspace())
    }
}
