//! What a connection of a caller is doing, and why it ends.

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionState {
    /// No request has arrived since it was opened, or since the last answer.
    #[default]
    Idle,
    /// A part of a request head has arrived.
    Head,
    /// The head was read, the body was not, or only in part.
    Body,
    /// The request was read and has no answer yet.
    Waiting,
    /// The answer is being sent.
    Answer,
}

impl ConnectionState {
    /// All states.
    pub const ALL: [Self; 5] = [Self::Idle, Self::Head, Self::Body, Self::Waiting, Self::Answer];

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Body => "body",
            Self::Waiting => "waiting",
            Self::Answer => "answer",
        }
    }

    /// Whether at least a part of a request has arrived that is not fully answered.
    pub fn has_request(self) -> bool {
        self != Self::Idle
    }
}

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// The caller closed or reset it.
    Caller,
    /// It was idle, or its request head was incomplete, for too long.
    IdleTimeout,
    /// The process is stopping.
    Stop,
    /// The caller did not read.
    SlowReader,
    /// A write failed.
    WriteError,
    /// The answer could not be completed.
    AnswerAborted,
    /// The bytes that arrived are not a request.
    BadRequest,
    /// The request was answered before its body was read.
    Unread,
    /// The answer was the last one, as its head or the request said.
    LastAnswer,
    /// The process ended.
    ProcessEnd,
}

impl CloseCause {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::IdleTimeout => "idle_timeout",
            Self::Stop => "stop",
            Self::SlowReader => "slow_reader",
            Self::WriteError => "write_error",
            Self::AnswerAborted => "answer_aborted",
            Self::BadRequest => "bad_request",
            Self::Unread => "unread",
            Self::LastAnswer => "last_answer",
            Self::ProcessEnd => "process_end",
        }
    }
}
