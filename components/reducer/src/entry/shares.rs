//! Fair shares between workspaces: whoever has the least running goes first, and a full queue makes
//! room at the cost of whoever waits most.

use std::collections::BTreeMap;

use fleet::{RequestId, WorkspaceId};

use super::queue::Place;
use super::Entry;

/// How many requests each workspace has at upstreams.
#[derive(Default)]
pub(super) struct Shares {
    running: BTreeMap<WorkspaceId, u32>,
}

impl Shares {
    /// Counts a request that went to an upstream.
    pub(super) fn take(&mut self, workspace: &WorkspaceId) {
        *self.running.entry(workspace.clone()).or_default() += 1;
    }

    /// Counts a request that left its upstream.
    pub(super) fn give_back(&mut self, workspace: &WorkspaceId) {
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
    /// The waiting requests in the order of their turns: high priority, then the workspace with the
    /// least running, then the nearest deadline.
    pub(super) fn turns(&self) -> Vec<Place> {
        let mut turns: Vec<Place> = self.queue.iter().copied().collect();
        turns.sort_by_cached_key(|place| {
            let workspace = self.workspace_of(place.request);
            let running = workspace.map_or(0, |it| self.shares.running(it));
            (place.priority, running, place.deadline, place.request)
        });
        turns
    }

    /// The request that has to go so that one of `newcomer` can wait: the last one of the workspace
    /// that waits most, if that has clearly more waiting than the newcomer's.
    pub(super) fn find_surplus(&self, newcomer: &WorkspaceId) -> Option<Place> {
        let mut waiting: BTreeMap<&WorkspaceId, usize> = BTreeMap::new();
        for workspace in self.queue.iter().filter_map(|place| self.workspace_of(place.request)) {
            *waiting.entry(workspace).or_default() += 1;
        }
        let own = waiting.get(newcomer).copied().unwrap_or(0);
        let (largest, count) = waiting.into_iter().max_by_key(|(_, count)| *count)?;
        if count <= own + 1 {
            return None;
        }
        let theirs = |place: &&Place| self.workspace_of(place.request) == Some(largest);
        self.queue.iter().rev().find(theirs).copied()
    }

    fn workspace_of(&self, request: RequestId) -> Option<&WorkspaceId> {
        self.requests.get(&request).map(|progress| progress.workspace())
    }
}
