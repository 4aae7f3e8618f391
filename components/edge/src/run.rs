//! The life of a gateway or a sidecar: start, signals, planned stop.

use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use eyre::WrapErr;
use futures_lite::StreamExt;
use settings::{DeploymentRole, DeploymentSettings};

use crate::gateway::GatewayNode;
use crate::sidecar::SidecarNode;
use crate::spawner::Spawner;

/// Runs a process until it is told to stop.
pub fn run(settings: &DeploymentSettings) -> eyre::Result<()> {
    let node = &settings.node;
    telemetry::start_bounded_logs(&node.name.0, &node.log_level, node.log_lines_per_s)?;
    if !settings.ablation.is_empty() {
        let without = settings.ablation.to_string();
        log::warn!(without = without.as_str(); "mechanisms are switched off for a measurement");
    }
    let executor = Rc::new(LocalExecutor::new());
    let life = live(Spawner::new(&executor), settings);
    async_io::block_on(executor.run(life))
}

/// How long the last lines of the log have to be written.
const LAST_LINES: Duration = Duration::from_millis(60);

/// What runs.
enum Node {
    /// A gateway.
    Gateway(GatewayNode),
    /// A sidecar.
    Sidecar(#[allow(dead_code)] SidecarNode),
}

async fn live(spawner: Spawner, settings: &DeploymentSettings) -> eyre::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .wrap_err("signals cannot be received")?;
    let node = match &settings.role {
        DeploymentRole::Gateway(_) => Node::Gateway(GatewayNode::start(&spawner, settings).await?),
        DeploymentRole::Sidecar(sidecar) => {
            Node::Sidecar(SidecarNode::start(&spawner, settings, sidecar).await?)
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
    if let Node::Gateway(gateway) = &node {
        gateway.stop().await;
    }
    drop(node);
    log::info!("stopped");
    // The writer of logs ends with the process.
    Timer::after(LAST_LINES).await;
    Ok(())
}
