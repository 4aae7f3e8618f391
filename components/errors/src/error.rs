//! The error type that carries a result code.

use std::fmt;

use crate::Code;

/// A failure with its numbered code and a human-readable description.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The result code.
    pub code: Code,
    /// A human-readable description. It must not contain secrets.
    pub detail: String,
}

/// The result type used across the workspace.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Error {
    /// Creates an error from a code and a description.
    pub fn new(code: Code, detail: impl Into<String>) -> Self {
        Self { code, detail: detail.into() }
    }
}

/// Creates an error whose description is the meaning of the code.
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
