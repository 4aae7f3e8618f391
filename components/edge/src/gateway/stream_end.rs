//! How the part of a stream that one runner sent ended, if it did not end well.

use super::event_fault::EventFault;

/// An end that does not complete the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// At bytes that are not an event.
    Fault(EventFault),
    /// Within an event.
    WithinEvent,
    /// Without an event, although the answer does not show that none was left.
    WithoutEvent,
    /// Within the answer: the connection was lost, or its chunks or length do not fit.
    Cut,
}

impl StreamEnd {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fault(fault) => fault.name(),
            Self::WithinEvent => "within_event",
            Self::WithoutEvent => "without_event",
            Self::Cut => "cut",
        }
    }
}
