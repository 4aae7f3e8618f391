//! Small stand-ins for the platform, served over HTTP, with faults that can be switched.
//!
//! They are no simulator of a fleet: each one behaves as one service of the platform does, as far
//! as silverdock can tell.

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
pub use faults::{Allowance, Faults, Share};
pub use instances::Instances;
pub use objects::Objects;
pub use origin::Origin;
pub use platform::{PlatformOptions, PlatformStandIn};
pub use service::Service;
pub use table::Table;
