//! The life of a daemon: start, signals, planned stop.

use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_signal::{Signal, Signals};
use eyre::{eyre, WrapErr};
use futures_lite::StreamExt;
use net::Tasks;
use settings::Settings;

use crate::secrets::Secrets;
use crate::setup::Daemon;

/// How long a daemon lives on after its last answer, so that its news of leaving is sent.
const FAREWELL: Duration = Duration::from_millis(100);

/// Runs a daemon until it is told to stop.
pub fn run(settings: &Settings) -> eyre::Result<()> {
    telemetry::start_logs(&settings.node.name.0, &settings.node.log_level)?;
    let secrets = Secrets::load(&settings.node)?;
    let executor = Arc::new(Executor::new());
    let life = live(&executor, settings, &secrets);
    async_io::block_on(executor.run(life))
}

async fn live(
    executor: &Arc<Executor<'static>>,
    settings: &Settings,
    secrets: &Secrets,
) -> eyre::Result<()> {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let mut signals = signals.wrap_err("signals cannot be received")?;
    let tasks = Tasks::new(executor);
    let daemon = Daemon::start(&tasks, settings, secrets).await?;
    log::info!("started");
    while let Some(signal) = signals.next().await {
        match signal.wrap_err("a signal was lost")? {
            Signal::Hup => reload(settings, secrets),
            _ => break,
        }
    }
    log::info!("stopping: no new work, requests in progress finish");
    daemon.stop().await;
    let whole = daemon.stopped(Duration::from_secs(settings.node.stop_grace_s)).await;
    async_io::Timer::after(FAREWELL).await;
    if whole {
        log::info!("stopped");
        return Ok(());
    }
    Err(eyre!("requests were still in progress when the grace was over"))
}

fn reload(settings: &Settings, secrets: &Secrets) {
    match secrets.reload(&settings.node) {
        Ok(()) => log::info!("keys and tokens read again"),
        Err(error) => log::error!("keys and tokens stay as they are: {error}"),
    }
}
