//! The messages in which processes report crashes to each other.

use serde::{Deserialize, Serialize};

use crate::digest::SubjectDigest;
use crate::incarnation::IncarnationDigest;

/// A crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The runner incarnation that crashed.
    pub life: IncarnationDigest,
    /// How long ago the crash was, in milliseconds.
    pub age_ms: u32,
}

/// What one process knows of a subject.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubjectReport {
    /// The subject.
    pub digest: SubjectDigest,
    /// The crashes under the subject.
    pub crashes: Vec<CrashReport>,
    /// How long ago a request with the subject last succeeded, in milliseconds, if that success is still kept.
    pub success_age_ms: Option<u32>,
    /// Whether the platform's store contains the quarantine of the subject.
    pub is_recorded: bool,
}

/// A part of a ledger, in the form that is sent to other processes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashList(pub Vec<SubjectReport>);

/// Which part of a ledger is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// The entries that changed recently.
    Fresh,
    /// The recently changed entries of subjects that at least two runners crashed under, whose next crash may
    /// be the third, and of those that succeeded.
    FreshSuspects,
    /// The entries of all subjects that at least two runners crashed under, and all that changed recently.
    Suspects,
}
