//! Lifecycle of a silverdock entry or agent: settings, startup, signal handling and planned stop.

mod run;
mod secrets;
mod setup;
mod signals;

pub use run::run;
pub use setup::Daemon;
pub use signals::receive_signals;
