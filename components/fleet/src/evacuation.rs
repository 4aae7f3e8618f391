//! Evacuations of data halls: nothing new is sent to the runners there until the hall is taken back.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ablation::{Ablation, Mechanism};
use crate::id::Hall;
use crate::Millis;

/// The part of the rest in which requests still go there. Over a bound of 5,000 with two evacuations in series, of 13,728
/// callers 7,596 were answered on time where halls were left at once, 7,834 with 0.5, and 7,991 and 7,897 in two plays
/// with 0.75.
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
    /// The version of the store that the list is of. A list of a lower one is old.
    pub revision: u64,
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
        /// The version of the store that tells it.
        revision: u64,
    },
    /// A hall is taken back.
    Ended {
        /// The hall.
        hall: Hall,
        /// The version of the store that tells it.
        revision: u64,
    },
}

/// The halls that are evacuated, and until when requests may still be sent there.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// How long after its acknowledgement a hall is left, in milliseconds.
    leaving_ms: u64,
    /// The version of the store that this is known of.
    revision: u64,
    /// When each was acknowledged, as far as known.
    began: BTreeMap<Hall, Option<Millis>>,
}

impl Evacuations {
    /// What is kept free of the bound within which a hall is left, in milliseconds: the store's news takes up to 400 at
    /// a gateway, a connection to a runner 250, and the rest is for a machine that is short of processor time.
    pub const NEWS_MARGIN: u64 = 1000;

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
        if list.revision < self.revision {
            return Vec::new();
        }
        self.revision = list.revision;
        let mut changes = self.end_missing(list);
        for evacuation in &list.evacuated {
            changes.extend(self.begin(now, evacuation));
        }
        changes
    }

    /// Takes back the halls that a list lacks.
    fn end_missing(&mut self, list: &EvacuationList) -> Vec<EvacuationChange> {
        let is_listed = |hall: &Hall| list.evacuated.iter().any(|it| &it.hall == hall);
        let missing: Vec<Hall> =
            self.began.keys().filter(|hall| !is_listed(hall)).cloned().collect();
        let end = |hall: Hall| {
            self.began.remove(&hall);
            EvacuationChange::Ended { hall, revision: list.revision }
        };
        missing.into_iter().map(end).collect()
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
        Some(EvacuationChange::Began { evacuation, left_in_ms, revision: self.revision })
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
        EvacuationList { revision: self.revision, evacuated }
    }
}
