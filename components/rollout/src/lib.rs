//! Every decision of a sidecar as one pure reducer: which version its runner should hold, how the
//! chunks get there, and when the runner is ordered to take them.
//!
//! The spread of chunks between sidecars is that of `reducer`; this package adds the runner.

mod cold;
mod directory;
mod event;
mod first_tries;
mod manifests;
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
pub use rate::RateGate;
pub use reducer::Rollout;
pub use reports::{Audience, Followers, Reports};
pub use turns::turn;
