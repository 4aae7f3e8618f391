//! The evacuated data halls, from the pages of the store's operator table.

use std::collections::BTreeMap;

use fleet::{Evacuation, EvacuationList, Hall, StorePosition};
use platform::store::Change;
use uptime::Instant;

/// The evacuation rows of the table.
#[derive(Debug, Default)]
pub struct EvacuatedHalls {
    /// When each row was read from a feed of current changes. `None` if the evacuation may be older.
    began_at: BTreeMap<Hall, Option<Instant>>,
}

impl EvacuatedHalls {
    /// Applies a complete listing. A hall that is missing in it is no longer evacuated. How long a hall that
    /// is new in it has been evacuated is unknown.
    pub fn apply_listing(
        &mut self,
        now: Instant,
        place: StorePosition,
        changes: &[Change],
    ) -> EvacuationList {
        let listed = changes.iter().filter_map(|it| match it {
            Change::Evacuated(hall) => Some(hall.clone()),
            _ => None,
        });
        let began = listed.map(|hall| {
            let at = self.began_at.get(&hall).copied().flatten();
            (hall, at)
        });
        self.began_at = began.collect();
        self.list(now, place)
    }

    /// Applies the changes of a feed. Returns the evacuated halls if one of them changed. `late` says whether
    /// the changes may have happened some time ago.
    pub fn apply_feed(
        &mut self,
        now: Instant,
        place: StorePosition,
        changes: &[Change],
        late: bool,
    ) -> Option<EvacuationList> {
        let mut changed = false;
        for change in changes {
            match change {
                Change::Evacuated(hall) => {
                    self.began_at.entry(hall.clone()).or_insert((!late).then_some(now));
                }
                Change::EvacuationEnded(hall) => {
                    self.began_at.remove(hall);
                }
                _ => continue,
            }
            changed = true;
        }
        changed.then(|| self.list(now, place))
    }

    fn list(&self, now: Instant, place: StorePosition) -> EvacuationList {
        let evacuation = |(hall, at): (&Hall, &Option<Instant>)| Evacuation {
            hall: hall.clone(),
            age_ms: at.map(|at| now.saturating_duration_since(at).as_millis() as u64),
        };
        EvacuationList { place, evacuated: self.began_at.iter().map(evacuation).collect() }
    }
}

#[cfg(test)]
mod tests;
