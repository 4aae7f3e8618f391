//! Logs how the part of a stream that one runner sent ended, if it did not end well.

use super::event_fault::EventFault;

/// How the part of a stream that one runner sent ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// At bytes that are not an event.
    Fault(EventFault),
    /// Within an event.
    WithinEvent,
    /// Before the first event, by a connection whose end alone says that the stream is over.
    WithoutEvent,
    /// Within the answer: the connection was lost, or its chunks or length do not fit.
    Cut,
}

impl StreamEnd {
    fn name(self) -> &'static str {
        match self {
            Self::Fault(fault) => fault.name(),
            Self::WithinEvent => "within_event",
            Self::WithoutEvent => "without_event",
            Self::Cut => "cut",
        }
    }
}

/// The part of a stream that one runner sent.
#[derive(Debug)]
pub struct StreamPart<'a> {
    /// The id of the request.
    pub request: &'a str,
    /// The runner.
    pub runner: &'a str,
    /// Whether the body ends with its connection, without a length or chunks.
    pub ends_with_connection: bool,
    /// The number of events of the stream that were forwarded, including those of earlier runners.
    pub events: u64,
    /// The id of the last of them.
    pub last_id: Option<u64>,
}

impl StreamPart<'_> {
    /// Logs how it ended.
    pub fn log_end(&self, end: StreamEnd) {
        let last_id = self.last_id.map(|it| it.to_string()).unwrap_or_default();
        log::warn!(
            request = self.request, runner = self.runner, end = end.name(),
            ends_with_connection = self.ends_with_connection, events = self.events,
            last_id = last_id.as_str();
            "the stream of a runner did not end well"
        );
    }
}
