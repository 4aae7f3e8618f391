//! Stand-ins for all services of the platform.

use std::net::SocketAddr;
use std::sync::Arc;

use errors::Result;
use externals::{HttpInstances, HttpObjects, HttpTable, HttpWeights, Platform};
use net::{Handler, Server, ServerLimits, Tasks};

use crate::{Instances, Objects, Origin, Table};

/// Maximum size of a request body, in bytes. Weights are published in a single request.
const MAX_BODY_BYTES: u64 = 1 << 31;

/// Options of the platform stand-in.
#[derive(Clone, Copy, Debug)]
pub struct PlatformOptions {
    /// Bandwidth of the origin's link, in bytes per second.
    pub origin_bytes_per_s: u64,
}

/// The platform's services, each on its own loopback address.
pub struct PlatformStandIn {
    /// The transactional table.
    pub table: Arc<Table>,
    /// The object store.
    pub objects: Arc<Objects>,
    /// The origin of weights.
    pub origin: Arc<Origin>,
    /// The instance list.
    pub instances: Arc<Instances>,
    servers: [Server; 4],
}

impl PlatformStandIn {
    /// Starts every service.
    pub async fn start(tasks: &Tasks, options: PlatformOptions) -> Result<Self> {
        let table = Arc::new(Table::default());
        let objects = Arc::new(Objects::default());
        let origin = Arc::new(Origin::new(tasks, options.origin_bytes_per_s));
        let instances = Arc::new(Instances::default());
        let servers = [
            serve(tasks, table.clone()).await?,
            serve(tasks, objects.clone()).await?,
            serve(tasks, origin.clone()).await?,
            serve(tasks, instances.clone()).await?,
        ];
        Ok(Self { table, objects, origin, instances, servers })
    }

    /// Returns the addresses of the table, the object store, the origin and the instance list, in this order.
    pub fn addresses(&self) -> [SocketAddr; 4] {
        [0, 1, 2, 3].map(|index| self.servers[index].address())
    }

    /// Returns HTTP clients for the services.
    pub fn connect(&self) -> Platform {
        let [table, objects, weights, instances] = self.addresses();
        Platform {
            table: Arc::new(HttpTable(table)),
            objects: Arc::new(HttpObjects(objects)),
            weights: Arc::new(HttpWeights(weights)),
            instances: Arc::new(HttpInstances(instances)),
        }
    }
}

async fn serve(tasks: &Tasks, handler: Arc<dyn Handler>) -> Result<Server> {
    let limits = ServerLimits { body_bytes: MAX_BODY_BYTES, ..ServerLimits::default() };
    Server::start(tasks, SocketAddr::from(([127, 0, 0, 1], 0)), limits, handler).await
}
