//! The decisions of a sidecar as one pure reducer: which version its runner should hold, how the chunks are
//! fetched, and when the runner is ordered to load them.
//!
//! The distribution of chunks between sidecars is in the `reducer` crate; this crate adds the runner.

mod cold;
mod directory;
mod event;
mod first_attempts;
mod manifest_searches;
mod places;
mod precedence;
mod questions;
mod rate;
mod reducer;
mod reports;
mod target;
mod turns;

pub use cold::{ColdLimit, ColdPlan, ColdStart};
pub use directory::{Directory, DirectoryAnswer, DirectoryStep, GATEWAY_PATIENCE};
pub use event::{
    Effect, Event, ManifestSource, OrderOutcome, Peer, RolloutOptions, RunnerStatus, WeightsPlan,
};
pub use places::{Denial, Places};
pub use questions::{Question, Verdict};
pub use rate::RateLimiter;
pub use reducer::Rollout;
pub use reports::{Audience, Followers, Reports};
pub use turns::turn;
