//! What a lab is made of.

use std::time::Duration;

use reducer::{AgentOptions, Choice, EntryOptions, Estimate, RouteChoice, SpreadOptions};
use settings::Kind;
use standins::EngineOptions;

/// The size and the rates of a lab.
#[derive(Clone, Debug)]
pub struct LabOptions {
    /// Instances with a model engine.
    pub engines: usize,
    /// Instances with a plain service, by its name.
    pub services: Vec<(String, usize)>,
    /// Entries.
    pub entries: usize,
    /// Data halls; instances take turns.
    pub halls: usize,
    /// The origin's link, in bytes a second.
    pub origin_bytes_per_s: u64,
    /// An instance's link each way, in bytes a second.
    pub link_bytes_per_s: u64,
    /// Copies that may be drawn from the origin.
    pub copies: u32,
    /// How engines behave.
    pub engine: EngineOptions,
    /// Time a plain service works on a request.
    pub service_work: Duration,
    /// Requests an upstream takes at once.
    pub concurrency: u32,
    /// Requests that may wait at an entry.
    pub queue_limit: u32,
    /// Kinds of requests besides chat completions.
    pub kinds: Vec<Kind>,
    /// Bytes a second that messages between daemons may cost.
    pub control_bytes_per_s: u64,
    /// How agents choose chunks and sources.
    pub choice: Choice,
    /// How entries choose upstreams.
    pub route_choice: RouteChoice,
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
            choice: Choice::default(),
            route_choice: RouteChoice::default(),
        }
    }
}

impl LabOptions {
    /// The numbers for an agent's reducer.
    pub fn agent(&self) -> AgentOptions {
        AgentOptions {
            concurrency: self.concurrency,
            memory_bytes: u64::MAX / 2,
            upload_bytes_per_s: self.link_bytes_per_s,
            spread: SpreadOptions {
                patience_ms: None,
                reach: reducer::Reach::default(),
                copies: self.copies,
                origin_bytes_per_s: self.origin_bytes_per_s,
                download_bytes_per_s: self.link_bytes_per_s,
                control_bytes_per_s: self.control_bytes_per_s,
                choice: self.choice,
            },
        }
    }

    /// The numbers for an entry's reducer.
    pub fn entry(&self) -> EntryOptions {
        EntryOptions {
            queue_limit: self.queue_limit,
            retry_share: 0.1,
            control_bytes_per_s: self.control_bytes_per_s / 2,
            estimate: self.estimate(),
            choice: self.route_choice,
        }
    }

    /// Link rates for estimates.
    pub fn estimate(&self) -> Estimate {
        Estimate {
            origin_bytes_per_s: self.origin_bytes_per_s as f64,
            link_bytes_per_s: self.link_bytes_per_s as f64,
            copies: self.copies,
        }
    }
}
