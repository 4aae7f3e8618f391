//! Selects where a table is followed: at the store, or at a reader of the same hall.

use std::time::Duration;

use errors::{Code, Error, Result};
use gateway::readers::Source;

use super::{is_history_unavailable, TableWatch};
use crate::gateway::ReportedAge;
use crate::http_client::HttpClient;
use crate::listing::call_name;

/// How long a feed call waits if changes are to be dated closely.
const PRECISE_DATING_WAIT: Duration = Duration::from_millis(200);

impl TableWatch {
    /// Selects where to send the next call. Returns whether there is somewhere to send it. A gateway that has
    /// to serve a table to others that it has not read itself lists it.
    pub(super) fn select_source(&mut self) -> bool {
        let readers = &self.options.readers;
        match readers.source() {
            Source::Store => {
                self.reader = None;
                if readers.is_reader() && !readers.caches(self.options.table) {
                    self.position = None;
                }
            }
            Source::Reader(reader) => {
                readers.drop_table(self.options.table);
                if self.reader.as_ref().is_none_or(|(known, _)| *known != reader) {
                    self.reader = Some((reader, HttpClient::new(reader)));
                }
            }
            Source::Undecided => return false,
        }
        true
    }

    /// The client of the selected source.
    pub(super) fn source_client(&mut self) -> &mut HttpClient {
        self.reader.as_mut().map_or(&mut self.client, |(_, client)| client)
    }

    /// The name of calls in the metrics.
    pub(super) fn call_name(&self) -> &'static str {
        if self.reader.is_some() {
            "reader"
        } else {
            call_name(self.options.table)
        }
    }

    /// Records the outcome of a call to a reader. Returns whether the reader gave no answer.
    pub(super) fn reader_failed(&mut self, result: &Result<()>) -> bool {
        let Some((reader, _)) = self.reader else {
            return false;
        };
        match result {
            Err(error) if !is_history_unavailable(error) => {
                self.options.readers.record_failure(reader, error, self.sent_at.elapsed());
                true
            }
            _ => {
                self.options.readers.record_success(reader);
                false
            }
        }
    }

    /// Records up to which time the cached table is complete.
    pub(super) fn record_cached(&self) {
        if let (None, Some(position)) = (&self.reader, self.position) {
            self.options.readers.record_known(self.options.table, self.known_until, position);
        }
    }

    /// How long to pause before the next call. A reader of the same hall is called again after the shortest
    /// pause.
    pub(super) fn pause(&self, spacing: Duration) -> Duration {
        if self.reader.is_some() {
            return self.options.first_spacing;
        }
        spacing.max(self.link_yield.pause())
    }

    /// How long the next feed call waits.
    pub(super) fn feed_wait(&self) -> Duration {
        let (timeouts, readers) = (self.options.timeouts, &self.options.readers);
        if self.reader.is_some() {
            return readers.feed_wait();
        }
        let wait = timeouts.feed_wait(self.connected);
        if (self.options.dates_precisely)() {
            wait.min(PRECISE_DATING_WAIT)
        } else if readers.is_reader() {
            wait.min(readers.feed_wait())
        } else {
            wait
        }
    }

    /// The age that a reader reports for its answer. The store reports none.
    pub(super) fn reader_age(&self, age: Option<ReportedAge>) -> Result<Option<ReportedAge>> {
        match self.reader {
            None => Ok(None),
            Some(_) if age.is_none() => {
                Err(Error::new(Code::BadFrame, "the answer of a reader has no age headers"))
            }
            Some(_) => Ok(age),
        }
    }
}
