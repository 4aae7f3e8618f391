//! Faults of a settings file.

use std::fmt;

use errors::{Code, Error};

/// One fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The section that contains the fault.
    pub section: String,
    /// The key; empty if the fault concerns the file or the section itself.
    pub key: String,
    /// The value in the file, or `None` if the key is missing.
    pub value: Option<String>,
    /// A description of what was expected.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}] {}", self.section, self.key)?;
        match &self.value {
            Some(value) => write!(f, " = {value:?}: expected {}", self.expected),
            None => write!(f, " is missing: expected {}", self.expected),
        }
    }
}

/// All faults of one settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} fault(s) in the settings:", self.0.len())?;
        self.0.iter().try_for_each(|fault| writeln!(f, "  {fault}"))
    }
}

impl std::error::Error for Faults {}

impl From<Faults> for Error {
    fn from(faults: Faults) -> Self {
        Error::new(Code::BadSettings, faults.to_string())
    }
}
