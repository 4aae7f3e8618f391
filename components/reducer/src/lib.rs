//! The decision logic of the daemons as pure reducers.
//!
//! This crate performs no I/O, reads no clock and generates no random numbers. Times and seeds are passed
//! with the events, and the actions to perform are returned as effects.

mod admission;
mod agent;
mod changes;
mod claims;
mod control;
mod entry;
mod members;
mod planner;
mod retry;
mod routing;
mod seed;
mod spread;

pub use admission::Admission;
pub use agent::{Agent, AgentEffect, AgentEvent, AgentOptions, Order};
pub use changes::{ChangeEffect, ChangeEvent, Changes, ConfigurationRow, Outcome};
pub use claims::{Claim, ClaimState, SavedAnswer};
pub use control::{Control, ControlEffect, ControlEvent};
pub use entry::{
    Arrival, AttemptId, Entry, EntryEffect, EntryEvent, EntryOptions, Failure, Target,
};
pub use members::{Member, Members};
pub use planner::{plan, Candidate, Estimate, Fleet};
pub use retry::RetryBudget;
pub use routing::{Router, RoutingStrategy, Upstream};
pub use seed::shared_hash;
pub use seed::Seed;
pub use spread::{
    Fetch, FetchSource, FetchStrategy, Gate, Neighbour, NeighbourLimits, OriginShare, Participant,
    Spread, SpreadEffect, SpreadOptions, SpreadPhase,
};
