//! Decisions on requests as log lines, and the account of one request put together from the lines of
//! several processes, and the profile of many.

mod account;
mod cause;
mod decision;
mod profile;

pub use account::{Account, Gap};
pub use decision::{Decision, Entry, RequestLine};
pub use profile::{Profile, Row, Step};
