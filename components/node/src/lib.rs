//! Drivers that turn the effects of the reducers into input and output.

mod agent;
mod clock;
mod control;
mod doors;
mod entry;
mod host;
mod inbox;
mod operators;
mod peers;
mod tokens;

pub use agent::{AgentNode, AgentSetup, Interference, Upstream};
pub use entry::{EntryNode, EntrySetup};
pub use host::{Host, Identity};
pub use tokens::TokenRing;
