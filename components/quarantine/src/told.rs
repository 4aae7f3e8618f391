//! What processes tell each other of the requests that runners crashed under.

use serde::{Deserialize, Serialize};

use crate::digest::RequestDigest;
use crate::life::LifeDigest;

/// A crash, as processes tell each other of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldCrash {
    /// The life that ended.
    pub life: LifeDigest,
    /// How long ago, in milliseconds.
    pub age_ms: u32,
}

/// What one process knows of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldRequest {
    /// The request.
    pub digest: RequestDigest,
    /// The runners that crashed under it.
    pub crashes: Vec<ToldCrash>,
    /// How long ago it last ended well, in milliseconds, where that takes suspicion from it.
    pub success_age_ms: Option<u32>,
    /// Whether the platform's store holds that it is in quarantine.
    pub is_recorded: bool,
}

/// A part of a ledger, as processes tell each other of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashList(pub Vec<ToldRequest>);

/// Which part of a ledger is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// What changed lately.
    Fresh,
    /// What changed lately of requests that two runners or more crashed under: the next one may be the third.
    FreshSuspects,
    /// All requests that two runners or more crashed under, and what changed lately.
    Suspects,
}
