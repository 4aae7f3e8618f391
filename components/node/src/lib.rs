//! Drivers that execute the effects of the reducers as input and output.

mod agent;
mod clock;
mod control;
mod entry;
mod inbound;
mod inbox;
mod operators;
mod peers;
mod services;
mod tokens;

pub use agent::{AgentConfig, AgentNode, FaultInjection, Upstream};
pub use entry::{EntryConfig, EntryNode};
pub use services::{DaemonServices, Identity};
pub use tokens::TokenRing;
