//! The signals that a daemon handles.

use async_signal::{Signal, Signals};
use eyre::WrapErr;

/// Starts to receive SIGTERM, SIGINT and SIGHUP. Until then each of them ends the process, so this comes first.
pub fn receive_signals() -> eyre::Result<Signals> {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    signals.wrap_err("signals cannot be received")
}
