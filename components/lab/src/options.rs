//! Options of a lab.

use std::time::Duration;

use reducer::{
    AgentOptions, EntryOptions, Estimate, FetchStrategy, RoutingStrategy, SpreadOptions,
};
use settings::RequestKind;
use standins::EngineOptions;

/// Size, bandwidths and policies of a lab.
#[derive(Clone, Debug)]
pub struct LabOptions {
    /// Number of instances with a model engine.
    pub engines: usize,
    /// Names of plain services, and the number of instances of each.
    pub services: Vec<(String, usize)>,
    /// Number of entries.
    pub entries: usize,
    /// Number of data halls. Instances are assigned to them round-robin.
    pub halls: usize,
    /// Bandwidth of the origin's link, in bytes per second.
    pub origin_bytes_per_s: u64,
    /// Bandwidth of an instance's link in each direction, in bytes per second.
    pub link_bytes_per_s: u64,
    /// Maximum number of copies that are read from the origin.
    pub copies: u32,
    /// Options of the engines.
    pub engine: EngineOptions,
    /// Time that a plain service takes to execute a request.
    pub service_work: Duration,
    /// Maximum number of requests that an upstream handles concurrently.
    pub concurrency: u32,
    /// Maximum number of requests that wait at an entry.
    pub queue_limit: u32,
    /// Kinds of requests in addition to chat completions.
    pub kinds: Vec<RequestKind>,
    /// Bandwidth limit for messages between daemons, in bytes per second.
    pub control_bytes_per_s: u64,
    /// How agents choose chunks and sources.
    pub choice: FetchStrategy,
    /// How entries choose upstreams.
    pub route_choice: RoutingStrategy,
}

impl Default for LabOptions {
    fn default() -> Self {
        Self {
            engines: 3,
            services: Vec::new(),
            entries: 2,
            halls: 3,
            origin_bytes_per_s: 64 << 20,
            link_bytes_per_s: 32 << 20,
            copies: 1,
            engine: EngineOptions::default(),
            service_work: Duration::from_millis(5),
            concurrency: 16,
            queue_limit: 256,
            kinds: Vec::new(),
            control_bytes_per_s: 3000,
            choice: FetchStrategy::default(),
            route_choice: RoutingStrategy::default(),
        }
    }
}

impl LabOptions {
    /// Returns the options for an agent's reducer.
    pub fn agent(&self) -> AgentOptions {
        AgentOptions {
            concurrency: self.concurrency,
            memory_bytes: u64::MAX / 2,
            upload_bytes_per_s: self.link_bytes_per_s,
            spread: SpreadOptions {
                timeout_ms: None,
                reach: reducer::NeighbourLimits::default(),
                copies: self.copies,
                origin_bytes_per_s: self.origin_bytes_per_s,
                download_bytes_per_s: self.link_bytes_per_s,
                control_bytes_per_s: self.control_bytes_per_s,
                choice: self.choice,
            },
        }
    }

    /// Returns the options for an entry's reducer.
    pub fn entry(&self) -> EntryOptions {
        EntryOptions {
            queue_limit: self.queue_limit,
            retry_share: 0.1,
            control_bytes_per_s: self.control_bytes_per_s / 2,
            estimate: self.estimate(),
            choice: self.route_choice,
        }
    }

    /// Returns the bandwidths for the estimates in plans.
    pub fn estimate(&self) -> Estimate {
        Estimate {
            origin_bytes_per_s: self.origin_bytes_per_s as f64,
            link_bytes_per_s: self.link_bytes_per_s as f64,
            copies: self.copies,
        }
    }
}
