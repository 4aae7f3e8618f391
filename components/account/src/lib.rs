//! Decisions on requests as log lines, and the account of one request put together from the lines of
//! several processes.

mod account;
mod cause;
mod decision;

pub use account::{Account, Gap};
pub use decision::{Decision, Entry, RequestLine};
