//! Machines of the fleet as the platform lists them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Hall, InstanceId, Region, ServiceName};

/// Where an instance stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// The region.
    pub region: Region,
    /// The hall within the region.
    pub hall: Hall,
}

/// Which process of silverdock runs on an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Process {
    /// Takes requests from callers and intents from operators.
    Entry,
    /// Stands beside a model engine.
    Engine,
    /// Stands beside a plain service of this name.
    Service(ServiceName),
}

/// What the platform's list says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It is up.
    Live,
    /// It will be taken away soon.
    Leaving,
}

/// One row of the platform's instance list. The list lags behind the truth.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The unique name.
    pub id: InstanceId,
    /// Where it stands.
    pub place: Place,
    /// What runs on it.
    pub process: Process,
    /// Where its daemon listens for other daemons, over TCP and UDP.
    pub address: SocketAddr,
    /// Memory for weights, in bytes.
    pub memory_bytes: u64,
    /// Whether it is live or leaving.
    pub state: ListedState,
}
