//! Runners that are missing from the list when the store is back after an outage.
//!
//! Entries lapse while their runners cannot reach the store. Those that live write again within two
//! seconds of its return; taking them off at once would leave nobody to serve. Such an outage takes most
//! entries with it. A single one that is missing has left, and is believed gone at once: where only this
//! machine was cut off, the store has been right all along.

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::InstanceId;
use uptime::Instant;

/// How long after its return the store's word that a runner is gone is not yet believed: two seconds for
/// the runner to write again, and half a second for us to hear of it.
const GRACE: Duration = Duration::from_millis(2500);

/// The runners that the store does not list since it is back.
#[derive(Debug, Default)]
pub struct Lapses {
    back_at: Option<Instant>,
    /// Whether it came back from an older copy: then each single entry may be lost that was written since.
    from_copy: bool,
    missing: BTreeSet<InstanceId>,
}

impl Lapses {
    /// The store answers again after it did not.
    pub fn note_return(&mut self, now: Instant) {
        self.back_at = Some(now);
        self.from_copy = false;
    }

    /// The store came back from an older copy.
    pub fn note_copy(&mut self, now: Instant) {
        self.back_at = Some(now);
        self.from_copy = true;
    }

    /// Takes in that a runner is no longer listed, one of `gone` at once out of `known`, and tells whether that
    /// is to be believed later only.
    pub fn hold(&mut self, now: Instant, id: &InstanceId, gone: usize, known: usize) -> bool {
        if self.is_over(now) || (2 * gone < known && !self.from_copy) {
            return false;
        }
        self.missing.insert(id.clone());
        true
    }

    /// Takes in that a runner is listed.
    pub fn note_listed(&mut self, id: &InstanceId) {
        self.missing.remove(id);
    }

    /// The runners that are gone for good by now.
    pub fn take_due(&mut self, now: Instant) -> BTreeSet<InstanceId> {
        if self.is_over(now) {
            std::mem::take(&mut self.missing)
        } else {
            BTreeSet::new()
        }
    }

    /// How long until the missing ones are gone, if some are missing.
    pub fn left(&self, now: Instant) -> Option<Duration> {
        let back_at = self.back_at.filter(|_| !self.missing.is_empty())?;
        Some((back_at + GRACE).saturating_duration_since(now))
    }

    fn is_over(&self, now: Instant) -> bool {
        self.back_at.is_none_or(|at| now >= at + GRACE)
    }
}
