//! Dates the changes of an answer by the store's history.

use fleet::StorePosition;
use platform::store::Change;
use uptime::Instant;

use super::{ChangeDate, TableWatch};
use crate::gateway::ReportedAge;
use crate::store_time::WrittenAfter;

impl TableWatch {
    /// Records the newest revision and the store's clock in an answer that was not produced before
    /// `produced_at`.
    pub(super) fn record_store_reading(
        &self,
        newest: StorePosition,
        clock_ms: Option<u64>,
        produced_at: Instant,
    ) {
        if let Some(clock_ms) = clock_ms {
            self.options.time.borrow_mut().record(newest, clock_ms, produced_at);
        }
    }

    /// When a version was announced, as far as the store's history shows. Its first row counts, since the row
    /// of a known version may be written again. A reader of the hall may know the age if this process has read
    /// nothing from before.
    pub(super) fn date_change(
        &mut self,
        change: &Change,
        reader_age: Option<ReportedAge>,
    ) -> ChangeDate {
        let Change::Version { ref model, version, revision } = *change else {
            return ChangeDate::default();
        };
        let newest = self.newest_versions.entry(model.clone()).or_default();
        if version <= *newest {
            return ChangeDate::default();
        }
        *newest = version;
        let row = StorePosition { era: self.era, revision };
        let written_after = self.options.time.borrow().written_after(row);
        let age_from_reader = reader_age.and_then(|it| {
            let transit = self.sent_at.elapsed().saturating_sub(it.held);
            it.changes.map(|age| age + transit)
        });
        let date = match written_after {
            Some(WrittenAfter { clock_ms, at }) => {
                ChangeDate { age: Some(at.elapsed()), after_ms: Some(clock_ms) }
            }
            None => ChangeDate { age: age_from_reader, after_ms: None },
        };
        let age_ms = date.age.map(|it| it.as_millis() as u64);
        let asked_ms = self.sent_at.elapsed().as_millis() as u64;
        log::info!(version = version, revision = revision, age_ms = age_ms, after_ms = date.after_ms, asked_ms = asked_ms; "version told");
        date
    }
}
