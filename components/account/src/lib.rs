//! The format of log lines about requests, and two reports made from the logs of several processes: what happened
//! to one request ([`Account`]), and where the time of many requests went ([`Profile`]).

mod account;
mod cause;
mod decision;
mod profile;

pub use account::{Account, Gap};
pub use decision::{Decision, RequestLine, TimedDecision};
pub use profile::{Profile, Row, Step};
