//! Small in-process fleets on the loopback interface, for examples and tests. The daemons and the messages between them
//! are the real ones; the platform's services and the upstreams are stand-ins.

mod caller;
mod fleet;
mod link_faults;
mod options;

pub use crate::fleet::{deploy_intent, Agent, Lab};
pub use caller::{post, post_request, ChatAnswer, ChatCaller, Outcome};
pub use link_faults::LinkFaults;
pub use options::LabOptions;
