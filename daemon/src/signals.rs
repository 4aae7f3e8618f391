//! The signals that a daemon handles.

use async_signal::{Signal, Signals};
use eyre::WrapErr;

/// Starts to receive SIGHUP. Until then it ends the process, so this comes first. SIGTERM and SIGINT are added by
/// what runs the daemon, so that they still end a process that has nothing to stop yet.
pub fn receive_signals() -> eyre::Result<Signals> {
    Signals::new([Signal::Hup]).wrap_err("signals cannot be received")
}
