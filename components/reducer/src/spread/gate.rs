//! Decides which receiver may fetch a chunk from the origin, and when.
//!
//! The receivers that share one copy form a group. Each chunk has an owner in the group, which every receiver
//! computes alike, and a scheduled time at which the origin is asked for it. If the owner is dead, the next
//! receiver takes its place at once; if it is alive but slow, after a delay (the patience). The table is not
//! involved.

use std::collections::{BTreeMap, BTreeSet};

use fleet::{Hall, InstanceId, Millis, VersionId};

use crate::seed::shared_hashes;

/// Shortest time that a receiver waits for the one ranked before it.
const MIN_PATIENCE_MS: u64 = 2000;
/// Time that a receiver waits for the one ranked before it, as a share of the ideal time to distribute the
/// version.
const PATIENCE_SHARE: f64 = 0.25;
/// Factor on that time if only one copy may be fetched. Reports of what peers hold arrive with a delay,
/// and a receiver that waits too little fetches chunks that are already on their way.
const ONE_COPY_PATIENCE_FACTOR: u64 = 3;
/// Shortest interval between two scheduled chunks, as a share of the time that the origin's link takes for
/// one. With intervals as long as that time, the link is idle whenever a fetch starts late; shorter ones
/// keep a few fetches queued at the origin.
const MIN_INTERVAL_SHARE: f64 = 0.8;
/// Longest queueing time at the origin at the end of the schedule, as a share of the patience. A fetch
/// that is queued for nearly the patience is started a second time by the next receiver, which lengthens the
/// queue for all others.
const MAX_QUEUEING_SHARE: f64 = 0.1;
/// Most ranks whose patience a receiver waits before it fetches as a last resort.
const LAST_RESORT_RANKS: u64 = 6;

/// The schedule and the ranks for one version at one receiver.
#[derive(Debug)]
pub struct Gate {
    me: InstanceId,
    version: VersionId,
    /// The other receivers of the group.
    others: Vec<InstanceId>,
    /// The other receivers that are known to be down.
    down: BTreeSet<InstanceId>,
    /// For each chunk, the number of other receivers that are up and ranked before this one. Cached, because
    /// it is read for each fetch.
    ranks: Vec<u32>,
    /// For each chunk, the index in `others` of the first-ranked receiver that is up.
    first_others: Vec<Option<usize>>,
    chunks: u32,
    /// For each chunk, its position in the origin's schedule.
    schedule: Vec<u32>,
    /// Interval between two chunks of this group, in milliseconds.
    interval_ms: f64,
    patience_ms: u64,
}

/// Settings of a gate.
#[derive(Clone, Copy, Debug)]
pub struct GateOptions {
    /// Number of copies that may be fetched; each group of halls fetches one.
    pub copies: u32,
    /// Time that the origin's link takes for one chunk, in milliseconds.
    pub chunk_ms: f64,
    /// Time that this instance's link takes for the whole version, in milliseconds.
    pub version_ms: f64,
    /// How long a receiver waits for the one ranked before it, in milliseconds. `None` derives it from the
    /// time that the whole version takes.
    pub patience_ms: Option<u64>,
}

impl Gate {
    /// Creates a gate and ranks the receivers of a version.
    pub fn new(
        me: &InstanceId,
        version: VersionId,
        chunks: u32,
        receivers: &[(InstanceId, Hall)],
        options: &GateOptions,
    ) -> Self {
        let halls: BTreeSet<&Hall> = receivers.iter().map(|(_, hall)| hall).collect();
        let groups = options.copies.clamp(1, halls.len().max(1) as u32);
        let group_of = |hall: &Hall| halls.iter().position(|it| *it == hall).unwrap_or(0) as u32;
        let my_hall = receivers.iter().find(|(id, _)| id == me).map(|(_, hall)| hall);
        let group = my_hall.map_or(0, |hall| group_of(hall) % groups);
        let in_group = receivers.iter().filter(|(_, it)| group_of(it) % groups == group);
        let others = in_group.map(|(id, _)| id.clone()).filter(|id| id != me).collect();
        let patience = ((options.version_ms * PATIENCE_SHARE) as u64).max(MIN_PATIENCE_MS);
        let patience =
            if options.copies == 1 { patience * ONE_COPY_PATIENCE_FACTOR } else { patience };
        let patience = options.patience_ms.unwrap_or(patience);
        // Each group starts with a different chunk.
        let first_chunk = (u64::from(chunks) * u64::from(group) / u64::from(groups)) as u32;
        let position = |chunk: u32| (chunk + chunks - first_chunk) % chunks.max(1);
        let mut gate = Self {
            me: me.clone(),
            version,
            others,
            down: BTreeSet::new(),
            ranks: Vec::new(),
            first_others: Vec::new(),
            chunks,
            schedule: (0..chunks).map(position).collect(),
            interval_ms: interval_ms(options.chunk_ms, chunks, patience) * f64::from(groups),
            patience_ms: patience,
        };
        gate.compute_ranks();
        gate
    }

    /// Whether an instance belongs to this group.
    pub fn is_in_group(&self, id: &InstanceId) -> bool {
        id == &self.me || self.others.contains(id)
    }

    /// Sets which receivers are known to be down. Receivers of unknown state count as up.
    pub fn set_down(&mut self, is_down: impl Fn(&InstanceId) -> bool) {
        let down: BTreeSet<InstanceId> =
            self.others.iter().filter(|id| is_down(id)).cloned().collect();
        if down != self.down {
            self.down = down;
            self.compute_ranks();
        }
    }

    /// The number of receivers that are up and ranked before this one for a chunk.
    pub fn rank(&self, chunk: u32) -> u64 {
        self.ranks.get(chunk as usize).map_or(0, |it| u64::from(*it))
    }

    /// The owner of a chunk; `None` if it is this instance.
    pub fn owner(&self, chunk: u32) -> Option<&InstanceId> {
        if self.rank(chunk) == 0 {
            return None;
        }
        let first = self.first_others.get(chunk as usize).copied().flatten()?;
        self.others.get(first)
    }

    /// Ranks this instance for every chunk. Each receiver has a hash for each chunk, and the lowest comes
    /// first, so that receivers whose lists differ slightly still agree on most owners.
    fn compute_ranks(&mut self) {
        let hashes = |id: &InstanceId| {
            shared_hashes(&[&self.version.0, id.0.as_bytes()], self.chunks as usize)
        };
        let own_hash = hashes(&self.me);
        let mut ranks = vec![0; self.chunks as usize];
        let mut lowest: Vec<Option<(u64, &InstanceId, usize)>> = vec![None; self.chunks as usize];
        for (index, other) in self.others.iter().enumerate() {
            if self.down.contains(other) {
                continue;
            }
            for (chunk, (hash, own_hash)) in hashes(other).into_iter().zip(&own_hash).enumerate() {
                let before = (hash, other) < (*own_hash, &self.me);
                ranks[chunk] += u32::from(before);
                let entry = &mut lowest[chunk];
                if entry.is_none_or(|it| (hash, other, index) < it) {
                    *entry = Some((hash, other, index));
                }
            }
        }
        self.first_others = lowest.into_iter().map(|it| it.map(|it| it.2)).collect();
        self.ranks = ranks;
    }

    /// When this receiver may fetch a chunk, if nobody in its group holds it by then.
    pub fn due(&self, started: Millis, chunk: u32) -> Millis {
        let rank = self.rank(chunk);
        self.scheduled_at(started, chunk).plus(rank.saturating_mul(self.patience_ms))
    }

    /// When a chunk should have reached other receivers, if the receiver that fetched it is alive.
    pub fn overdue(&self, started: Millis, chunk: u32) -> Millis {
        self.due(started, chunk).plus(self.patience_ms)
    }

    /// When this receiver may fetch a chunk although peers report that they hold it.
    pub fn last_resort(&self, started: Millis, chunk: u32) -> Millis {
        let ranks = self.rank(chunk).min(LAST_RESORT_RANKS) + LAST_RESORT_RANKS;
        self.scheduled_at(started, chunk).plus(ranks * self.patience_ms)
    }

    /// Takes over the schedule of another gate of the same version.
    pub fn with_schedule_of(mut self, other: &Self) -> Self {
        self.schedule.clone_from(&other.schedule);
        self
    }

    /// Schedules the missing chunks again without gaps, in their previous order. All other chunks may be
    /// fetched at once, should they go missing again.
    pub fn reschedule(&mut self, missing: &[u32]) {
        let mut ordered: Vec<u32> = missing.to_vec();
        ordered.sort_by_key(|chunk| self.schedule.get(*chunk as usize));
        self.schedule.fill(0);
        for (position, chunk) in (0..).zip(ordered) {
            if let Some(entry) = self.schedule.get_mut(chunk as usize) {
                *entry = position;
            }
        }
    }

    /// Scheduled time of a chunk after the start, in milliseconds.
    fn offset_ms(&self, chunk: u32) -> u64 {
        let position = self.schedule.get(chunk as usize).copied().unwrap_or(0);
        (f64::from(position) * self.interval_ms) as u64
    }

    fn scheduled_at(&self, started: Millis, chunk: u32) -> Millis {
        started.plus(self.offset_ms(chunk))
    }
}

/// The first `max_per_hall` receivers of a chunk in each hall, in rank order.
pub fn first_ranked_in_halls(
    version: VersionId,
    chunk: u32,
    receivers: &[(InstanceId, Hall)],
    max_per_hall: usize,
) -> Vec<InstanceId> {
    let hash = |id: &InstanceId| {
        let hashes = shared_hashes(&[&version.0, id.0.as_bytes()], chunk as usize + 1);
        hashes.last().copied()
    };
    let mut ordered: Vec<&(InstanceId, Hall)> = receivers.iter().collect();
    ordered.sort_by_cached_key(|(id, _)| (hash(id), id.clone()));
    let mut counts: BTreeMap<&Hall, usize> = BTreeMap::new();
    ordered.retain(|(_, hall)| {
        let count = counts.entry(hall).or_default();
        *count += 1;
        *count <= max_per_hall
    });
    ordered.into_iter().map(|(id, _)| id.clone()).collect()
}

/// The chunks of which the instance `me` keeps the second copy, each with its owner. It is the first-ranked
/// instance outside the owner's hall, so that every chunk survives the loss of any one hall.
pub fn second_copies_of(
    me: &(InstanceId, Hall),
    version: VersionId,
    chunks: u32,
    receivers: &[(InstanceId, Hall)],
) -> BTreeMap<u32, InstanceId> {
    let others = receivers.iter().filter(|it| it.0 != me.0);
    let hashed = others.chain([me]).map(|it| {
        let hashes = shared_hashes(&[&version.0, it.0 .0.as_bytes()], chunks as usize);
        (it, hashes)
    });
    let hashed: Vec<(&(InstanceId, Hall), Vec<u64>)> = hashed.collect();
    let mut second = BTreeMap::new();
    for chunk in 0..chunks {
        let all = || hashed.iter().map(|(it, hashes)| (hashes[chunk as usize], *it));
        let Some((_, owner)) = all().min() else {
            continue;
        };
        let outside = all().filter(|(_, it)| it.1 != owner.1);
        if outside.min().is_some_and(|(_, it)| it.0 == me.0) {
            second.insert(chunk, owner.0.clone());
        }
    }
    second
}

/// Interval between two scheduled chunks at an origin whose link takes `chunk_ms` for a chunk, in
/// milliseconds.
fn interval_ms(chunk_ms: f64, chunks: u32, patience_ms: u64) -> f64 {
    let max_queueing_ms = patience_ms as f64 * MAX_QUEUEING_SHARE;
    let reduction_ms = max_queueing_ms / f64::from(chunks.max(1));
    (chunk_ms - reduction_ms).max(chunk_ms * MIN_INTERVAL_SHARE)
}

#[cfg(test)]
mod tests;
