//! The main loop of a gateway or sidecar process: start, signals, planned stop.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use eyre::WrapErr;
use futures_lite::{future, StreamExt};
use settings::{DeploymentRole, DeploymentSettings};
use telemetry::{Metrics, RateLimitedLogs};

use crate::gateway::GatewayNode;
use crate::reload::{SettingsFile, CHECK_INTERVAL};
use crate::sidecar::SidecarNode;
use crate::spawner::Spawner;

/// Runs a process until it receives a stop signal. `path` is the file that its settings were read from; `signals` has
/// received SIGHUP since before that.
pub fn run(settings: &DeploymentSettings, path: PathBuf, signals: Signals) -> eyre::Result<()> {
    let node = &settings.node;
    let logs =
        telemetry::start_rate_limited_logs(&node.name.0, &node.log_level, node.log_lines_per_s)?;
    if !settings.ablation.is_empty() {
        let switched_off = settings.ablation.to_string();
        log::warn!(without = switched_off.as_str(); "mechanisms are switched off for a measurement");
    }
    let executor = Rc::new(LocalExecutor::new());
    let file = SettingsFile::new(path, settings.clone());
    let main_loop = run_node(Spawner::new(&executor), file, logs, signals);
    async_io::block_on(executor.run(main_loop))
}

/// The time for writing the last lines of the log.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(60);

/// The running node.
enum Node {
    /// A gateway.
    Gateway(GatewayNode),
    /// A sidecar.
    Sidecar(SidecarNode),
}

impl Node {
    async fn start(spawner: &Spawner, settings: &DeploymentSettings) -> errors::Result<Self> {
        match &settings.role {
            DeploymentRole::Gateway(_) => {
                GatewayNode::start(spawner, settings).await.map(Self::Gateway)
            }
            DeploymentRole::Sidecar(sidecar) => {
                SidecarNode::start(spawner, settings, sidecar).await.map(Self::Sidecar)
            }
        }
    }

    fn metrics(&self) -> &Metrics {
        match self {
            Self::Gateway(gateway) => gateway.metrics(),
            Self::Sidecar(sidecar) => sidecar.metrics(),
        }
    }

    /// Applies changed settings. Work in progress is not affected.
    fn apply(&self, settings: &DeploymentSettings) {
        match self {
            Self::Gateway(gateway) => gateway.apply(settings),
            Self::Sidecar(sidecar) => sidecar.apply(settings),
        }
    }
}

/// What wakes the main loop.
enum Wake {
    /// A stop signal.
    Stop,
    /// A signal to read the settings again.
    Reload,
    /// It is time to check whether the settings have changed.
    CheckSettings,
}

async fn next_wake(signals: &mut Signals) -> eyre::Result<Wake> {
    let signal = async {
        match signals.next().await.transpose().wrap_err("a signal was lost")? {
            Some(Signal::Hup) => Ok(Wake::Reload),
            _ => Ok(Wake::Stop),
        }
    };
    let check = async {
        Timer::after(CHECK_INTERVAL).await;
        Ok(Wake::CheckSettings)
    };
    future::or(signal, check).await
}

fn reload(file: &mut SettingsFile, logs: &RateLimitedLogs, node: &Node) {
    let Some(settings) = file.reload(node.metrics()) else {
        return;
    };
    let result = logs.set(&settings.node.log_level, settings.node.log_lines_per_s);
    if let Err(error) = result {
        let reason = error.to_string();
        log::error!(reason = reason.as_str(); "log settings cannot be changed; the old ones stay");
    }
    node.apply(settings);
}

async fn run_node(
    spawner: Spawner,
    mut file: SettingsFile,
    logs: RateLimitedLogs,
    mut signals: Signals,
) -> eyre::Result<()> {
    signals.add_signals([Signal::Term, Signal::Int]).wrap_err("signals cannot be received")?;
    let node = Node::start(&spawner, file.in_force()).await?;
    log::info!("started");
    loop {
        match next_wake(&mut signals).await? {
            Wake::Stop => break,
            Wake::CheckSettings if !file.has_changed() => {}
            Wake::CheckSettings | Wake::Reload => reload(&mut file, &logs, &node),
        }
    }
    log::info!("stopping: no new work, requests in progress finish");
    if let Node::Gateway(gateway) = &node {
        gateway.stop().await;
    }
    drop(node);
    log::info!("stopped");
    // The log writer ends with the process.
    Timer::after(LOG_FLUSH_TIME).await;
    Ok(())
}
