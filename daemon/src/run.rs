//! Lifecycle of a daemon: startup, signal handling and planned stop.

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

/// Delay between the end of the last request and process exit, so that the notice that this daemon leaves is
/// still sent.
const LEAVE_NOTICE_DELAY: Duration = Duration::from_millis(100);

/// Runs a daemon until it receives SIGTERM or SIGINT. SIGHUP reloads keys and tokens.
pub fn run(settings: &Settings, signals: Signals) -> eyre::Result<()> {
    telemetry::start_logs(&settings.node.name.0, &settings.node.log_level)?;
    let secrets = Secrets::load(&settings.node)?;
    let executor = Arc::new(Executor::new());
    let daemon_task = run_until_signal(&executor, settings, &secrets, signals);
    async_io::block_on(executor.run(daemon_task))
}

async fn run_until_signal(
    executor: &Arc<Executor<'static>>,
    settings: &Settings,
    secrets: &Secrets,
    mut signals: Signals,
) -> eyre::Result<()> {
    signals.add_signals([Signal::Term, Signal::Int]).wrap_err("signals cannot be received")?;
    let tasks = Tasks::new(executor);
    let daemon = Daemon::start(&tasks, settings, secrets).await?;
    log::info!("started");
    while let Some(signal) = signals.next().await {
        match signal.wrap_err("failed to receive a signal")? {
            Signal::Hup => reload_secrets(settings, secrets),
            _ => break,
        }
    }
    log::info!("stopping: no new work, requests in progress finish");
    daemon.stop().await;
    let clean = daemon.wait_stopped(Duration::from_secs(settings.node.stop_grace_s)).await;
    async_io::Timer::after(LEAVE_NOTICE_DELAY).await;
    if clean {
        log::info!("stopped");
        return Ok(());
    }
    Err(eyre!("requests were still in progress at the end of the stop grace period"))
}

fn reload_secrets(settings: &Settings, secrets: &Secrets) {
    match secrets.reload(&settings.node) {
        Ok(()) => log::info!("keys and tokens reloaded"),
        Err(error) => log::error!("failed to reload keys and tokens: {error}"),
    }
}
