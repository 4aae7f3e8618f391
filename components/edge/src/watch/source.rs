//! Whom a table is followed at: the store, or a reader of the own hall.

use std::time::Duration;

use errors::{Code, Error, Result};
use gateway::readers::Source;

use super::{is_history_gone, Watch};
use crate::gateway::ToldAge;
use crate::link::Link;
use crate::listing::call_name;

/// How long a feed waits where changes are to be dated closely.
const CLOSE_WAIT: Duration = Duration::from_millis(200);

impl Watch {
    /// Chooses whom to ask next, and tells whether somebody is to be asked. A gateway that has to tell others what it has not
    /// read itself lists it.
    pub(super) fn choose_source(&mut self) -> bool {
        let reading = &self.options.reading;
        match reading.source() {
            Source::Store => {
                self.reader = None;
                if reading.is_reader() && !reading.keeps(self.options.table) {
                    self.place = None;
                }
            }
            Source::Reader(reader) => {
                reading.forget(self.options.table);
                if self.reader.as_ref().is_none_or(|(known, _)| *known != reader) {
                    self.reader = Some((reader, Link::new(reader)));
                }
            }
            Source::Nobody => return false,
        }
        true
    }

    /// The link to whom is asked.
    pub(super) fn asked_link(&mut self) -> &mut Link {
        self.reader.as_mut().map_or(&mut self.link, |(_, link)| link)
    }

    /// The name of calls in the metrics.
    pub(super) fn call_name(&self) -> &'static str {
        if self.reader.is_some() {
            "reader"
        } else {
            call_name(self.options.table)
        }
    }

    /// Notes what became of a question to a reader, and tells whether it gave no answer.
    pub(super) fn is_reader_lost(&mut self, result: &Result<()>) -> bool {
        let Some((reader, _)) = self.reader else {
            return false;
        };
        match result {
            Err(error) if !is_history_gone(error) => {
                self.options.reading.note_silent(reader, error, self.asked.elapsed());
                true
            }
            _ => {
                self.options.reading.note_heard(reader);
                false
            }
        }
    }

    /// What is kept to be told on is known up to now.
    pub(super) fn note_kept(&self) {
        if let (None, Some(place)) = (&self.reader, self.place) {
            self.options.reading.note_known(self.options.table, self.known, place);
        }
    }

    /// How long to rest before the next question. A reader of the own hall is asked at once again.
    pub(super) fn pause(&self, spacing: Duration) -> Duration {
        if self.reader.is_some() {
            return self.options.first_spacing;
        }
        spacing.max(self.yielding.rest())
    }

    /// How long the next feed waits.
    pub(super) fn feed_wait(&self) -> Duration {
        let (patience, reading) = (self.options.patience, &self.options.reading);
        if self.reader.is_some() {
            return reading.feed_wait();
        }
        let wait = patience.feed_wait(self.connected);
        if (self.options.dates_closely)() {
            wait.min(CLOSE_WAIT)
        } else if reading.is_reader() {
            wait.min(reading.feed_wait())
        } else {
            wait
        }
    }

    /// How old a reader says that its answer is. The store says nothing of that.
    pub(super) fn told(&self, age: Option<ToldAge>) -> Result<Option<ToldAge>> {
        match self.reader {
            None => Ok(None),
            Some(_) if age.is_none() => Err(Error::new(Code::BadFrame, "a reader tells no age")),
            Some(_) => Ok(age),
        }
    }
}
