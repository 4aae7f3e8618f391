//! What makes bytes of a runner something other than an event.

/// Why bytes within a stream are not an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventFault {
    /// An event has no id.
    NoId,
    /// An event has more than one id.
    SeveralIds,
    /// An id is not a decimal number of 64 bits.
    InvalidId,
    /// An id is not greater than the one before it.
    IdNotRising,
    /// A line is neither a field of an event nor a comment.
    NotAField,
    /// The lines of an event end differently.
    MixedLineEnds,
    /// A line is the status line of an HTTP response.
    StatusLine,
    /// A line is not UTF-8.
    NotText,
    /// An event, with the comments and empty lines before it, is larger than the buffer.
    TooLarge,
}

impl EventFault {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoId => "no_id",
            Self::SeveralIds => "several_ids",
            Self::InvalidId => "invalid_id",
            Self::IdNotRising => "id_not_rising",
            Self::NotAField => "not_a_field",
            Self::MixedLineEnds => "mixed_line_ends",
            Self::StatusLine => "status_line",
            Self::NotText => "not_text",
            Self::TooLarge => "too_large",
        }
    }
}
