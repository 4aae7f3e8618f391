//! Evacuations of data halls. While a hall is evacuated, no new requests are sent to its runners.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ablation::{Ablation, Mechanism};
use crate::id::Hall;
use crate::store_position::StorePosition;
use crate::Millis;

/// The fraction of the evacuation time, less `PROPAGATION_MARGIN_MS`, during which requests are still sent to the hall.
/// Stopping at once would overload the other halls, and fewer requests would be answered in time.
const GRADUAL_FRACTION: f64 = 0.75;

/// An evacuated data hall, as processes report it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The hall.
    pub hall: Hall,
    /// Time since the evacuation was acknowledged, in milliseconds. `None` if unknown.
    pub age_ms: Option<u64>,
}

/// All evacuated halls known to one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationList {
    /// The position in the store's history that the list was read at. A list of an earlier position is
    /// outdated.
    pub place: StorePosition,
    /// The evacuated halls.
    pub evacuated: Vec<Evacuation>,
}

/// A change made by a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The evacuation of a hall has started.
    Began {
        /// The evacuation.
        evacuation: Evacuation,
        /// Time until no more requests are sent to the hall, in milliseconds.
        left_in_ms: u64,
        /// The position in the store's history at which the change was read.
        position: StorePosition,
    },
    /// The evacuation of a hall has ended.
    Ended {
        /// The hall.
        hall: Hall,
        /// The position in the store's history at which the change was read.
        position: StorePosition,
    },
}

/// The evacuated halls, and until when requests may still be sent to them.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Time from the acknowledgement of an evacuation until no more requests are sent to the hall, in
    /// milliseconds.
    gradual_ms: u64,
    /// The position in the store's history of the latest list, and the time at which the latest list with an
    /// era was received.
    position: StorePosition,
    era_received_at: Millis,
    /// The time at which each evacuation was acknowledged, if known.
    acknowledged_at: BTreeMap<Hall, Option<Millis>>,
    /// Halls that are missing in the store since it was restored from a copy, with the time until which they
    /// still count as evacuated.
    unconfirmed: BTreeMap<Hall, Millis>,
}

impl Evacuations {
    /// Part of the evacuation deadline that is reserved, in milliseconds: for the propagation of the change
    /// from the store to a gateway, for connecting to a runner, and for a machine that is short of processor
    /// time.
    pub const PROPAGATION_MARGIN_MS: u64 = 1000;

    /// How long a hall still counts as evacuated if its row is missing after the store was restored from a
    /// copy, in milliseconds. The row may be among the lost ones, and operators write those again. The time
    /// equals that for which an outage of the store is excused.
    pub const LOST_ROW_GRACE_MS: u64 = 3000;
    /// How long after the latest list with an era a list without one is rejected as outdated, in
    /// milliseconds. Such a list comes from a process of a build without eras; if only such processes remain,
    /// their lists are the only source. Lists arrive once per second.
    const ERA_TIMEOUT_MS: u64 = 10_000;

    /// Creates an empty set. `evacuate_ms` is the time within which requests to an evacuated hall must stop;
    /// without it they stop at once.
    pub fn new(evacuate_ms: Option<u64>, ablation: &Ablation) -> Self {
        let mut evacuations = Self::default();
        evacuations.set_deadline(evacuate_ms, ablation);
        evacuations
    }

    /// Changes the evacuation deadline, also for evacuations in progress.
    pub fn set_deadline(&mut self, evacuate_ms: Option<u64>, ablation: &Ablation) {
        let deadline_ms = evacuate_ms.filter(|_| ablation.is_enabled(Mechanism::EvenLeaving));
        let remaining_ms = deadline_ms.unwrap_or(0).saturating_sub(Self::PROPAGATION_MARGIN_MS);
        self.gradual_ms = (remaining_ms as f64 * GRADUAL_FRACTION) as u64;
    }

    /// Applies a list and returns the changes. An outdated list changes nothing.
    pub fn take(&mut self, now: Millis, list: &EvacuationList) -> Vec<EvacuationChange> {
        if !self.is_current(now, list.place) {
            return Vec::new();
        }
        if list.place.is_of_later_era(self.position) {
            let grace = now.plus(Self::LOST_ROW_GRACE_MS);
            self.unconfirmed =
                self.acknowledged_at.keys().map(|hall| (hall.clone(), grace)).collect();
        }
        self.position = list.place;
        if list.place.era.is_some() {
            self.era_received_at = now;
        }
        for evacuation in &list.evacuated {
            self.unconfirmed.remove(&evacuation.hall);
        }
        let mut changes = self.end_missing(now, list);
        for evacuation in &list.evacuated {
            changes.extend(self.begin(now, evacuation));
        }
        changes
    }

    /// Returns whether a list at `position` is not older than the current state.
    fn is_current(&self, now: Millis, position: StorePosition) -> bool {
        let lacks_era = position.era.is_none() && self.position.era.is_some();
        if lacks_era {
            return now.since(self.era_received_at).0 > Self::ERA_TIMEOUT_MS;
        }
        position >= self.position
    }

    /// Ends the evacuations that are missing in a list, except those whose rows the store may have lost.
    fn end_missing(&mut self, now: Millis, list: &EvacuationList) -> Vec<EvacuationChange> {
        let is_listed = |hall: &Hall| list.evacuated.iter().any(|it| &it.hall == hall);
        let is_within_grace =
            |hall: &Hall| self.unconfirmed.get(hall).is_some_and(|until| now < *until);
        let has_ended = |hall: &&Hall| !is_listed(hall) && !is_within_grace(hall);
        let ended: Vec<Hall> = self.acknowledged_at.keys().filter(has_ended).cloned().collect();
        ended.into_iter().map(|hall| self.end(hall)).collect()
    }

    /// Ends the evacuations whose rows were lost by the store and were not written again in time.
    pub fn expire_unconfirmed(&mut self, now: Millis) -> Vec<EvacuationChange> {
        let due = |(hall, until): (&Hall, &Millis)| (now >= *until).then(|| hall.clone());
        let ended: Vec<Hall> = self.unconfirmed.iter().filter_map(due).collect();
        ended.into_iter().map(|hall| self.end(hall)).collect()
    }

    fn end(&mut self, hall: Hall) -> EvacuationChange {
        self.acknowledged_at.remove(&hall);
        self.unconfirmed.remove(&hall);
        EvacuationChange::Ended { hall, position: self.position }
    }

    /// Adds one evacuation. If it is known already, the earliest known time of acknowledgement is kept.
    fn begin(&mut self, now: Millis, evacuation: &Evacuation) -> Option<EvacuationChange> {
        let at = evacuation.age_ms.map(|age| now.minus(age));
        if let Some(known) = self.acknowledged_at.get_mut(&evacuation.hall) {
            *known = (*known).into_iter().chain(at).min();
            return None;
        }
        self.acknowledged_at.insert(evacuation.hall.clone(), at);
        let left_in_ms = at.map_or(0, |at| at.plus(self.gradual_ms).since(now).0);
        let evacuation = evacuation.clone();
        Some(EvacuationChange::Began { evacuation, left_in_ms, position: self.position })
    }

    /// Returns whether requests may be sent to the runners of a hall.
    pub fn admit(&self, now: Millis, hall: &Hall) -> bool {
        self.progress(now, hall) < 1.0
    }

    /// The progress of an evacuation: 0 if the hall is not evacuated, 1 if no more requests are sent to it.
    pub fn progress(&self, now: Millis, hall: &Hall) -> f64 {
        match self.acknowledged_at.get(hall) {
            None => 0.0,
            Some(Some(at)) if now < at.plus(self.gradual_ms) => {
                now.since(*at).0 as f64 / self.gradual_ms as f64
            }
            Some(_) => 1.0,
        }
    }

    /// The number of evacuated halls.
    pub fn len(&self) -> usize {
        self.acknowledged_at.len()
    }

    /// Returns whether no hall is evacuated.
    pub fn is_empty(&self) -> bool {
        self.acknowledged_at.is_empty()
    }

    /// The list to send to other processes.
    pub fn list(&self, now: Millis) -> EvacuationList {
        let evacuation = |(hall, at): (&Hall, &Option<Millis>)| Evacuation {
            hall: hall.clone(),
            age_ms: at.map(|at| now.since(at).0),
        };
        let evacuated = self.acknowledged_at.iter().map(evacuation).collect();
        EvacuationList { place: self.position, evacuated }
    }
}
