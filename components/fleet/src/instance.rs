//! Machines of the fleet, as listed by the platform.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Hall, InstanceId, Region, ServiceName};

/// The location of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Location {
    /// The region.
    pub region: Region,
    /// The hall within the region.
    pub hall: Hall,
}

/// The silverdock process that runs on an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Process {
    /// Accepts requests from callers and intents from operators.
    Entry,
    /// Runs next to a model engine.
    Engine,
    /// Runs next to a plain service with this name.
    Service(ServiceName),
}

/// The state of an instance in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The instance is running.
    Live,
    /// The instance will be removed soon.
    Leaving,
}

/// A row of the platform's instance list. The list lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The unique name.
    pub id: InstanceId,
    /// The location.
    pub place: Location,
    /// The silverdock process on the instance.
    pub process: Process,
    /// The address of its daemon for other daemons, over TCP and UDP.
    pub address: SocketAddr,
    /// Memory available for weights, in bytes.
    pub memory_bytes: u64,
    /// The state in the list.
    pub state: ListedState,
}
