//! The error type that carries a result code.

use std::fmt;

use crate::Code;

/// A failure with its numbered code and a sentence for the reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The stable number of what went wrong.
    pub code: Code,
    /// What happened, in words, without secrets.
    pub detail: String,
}

/// The result type used across the workspace.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Builds an error from a code and a sentence.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into() }
    }
}

/// An error that says what its code means and nothing else.
impl From<Code> for Error {
    fn from(code: Code) -> Self {
        Self::new(code, code.meaning())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.code.number(), self.code.name(), self.detail)
    }
}

impl std::error::Error for Error {}
