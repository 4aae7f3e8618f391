//! Every decision of a sidecar as one pure reducer: which version its runner should hold, how the
//! chunks get there, and when the runner is ordered to take them.
//!
//! The spread of chunks between sidecars is that of `reducer`; this package adds the runner.

mod event;
mod places;
mod reducer;
mod target;

pub use event::{Effect, Event, OrderOutcome, Peer, RolloutOptions, RunnerStatus, WeightsPlan};
pub use places::{Denial, Places};
pub use reducer::Rollout;
