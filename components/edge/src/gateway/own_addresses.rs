//! The addresses on which a gateway listens itself. An entry of the list of runners must not lead a request back to the
//! gateway that sends it.

use std::net::{IpAddr, SocketAddr};

use platform::store::Change;
use settings::DeploymentSettings;

/// The listening addresses of this process.
pub struct OwnAddresses {
    machine: IpAddr,
    listening: Vec<SocketAddr>,
}

impl OwnAddresses {
    /// Extracts the addresses from the settings.
    pub fn new(settings: &DeploymentSettings) -> Self {
        let node = &settings.node;
        let on_machine =
            [node.first_port, node.last_port].map(|port| SocketAddr::new(node.address, port));
        let of_role = settings.gateway().map(|it| [it.callers, it.readiness]);
        let listening = on_machine.into_iter().chain(of_role.into_iter().flatten()).collect();
        Self { machine: node.address, listening }
    }

    /// Turns the entry of a runner with such an address into an invalid one, and logs it.
    pub fn reject(&self, change: Change) -> Change {
        match change {
            Change::Runner(record) if self.contains(record.address) => {
                let address = record.address.to_string();
                log::error!(runner = record.id.0.as_str(), address = address.as_str(); "entry of a runner has an address of this gateway");
                Change::RunnerInvalid(record.id)
            }
            other => other,
        }
    }

    fn contains(&self, address: SocketAddr) -> bool {
        let ip = address.ip().to_canonical();
        let is_same = |own: &SocketAddr| {
            let is_on_machine = ip == self.machine || ip.is_loopback();
            let is_ip = own.ip() == ip || (own.ip().is_unspecified() && is_on_machine);
            is_ip && own.port() == address.port()
        };
        self.listening.iter().any(is_same)
    }
}

#[cfg(test)]
mod tests;
