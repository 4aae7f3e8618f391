//! The silverdock daemon. Its settings file selects the role: entry, agent, gateway or sidecar.

mod cli;

use std::process::ExitCode;

use cli::Cli;
use settings::{DeploymentSettings, Settings};

/// Exit code for invalid settings.
const SETTINGS_EXIT_CODE: u8 = 2;

/// Parsed settings of either deployment type.
enum AnySettings {
    /// An entry or agent of a fleet that silverdock manages itself.
    Fleet(Box<Settings>),
    /// A gateway or sidecar on the users' platform.
    Deployment(Box<DeploymentSettings>),
}

fn main() -> ExitCode {
    let signals = silverdockd::receive_signals();
    let cli: Cli = argh::from_env();
    let settings = match read_settings(&cli) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(SETTINGS_EXIT_CODE);
        }
    };
    let result = signals.and_then(|signals| match settings {
        AnySettings::Fleet(settings) => silverdockd::run(&settings, signals),
        AnySettings::Deployment(settings) => edge::run(&settings, cli.settings, signals),
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(cli: &Cli) -> Result<AnySettings, String> {
    let text = std::fs::read_to_string(&cli.settings)
        .map_err(|error| format!("{}: {error}", cli.settings.display()))?;
    let settings = if DeploymentSettings::has_deployment_section(&text) {
        DeploymentSettings::parse(&text).map(|it| AnySettings::Deployment(Box::new(it)))
    } else {
        Settings::parse(&text).map(|it| AnySettings::Fleet(Box::new(it)))
    };
    settings.map_err(|faults| faults.to_string())
}
