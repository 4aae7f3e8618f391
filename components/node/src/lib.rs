//! Drivers that execute the effects of the reducers as input and output.

mod agent;
mod clock;
mod control;
mod entry;
mod host;
mod inbound;
mod inbox;
mod operators;
mod peers;
mod tokens;

pub use agent::{AgentNode, AgentSetup, Interference, Upstream};
pub use entry::{EntryNode, EntrySetup};
pub use host::{Host, Identity};
pub use tokens::TokenRing;
