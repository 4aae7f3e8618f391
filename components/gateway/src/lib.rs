//! Every decision of a gateway as one pure reducer.
//!
//! A gateway receives requests from callers and forwards each one to a runner of the service that
//! its route names. This crate does no input or output: times and seeds are passed in with the
//! events, and the actions to take are returned as effects.

mod addresses;
mod budget;
mod catalog;
mod choice;
mod cold;
mod event;
pub mod followed;
mod home_demand;
mod home_faults;
mod limits;
mod members;
mod misdirections;
mod notices;
mod pauses;
mod pool;
mod rate_shares;
pub mod readers;
mod record;
mod reducer;
mod repeated_attempts;
mod resume_hold;
mod retry_delay;
mod runner;
mod silent_halls;
mod versions;

pub use budget::{BudgetLimits, RetryBudget};
pub use catalog::{
    Catalog, CatalogParts, ColdProfile, EngineProfile, Limits, Origin, Route, RouteKind, Service,
    Workspace,
};
pub use cold::{ColdRateShares, ColdShare};
pub use event::{
    Arrival, AttemptOutcome, ColdBounds, Effect, Event, GatewayOptions, IncarnationEvent, NextStep,
    NoticeChange, RequestKey, RunnerTarget, SelectionInfo, ServiceState, StalledEvent,
};
pub use home_faults::HomeFault;
pub use limits::{IncarnationLimit, KnownLimits};
pub use members::{Certainty, GatewayList, GatewayMembers, KnownGateway, KnownGateways};
pub use notices::{Notice, Notices};
pub use pool::Pool;
pub use record::{
    FirstSeenVersion, OlderVersion, RecordAnswer, RecordCall, RecordRow, VersionRecord,
};
pub use reducer::Gateway;
pub use resume_hold::StoreTable;
pub use runner::{Runner, RunnerIncarnation, RunnerLoad, RunnerRecord, RunnerState, WeightsHeld};
