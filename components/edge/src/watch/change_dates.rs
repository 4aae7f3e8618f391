//! Dates the changes of an answer by the store's history.

use fleet::StorePlace;
use platform::store::Change;
use uptime::Instant;

use super::{Dated, Watch};
use crate::gateway::ToldAge;
use crate::store_time::WrittenAfter;

impl Watch {
    /// Records the newest revision and the store's clock in an answer that was not produced before `made`.
    pub(super) fn note_reading(&self, newest: StorePlace, clock_ms: Option<u64>, made: Instant) {
        if let Some(clock_ms) = clock_ms {
            self.options.time.borrow_mut().record(newest, clock_ms, made);
        }
    }

    /// When a version was named, as far as the store's history shows. Its first row counts, since the row of
    /// a known version may be written again. A reader of the hall may know the age if this process has read
    /// nothing from before.
    pub(super) fn date(&mut self, change: &Change, told: Option<ToldAge>) -> Dated {
        let Change::Version { ref model, version, revision } = *change else {
            return Dated::default();
        };
        let newest = self.named.entry(model.clone()).or_default();
        if version <= *newest {
            return Dated::default();
        }
        *newest = version;
        let row = StorePlace { era: self.era, revision };
        let unwritten = self.options.time.borrow().written_after(row);
        let by_reader = told.and_then(|it| {
            let way = self.asked.elapsed().saturating_sub(it.held);
            it.news.map(|news| news + way)
        });
        let dated = match unwritten {
            Some(WrittenAfter { clock_ms, at }) => {
                Dated { age: Some(at.elapsed()), after_ms: Some(clock_ms) }
            }
            None => Dated { age: by_reader, after_ms: None },
        };
        let age_ms = dated.age.map(|it| it.as_millis() as u64);
        let asked_ms = self.asked.elapsed().as_millis() as u64;
        log::info!(version = version, revision = revision, age_ms = age_ms, after_ms = dated.after_ms, asked_ms = asked_ms; "version told");
        dated
    }
}
