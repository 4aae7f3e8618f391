//! The services, keys and settings that every daemon uses.

use std::net::SocketAddr;
use std::sync::Arc;

use externals::Platform;
use fleet::{InstanceId, Location, Process};
use net::Tasks;
use telemetry::Metrics;
use wire::{KeyRing, MemberRecord, MemberState};

use crate::clock::Clock;
use crate::peers::PeerPool;
use crate::tokens::TokenRing;

/// The name, the location and the addresses of a daemon.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The name of the instance.
    pub id: InstanceId,
    /// The region and data hall of the instance.
    pub place: Location,
    /// The address for other daemons; port 0 selects a free port.
    pub listen: SocketAddr,
    /// The address for operators; port 0 selects a free port.
    pub operators: SocketAddr,
}

/// The services of a process that a daemon uses.
#[derive(Clone)]
pub struct DaemonServices {
    /// The tasks of the daemon.
    pub tasks: Tasks,
    /// The services of the platform.
    pub platform: Platform,
    /// The cluster keys.
    pub keys: KeyRing,
    /// The tokens of the operators.
    pub tokens: TokenRing,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

/// The services with the identity, the clock and the connections of one daemon.
pub(crate) struct DaemonContext {
    pub(crate) services: DaemonServices,
    pub(crate) identity: Identity,
    pub(crate) clock: Clock,
    pub(crate) peers: PeerPool,
}

impl DaemonContext {
    pub(crate) fn new(services: DaemonServices, identity: Identity) -> Self {
        let peers = PeerPool::new(services.keys.clone(), identity.id.clone());
        Self { services, identity, clock: Clock::start(), peers }
    }

    /// The membership record that the daemon starts with.
    pub(crate) fn initial_record(&self, process: Process, address: SocketAddr) -> MemberRecord {
        MemberRecord {
            id: self.identity.id.clone(),
            incarnation: self.clock.incarnation(),
            serial: 0,
            state: MemberState::Alive,
            place: self.identity.place.clone(),
            process,
            address,
            serving: Vec::new(),
        }
    }
}
