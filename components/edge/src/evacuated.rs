//! The data halls that are evacuated, as the pages of the store's table tell it.

use std::collections::BTreeMap;

use fleet::{Evacuation, EvacuationList, Hall, StorePlace};
use platform::store::Change;
use uptime::Instant;

/// The rows of evacuations that the table holds.
#[derive(Debug, Default)]
pub struct EvacuatedHalls {
    /// When each was read from a feed that tells what has just happened. `None` where it may be older.
    began: BTreeMap<Hall, Option<Instant>>,
}

impl EvacuatedHalls {
    /// Takes in a whole listing. A hall that it lacks has been taken back; for how long one that is new here has been
    /// evacuated nobody knows.
    pub fn take_listing(
        &mut self,
        now: Instant,
        place: StorePlace,
        changes: &[Change],
    ) -> EvacuationList {
        let listed = changes.iter().filter_map(|it| match it {
            Change::Evacuated(hall) => Some(hall.clone()),
            _ => None,
        });
        let began = listed.map(|hall| {
            let at = self.began.get(&hall).copied().flatten();
            (hall, at)
        });
        self.began = began.collect();
        self.list(now, place)
    }

    /// Takes in what a feed gave, and gives the halls where one of them changed. `late` tells whether it may have
    /// happened some time ago.
    pub fn take_feed(
        &mut self,
        now: Instant,
        place: StorePlace,
        changes: &[Change],
        late: bool,
    ) -> Option<EvacuationList> {
        let mut changed = false;
        for change in changes {
            match change {
                Change::Evacuated(hall) => {
                    self.began.entry(hall.clone()).or_insert((!late).then_some(now));
                }
                Change::Reopened(hall) => {
                    self.began.remove(hall);
                }
                _ => continue,
            }
            changed = true;
        }
        changed.then(|| self.list(now, place))
    }

    fn list(&self, now: Instant, place: StorePlace) -> EvacuationList {
        let evacuation = |(hall, at): (&Hall, &Option<Instant>)| Evacuation {
            hall: hall.clone(),
            age_ms: at.map(|at| now.saturating_duration_since(at).as_millis() as u64),
        };
        EvacuationList { place, evacuated: self.began.iter().map(evacuation).collect() }
    }
}

#[cfg(test)]
mod tests;
