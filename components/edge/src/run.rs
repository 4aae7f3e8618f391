//! The life of a gateway or a sidecar: start, signals, planned stop.

use std::rc::Rc;

use async_executor::LocalExecutor;
use async_signal::{Signal, Signals};
use eyre::WrapErr;
use futures_lite::StreamExt;
use settings::{DeploymentRole, DeploymentSettings};

use crate::gateway::GatewayNode;
use crate::sidecar::SidecarNode;
use crate::spawner::Spawner;

/// Runs a process until it is told to stop.
pub fn run(settings: &DeploymentSettings) -> eyre::Result<()> {
    telemetry::start_logs(&settings.node.name.0, &settings.node.log_level)?;
    let executor = Rc::new(LocalExecutor::new());
    let life = live(Spawner::new(&executor), settings);
    async_io::block_on(executor.run(life))
}

async fn live(spawner: Spawner, settings: &DeploymentSettings) -> eyre::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .wrap_err("signals cannot be received")?;
    let node = match &settings.role {
        DeploymentRole::Gateway(_) => Some(GatewayNode::start(&spawner, settings).await?),
        DeploymentRole::Sidecar(sidecar) => {
            SidecarNode::start(&spawner, settings, sidecar).await?;
            None
        }
    };
    log::info!("started");
    while let Some(signal) = signals.next().await {
        match signal.wrap_err("a signal was lost")? {
            Signal::Hup => log::info!("settings changed"),
            _ => break,
        }
    }
    log::info!("stopping: no new work, requests in progress finish");
    if let Some(node) = node {
        node.stop().await;
    }
    log::info!("stopped");
    Ok(())
}
