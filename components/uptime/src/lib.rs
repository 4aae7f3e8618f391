//! Time that goes on while the machine is suspended.
//!
//! The steady clock of the system stands while a machine is suspended, so whatever is measured by it looks younger than
//! it is when the machine goes on: lists, leases, places, and the time that a request has left. The boot clock does not
//! stand. Nothing here follows the time of day, which may step.

mod instant;
mod sleep;
mod suspension;

pub use instant::Instant;
pub use sleep::{sleep, sleep_until};
pub use suspension::Suspensions;

#[cfg(feature = "simulated")]
pub use instant::pretend_suspended;
