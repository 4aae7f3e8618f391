//! Data halls that are evacuated, and until when requests may still be sent there.

use std::collections::BTreeMap;

use fleet::{Evacuation, Hall, Millis};

/// The halls that are evacuated.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// When each was acknowledged, as far as known.
    began: BTreeMap<Hall, Option<Millis>>,
}

impl Evacuations {
    /// Takes in that a hall is evacuated.
    pub fn begin(&mut self, now: Millis, evacuation: Evacuation) {
        let at = evacuation.age_ms.map(|age| now.minus(age));
        let known = self.began.entry(evacuation.hall).or_insert(at);
        *known = (*known).into_iter().chain(at).min();
    }

    /// Takes in that a hall is taken back.
    pub fn end(&mut self, hall: &Hall) {
        self.began.remove(hall);
    }

    /// Whether requests may be sent to the runners of a hall.
    pub fn admit(&self, hall: &Hall) -> bool {
        !self.began.contains_key(hall)
    }

    /// The halls that are evacuated, as other processes are told of them.
    pub fn list(&self, now: Millis) -> Vec<Evacuation> {
        let evacuation = |(hall, at): (&Hall, &Option<Millis>)| Evacuation {
            hall: hall.clone(),
            age_ms: at.map(|at| now.since(at).0),
        };
        self.began.iter().map(evacuation).collect()
    }
}
