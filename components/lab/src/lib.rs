//! Small fleets of real daemon code on loopback, for examples and tests. The platform is played by
//! the stand-ins; the daemons and the messages between them are the real ones.

mod caller;
mod fleet;
mod interference;
mod options;

pub use crate::fleet::{deploy_intent, Agent, Lab};
pub use caller::{ask, post, ChatAnswer, ChatCaller, Ending};
pub use interference::LinkFaults;
pub use options::LabOptions;
