//! Evacuations of data halls: nothing new is sent to the runners there until the hall is taken back.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ablation::{Ablation, Mechanism};
use crate::id::Hall;
use crate::store_place::StorePlace;
use crate::Millis;

/// The part of the rest in which requests still go there. Leaving a hall at once would crowd the others,
/// and fewer callers would be answered in time.
const LEAVING_SHARE: f64 = 0.75;

/// A data hall that is evacuated, as processes tell each other of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The hall.
    pub hall: Hall,
    /// How long ago that was acknowledged, in milliseconds. `None` where nobody knows.
    pub age_ms: Option<u64>,
}

/// Every hall that is evacuated, as one process knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationList {
    /// The place in the store's history that the list is of. A list of an earlier one is old.
    pub place: StorePlace,
    /// The halls.
    pub evacuated: Vec<Evacuation>,
}

/// What a list changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// A hall is evacuated.
    Began {
        /// The evacuation.
        evacuation: Evacuation,
        /// After how many milliseconds nothing is sent there any more.
        left_in_ms: u64,
        /// The place in the store's history that tells it.
        place: StorePlace,
    },
    /// A hall is taken back.
    Ended {
        /// The hall.
        hall: Hall,
        /// The place in the store's history that tells it.
        place: StorePlace,
    },
}

/// The halls that are evacuated, and until when requests may still be sent there.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// How long after its acknowledgement a hall is left, in milliseconds.
    leaving_ms: u64,
    /// The place in the store's history that this is known of, and when a list with an era was last taken in.
    place: StorePlace,
    era_heard_at: Millis,
    /// When each was acknowledged, as far as known.
    began: BTreeMap<Hall, Option<Millis>>,
    /// Halls that the store's copy lacks, and until when they are believed all the same.
    doubted: BTreeMap<Hall, Millis>,
}

impl Evacuations {
    /// What is kept free of the bound within which a hall is left, in milliseconds: for the store's news to
    /// reach a gateway, for a connection to a runner, and for a machine that is short of processor time.
    pub const NEWS_MARGIN: u64 = 1000;

    /// How long after the store came back from a copy a hall that the copy lacks is still believed to be evacuated, in
    /// milliseconds: its row may be one of those that are lost, and operators write them again. As long as an outage of
    /// the store excuses.
    pub const LOST_ROW_GRACE: u64 = 3000;
    /// How long after the last list with an era one without is taken for old, in milliseconds. It comes from a process of
    /// a build without eras; where only such are left their word is all there is. Lists come once a second.
    const ERA_MEMORY: u64 = 10_000;

    /// Starts with none. `evacuate_ms` is the bound within which a hall is left; without one it is left at once.
    pub fn new(evacuate_ms: Option<u64>, ablation: &Ablation) -> Self {
        let mut evacuations = Self::default();
        evacuations.set_bound(evacuate_ms, ablation);
        evacuations
    }

    /// Goes on with another bound, for halls that are being left too.
    pub fn set_bound(&mut self, evacuate_ms: Option<u64>, ablation: &Ablation) {
        let bound = evacuate_ms.filter(|_| ablation.keeps(Mechanism::EvenLeaving));
        let left = bound.unwrap_or(0).saturating_sub(Self::NEWS_MARGIN);
        self.leaving_ms = (left as f64 * LEAVING_SHARE) as u64;
    }

    /// Takes in a list and tells what it changed. An old one changes nothing.
    pub fn take(&mut self, now: Millis, list: &EvacuationList) -> Vec<EvacuationChange> {
        if !self.is_current(now, list.place) {
            return Vec::new();
        }
        if list.place.is_of_later_era(self.place) {
            let grace = now.plus(Self::LOST_ROW_GRACE);
            self.doubted = self.began.keys().map(|hall| (hall.clone(), grace)).collect();
        }
        self.place = list.place;
        if list.place.era.is_some() {
            self.era_heard_at = now;
        }
        for evacuation in &list.evacuated {
            self.doubted.remove(&evacuation.hall);
        }
        let mut changes = self.end_missing(now, list);
        for evacuation in &list.evacuated {
            changes.extend(self.begin(now, evacuation));
        }
        changes
    }

    /// Whether a list of a place is not older than what is known.
    fn is_current(&self, now: Millis, place: StorePlace) -> bool {
        let is_untold = place.era.is_none() && self.place.era.is_some();
        if is_untold {
            return now.since(self.era_heard_at).0 > Self::ERA_MEMORY;
        }
        place >= self.place
    }

    /// Takes back the halls that a list lacks, but for those whose rows the store may have lost.
    fn end_missing(&mut self, now: Millis, list: &EvacuationList) -> Vec<EvacuationChange> {
        let is_listed = |hall: &Hall| list.evacuated.iter().any(|it| &it.hall == hall);
        let is_believed = |hall: &Hall| self.doubted.get(hall).is_some_and(|until| now < *until);
        let is_over = |hall: &&Hall| !is_listed(hall) && !is_believed(hall);
        let over: Vec<Hall> = self.began.keys().filter(is_over).cloned().collect();
        over.into_iter().map(|hall| self.end(hall)).collect()
    }

    /// Takes back the halls whose rows the store had lost, where nobody has written them again in time.
    pub fn settle(&mut self, now: Millis) -> Vec<EvacuationChange> {
        let due = |(hall, until): (&Hall, &Millis)| (now >= *until).then(|| hall.clone());
        let over: Vec<Hall> = self.doubted.iter().filter_map(due).collect();
        over.into_iter().map(|hall| self.end(hall)).collect()
    }

    fn end(&mut self, hall: Hall) -> EvacuationChange {
        self.began.remove(&hall);
        self.doubted.remove(&hall);
        EvacuationChange::Ended { hall, place: self.place }
    }

    /// Takes in one evacuation. The earliest moment that somebody knows counts.
    fn begin(&mut self, now: Millis, evacuation: &Evacuation) -> Option<EvacuationChange> {
        let at = evacuation.age_ms.map(|age| now.minus(age));
        if let Some(known) = self.began.get_mut(&evacuation.hall) {
            *known = (*known).into_iter().chain(at).min();
            return None;
        }
        self.began.insert(evacuation.hall.clone(), at);
        let left_in_ms = at.map_or(0, |at| at.plus(self.leaving_ms).since(now).0);
        let evacuation = evacuation.clone();
        Some(EvacuationChange::Began { evacuation, left_in_ms, place: self.place })
    }

    /// Whether requests may be sent to the runners of a hall.
    pub fn admit(&self, now: Millis, hall: &Hall) -> bool {
        self.left_share(now, hall) < 1.0
    }

    /// How far a hall is left: from zero, where it is not evacuated, to one, where nothing is sent there any more.
    pub fn left_share(&self, now: Millis, hall: &Hall) -> f64 {
        match self.began.get(hall) {
            None => 0.0,
            Some(Some(at)) if now < at.plus(self.leaving_ms) => {
                now.since(*at).0 as f64 / self.leaving_ms as f64
            }
            Some(_) => 1.0,
        }
    }

    /// How many halls are evacuated.
    pub fn len(&self) -> usize {
        self.began.len()
    }

    /// Whether no hall is evacuated.
    pub fn is_empty(&self) -> bool {
        self.began.is_empty()
    }

    /// The list as other processes are told of it.
    pub fn list(&self, now: Millis) -> EvacuationList {
        let evacuation = |(hall, at): (&Hall, &Option<Millis>)| Evacuation {
            hall: hall.clone(),
            age_ms: at.map(|at| now.since(at).0),
        };
        let evacuated = self.began.iter().map(evacuation).collect();
        EvacuationList { place: self.place, evacuated }
    }
}
