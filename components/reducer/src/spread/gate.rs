//! Who may draw a chunk from the origin, and when.
//!
//! Receivers that share one copy form a group. Each chunk has an owner in the group, found by
//! everyone alike, and a moment on the origin's timetable. When the owner is dead the next one steps
//! in at once; when it is alive but slow, after some patience. Nothing is written to the table.

use std::collections::{BTreeMap, BTreeSet};

use fleet::{Hall, InstanceId, Millis, VersionId};

use crate::seed::shared_hashes;

/// The shortest time a receiver waits for the one before it in rank, in milliseconds.
const MIN_PATIENCE: u64 = 2000;
/// The part of the ideal spread that a receiver waits for the one before it in rank.
const PATIENCE_SHARE: f64 = 0.25;
/// How many times as long a receiver waits where one copy is all that may be drawn. What peers hold
/// is known a little late, and an impatient receiver draws what is already on its way.
const ONE_COPY_PATIENCE: u64 = 3;
/// The part of the time that the origin's link takes for a chunk after which the next one has its turn, at the
/// least. Turns as long as the link takes leave it idle whenever one comes late; these keep a few draws waiting
/// there.
const TIMETABLE_SHARE: f64 = 0.8;
/// How long draws may wait at the origin by the last turn, as a part of the patience of the next in rank.
/// What waits there for nearly that patience is drawn twice, and then everything behind it waits longer.
const WAITING_SHARE: f64 = 0.1;
/// How many ranks of patience a receiver waits at most before it draws as a last resort.
const LAST_RESORT_RANKS: u64 = 6;

/// The timetable and the ranks of one version at one receiver.
#[derive(Debug)]
pub struct Gate {
    me: InstanceId,
    version: VersionId,
    /// The other receivers of this group.
    others: Vec<InstanceId>,
    /// Those of them that are known to be down.
    down: BTreeSet<InstanceId>,
    /// For each chunk, how many of the others that are up come before this instance. It is asked for with
    /// each draw, so it must not cost a walk.
    ranks: Vec<u32>,
    /// For each chunk, who of the others that are up comes first of them.
    first_others: Vec<Option<usize>>,
    chunks: u32,
    /// For each chunk, how many others have their turn at the origin before it.
    turns: Vec<u32>,
    /// Milliseconds between two chunks of this group.
    step_ms: f64,
    patience_ms: u64,
}

/// What a gate is made from.
#[derive(Clone, Copy, Debug)]
pub struct GateOptions {
    /// How many copies may be drawn; each group of halls draws one.
    pub copies: u32,
    /// Milliseconds the origin's link takes for one chunk.
    pub chunk_ms: f64,
    /// Milliseconds this instance's link takes for the whole version.
    pub version_ms: f64,
    /// How long a receiver waits for the one before it in rank, in milliseconds. `None` derives it
    /// from the time that the whole version takes.
    pub patience_ms: Option<u64>,
}

impl Gate {
    /// Ranks the receivers of a version.
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
        let patience = ((options.version_ms * PATIENCE_SHARE) as u64).max(MIN_PATIENCE);
        let patience = if options.copies == 1 { patience * ONE_COPY_PATIENCE } else { patience };
        let patience = options.patience_ms.unwrap_or(patience);
        // Groups start with different chunks.
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
            turns: (0..chunks).map(position).collect(),
            step_ms: step_ms(options.chunk_ms, chunks, patience) * f64::from(groups),
            patience_ms: patience,
        };
        gate.rank_all();
        gate
    }

    /// Whether an instance shares this group's copy.
    pub fn is_in_group(&self, id: &InstanceId) -> bool {
        id == &self.me || self.others.contains(id)
    }

    /// Takes in which receivers are known to be down. Those nobody has heard of may be up.
    pub fn set_down(&mut self, is_down: impl Fn(&InstanceId) -> bool) {
        let down: BTreeSet<InstanceId> =
            self.others.iter().filter(|id| is_down(id)).cloned().collect();
        if down != self.down {
            self.down = down;
            self.rank_all();
        }
    }

    /// How many receivers that are up come before this one for a chunk.
    pub fn rank(&self, chunk: u32) -> u64 {
        self.ranks.get(chunk as usize).map_or(0, |it| u64::from(*it))
    }

    /// The owner of a chunk. `None` where this instance is.
    pub fn owner(&self, chunk: u32) -> Option<&InstanceId> {
        if self.rank(chunk) == 0 {
            return None;
        }
        let first = self.first_others.get(chunk as usize).copied().flatten()?;
        self.others.get(first)
    }

    /// Ranks this instance for every chunk. Each receiver has a number of its own for each chunk, and the
    /// lowest goes first: receivers that know of a few others more or less still agree on most owners.
    fn rank_all(&mut self) {
        let numbers = |id: &InstanceId| {
            shared_hashes(&[&self.version.0, id.0.as_bytes()], self.chunks as usize)
        };
        let mine = numbers(&self.me);
        let mut ranks = vec![0; self.chunks as usize];
        let mut lowest: Vec<Option<(u64, &InstanceId, usize)>> = vec![None; self.chunks as usize];
        for (place, other) in self.others.iter().enumerate() {
            if self.down.contains(other) {
                continue;
            }
            for (chunk, (number, mine)) in numbers(other).into_iter().zip(&mine).enumerate() {
                let before = (number, other) < (*mine, &self.me);
                ranks[chunk] += u32::from(before);
                let entry = &mut lowest[chunk];
                if entry.is_none_or(|it| (number, other, place) < it) {
                    *entry = Some((number, other, place));
                }
            }
        }
        self.first_others = lowest.into_iter().map(|it| it.map(|it| it.2)).collect();
        self.ranks = ranks;
    }

    /// When this receiver may draw a chunk, if nobody in its group holds it by then.
    pub fn due(&self, started: Millis, chunk: u32) -> Millis {
        let rank = self.rank(chunk);
        self.timetable(started, chunk).plus(rank.saturating_mul(self.patience_ms))
    }

    /// When a chunk should long have been passed on, if whoever drew it lives.
    pub fn overdue(&self, started: Millis, chunk: u32) -> Millis {
        self.due(started, chunk).plus(self.patience_ms)
    }

    /// When this receiver may draw a chunk although peers say that they hold it.
    pub fn last_resort(&self, started: Millis, chunk: u32) -> Millis {
        let ranks = self.rank(chunk).min(LAST_RESORT_RANKS) + LAST_RESORT_RANKS;
        self.timetable(started, chunk).plus(ranks * self.patience_ms)
    }

    /// Keeps the turns that another gate of the same version has dealt.
    pub fn with_turns_of(mut self, other: &Self) -> Self {
        self.turns.clone_from(&other.turns);
        self
    }

    /// Deals the turns anew: the chunks that are still to be drawn follow each other without gaps, in the order
    /// that they had. Any other chunk, should it be missed again, may be drawn at once.
    pub fn deal_turns(&mut self, missing: &[u32]) {
        let mut ordered: Vec<u32> = missing.to_vec();
        ordered.sort_by_key(|chunk| self.turns.get(*chunk as usize));
        self.turns.fill(0);
        for (position, chunk) in (0..).zip(ordered) {
            if let Some(entry) = self.turns.get_mut(chunk as usize) {
                *entry = position;
            }
        }
    }

    /// How long after the start a chunk has its turn, in milliseconds.
    fn turn_ms(&self, chunk: u32) -> u64 {
        let position = self.turns.get(chunk as usize).copied().unwrap_or(0);
        (f64::from(position) * self.step_ms) as u64
    }

    fn timetable(&self, started: Millis, chunk: u32) -> Millis {
        started.plus(self.turn_ms(chunk))
    }
}

/// The receivers that come first for a chunk in each hall, at most `most` of a hall.
pub fn first_in_halls(
    version: VersionId,
    chunk: u32,
    receivers: &[(InstanceId, Hall)],
    most: usize,
) -> Vec<InstanceId> {
    let number = |id: &InstanceId| {
        let numbers = shared_hashes(&[&version.0, id.0.as_bytes()], chunk as usize + 1);
        numbers.last().copied()
    };
    let mut ordered: Vec<&(InstanceId, Hall)> = receivers.iter().collect();
    ordered.sort_by_cached_key(|(id, _)| (number(id), id.clone()));
    let mut counts: BTreeMap<&Hall, usize> = BTreeMap::new();
    ordered.retain(|(_, hall)| {
        let count = counts.entry(hall).or_default();
        *count += 1;
        *count <= most
    });
    ordered.into_iter().map(|(id, _)| id.clone()).collect()
}

/// The chunks of which an instance keeps the second copy, each with its owner: the instance comes first of all
/// outside the owner's hall, so that the loss of any one hall leaves each chunk with somebody.
pub fn second_of(
    me: &(InstanceId, Hall),
    version: VersionId,
    chunks: u32,
    receivers: &[(InstanceId, Hall)],
) -> BTreeMap<u32, InstanceId> {
    let others = receivers.iter().filter(|it| it.0 != me.0);
    let numbered = others.chain([me]).map(|it| {
        let numbers = shared_hashes(&[&version.0, it.0 .0.as_bytes()], chunks as usize);
        (it, numbers)
    });
    let numbered: Vec<(&(InstanceId, Hall), Vec<u64>)> = numbered.collect();
    let mut second = BTreeMap::new();
    for chunk in 0..chunks {
        let all = || numbered.iter().map(|(it, numbers)| (numbers[chunk as usize], *it));
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

/// The time between two turns at an origin whose link takes `chunk_ms` for a chunk, in milliseconds.
fn step_ms(chunk_ms: f64, chunks: u32, patience_ms: u64) -> f64 {
    let most_waiting = patience_ms as f64 * WAITING_SHARE;
    let lead = most_waiting / f64::from(chunks.max(1));
    (chunk_ms - lead).max(chunk_ms * TIMETABLE_SHARE)
}

#[cfg(test)]
mod tests;
