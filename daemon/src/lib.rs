//! The life of a silverdock daemon: settings, start, signals, planned stop.

mod run;
mod secrets;
mod setup;

pub use run::run;
pub use setup::Daemon;
