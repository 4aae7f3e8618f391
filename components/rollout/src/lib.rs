//! The decisions of a sidecar as one pure reducer: which version its runner should hold, how the chunks are
//! fetched, and when the runner is ordered to load them.
//!
//! The distribution of chunks between sidecars is in the `reducer` crate; this crate adds the runner.

mod cold;
mod directory;
mod event;
mod first_attempts;
mod manifest_searches;
mod pinned_requests;
mod precedence;
mod rate;
mod reducer;
mod reports;
mod reservation_requests;
mod runner_slots;
mod target;
mod turns;

pub use cold::{ColdLimit, ColdPlan, ColdStart};
pub use directory::{Directory, DirectoryAnswer, DirectoryStep, GATEWAY_TIMEOUT_MS};
pub use event::{
    Effect, Event, LoadOrder, ManifestSource, OrderOutcome, OrderReason, Peer, RolloutOptions,
    RunnerStatus, WeightsPlan,
};
pub use rate::RateLimiter;
pub use reducer::Rollout;
pub use reports::{Recipients, Reports, Subscribers};
pub use reservation_requests::{ReservationReply, ReservationRequest};
pub use runner_slots::{Denial, RunnerSlots};
pub use turns::turn;
