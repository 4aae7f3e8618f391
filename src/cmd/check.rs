//! `silverdock check`: checks a daemon's settings file.

use errors::Result;
use serde::Serialize;
use settings::{DeploymentRole, DeploymentSettings, RoleSettings, Settings};

use crate::cli::{Check, Cli};
use crate::{cmd, messages};

/// The JSON output.
#[derive(Serialize)]
struct Checked {
    role: &'static str,
    name: String,
}

/// Runs the command.
pub fn run(cli: &Cli, args: &Check) -> Result<()> {
    let text = std::fs::read_to_string(&args.file);
    let text =
        text.map_err(|error| cmd::usage_error(&format!("{}: {error}", args.file.display())))?;
    let checked = if DeploymentSettings::has_deployment_section(&text) {
        check_deployment(&text)?
    } else {
        check_daemon(&text)?
    };
    messages::print_value(cli.json, &checked, |it| format!("no faults: {} {}", it.role, it.name));
    Ok(())
}

/// Checks the settings of a fleet daemon: an entry or an agent.
fn check_daemon(text: &str) -> Result<Checked> {
    let settings = Settings::parse(text)?;
    let role = match settings.role {
        RoleSettings::Entry(_) => "entry",
        RoleSettings::Agent(_) => "agent",
    };
    Ok(Checked { role, name: settings.node.name.0 })
}

/// Checks the settings of a gateway or sidecar on the users' platform.
fn check_deployment(text: &str) -> Result<Checked> {
    let settings = DeploymentSettings::parse(text)?;
    let role = match settings.role {
        DeploymentRole::Gateway(_) => "gateway",
        DeploymentRole::Sidecar(_) => "sidecar",
    };
    Ok(Checked { role, name: settings.node.name.0 })
}
