//! Time that advances while the machine is suspended.
//!
//! The monotonic clock of the system stops while a machine is suspended. After the machine resumes, durations measured
//! with it are too short: lists, leases and reservations appear younger than they are, and requests appear to have more
//! time left. The boot clock does not stop. The wall clock is not used because it may jump.

mod instant;
mod sleep;
mod suspension;

pub use instant::Instant;
pub use sleep::{sleep, sleep_until};
pub use suspension::SuspensionDetector;

#[cfg(feature = "simulated")]
pub use instant::simulate_suspension;
