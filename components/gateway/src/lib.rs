//! Every decision of a gateway as one pure reducer.
//!
//! A gateway takes requests from callers and passes each one on to a runner of the service that its
//! route names. Nothing here does input or output: times and seeds come with the events, and what
//! is to be done goes out as effects.

mod budget;
mod catalog;
mod choice;
mod comeback;
mod evacuations;
mod event;
mod pool;
mod reducer;
mod runner;
mod tries;
mod versions;

pub use budget::RetryBudget;
pub use catalog::{
    Catalog, CatalogParts, ColdProfile, EngineProfile, Limits, Origin, Route, RouteKind, Service,
    Workspace,
};
pub use evacuations::Evacuations;
pub use event::{
    Arrival, AttemptOutcome, ColdBounds, Effect, Event, GatewayOptions, NextStep, RequestKey,
    RunnerTarget, Seen, Standing,
};
pub use pool::Pool;
pub use reducer::Gateway;
pub use runner::{Runner, RunnerLoad, RunnerRecord, RunnerState, WeightsHeld};
