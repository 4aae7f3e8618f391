//! Stand-ins for the platform's services and for upstreams, served over HTTP, with injectable faults.
//!
//! They do not simulate a fleet. Each one behaves like a single service, as far as silverdock can observe.

mod engine;
mod engine_batch;
mod engine_cache;
mod engine_text;
mod faults;
mod instances;
mod objects;
mod origin;
mod platform;
mod service;
mod table;

pub use engine::{Engine, EngineOptions};
pub use engine_cache::CacheEvent;
pub use engine_text::{answer_text, token_text};
pub use faults::{Faults, PercentSampler, RateLimiter};
pub use instances::Instances;
pub use objects::Objects;
pub use origin::Origin;
pub use platform::{PlatformOptions, PlatformStandIn};
pub use service::Service;
pub use table::Table;
