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

/// What one process knows of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubjectReport {
    /// The request.
    pub digest: SubjectDigest,
    /// The crashes under the request.
    pub crashes: Vec<CrashReport>,
    /// How long ago the request last succeeded, in milliseconds, if that success is still kept.
    pub success_age_ms: Option<u32>,
    /// Whether the platform's store contains the quarantine of the request.
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
    /// The recently changed entries of requests that at least two runners crashed under, whose next crash may
    /// be the third, and of requests that succeeded.
    FreshSuspects,
    /// The entries of all requests that at least two runners crashed under, and all that changed recently.
    Suspects,
}
