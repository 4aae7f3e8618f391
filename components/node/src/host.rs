//! What every daemon runs on.

use std::net::SocketAddr;
use std::sync::Arc;

use externals::Platform;
use fleet::{InstanceId, Place, Process};
use net::Tasks;
use telemetry::Metrics;
use wire::{KeyRing, MemberRecord, MemberState};

use crate::clock::Clock;
use crate::peers::Peers;
use crate::tokens::TokenRing;

/// Who a daemon is and where it listens.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The instance's name.
    pub id: InstanceId,
    /// Where it stands.
    pub place: Place,
    /// Where it listens for daemons; port 0 takes any free one.
    pub listen: SocketAddr,
    /// Where it listens for operators; port 0 takes any free one.
    pub operators: SocketAddr,
}

/// The surroundings of a daemon.
#[derive(Clone)]
pub struct Host {
    /// Everything the daemon starts.
    pub tasks: Tasks,
    /// The platform's services.
    pub platform: Platform,
    /// The cluster keys.
    pub keys: KeyRing,
    /// The operators' tokens.
    pub tokens: TokenRing,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

/// A host together with what is set up for one daemon on it.
pub(crate) struct Surroundings {
    pub(crate) host: Host,
    pub(crate) identity: Identity,
    pub(crate) clock: Clock,
    pub(crate) peers: Peers,
}

impl Surroundings {
    pub(crate) fn new(host: Host, identity: Identity) -> Self {
        let peers = Peers::new(host.keys.clone(), identity.id.clone());
        Self { host, identity, clock: Clock::start(), peers }
    }

    /// The daemon's first record of itself.
    pub(crate) fn record(&self, process: Process, address: SocketAddr) -> MemberRecord {
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
