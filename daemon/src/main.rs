//! The silverdock daemon: an entry, an agent, a gateway or a sidecar, by its settings.

mod cli;

use std::process::ExitCode;

use cli::Cli;
use settings::{DeploymentSettings, Settings};

/// The exit code for faults in the settings.
const SETTINGS_EXIT: u8 = 2;

/// The settings of a daemon of either kind.
enum AnySettings {
    /// An entry or an agent of a fleet of our own.
    Fleet(Box<Settings>),
    /// A gateway or a sidecar on the users' platform.
    Deployment(Box<DeploymentSettings>),
}

fn main() -> ExitCode {
    let cli: Cli = argh::from_env();
    let settings = match read(&cli) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report}");
            return ExitCode::from(SETTINGS_EXIT);
        }
    };
    let ended = match settings {
        AnySettings::Fleet(settings) => silverdockd::run(&settings),
        AnySettings::Deployment(settings) => edge::run(&settings, cli.settings),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:#}");
            ExitCode::FAILURE
        }
    }
}

fn read(cli: &Cli) -> Result<AnySettings, String> {
    let text = std::fs::read_to_string(&cli.settings)
        .map_err(|error| format!("{}: {error}", cli.settings.display()))?;
    let settings = if DeploymentSettings::is_meant(&text) {
        DeploymentSettings::parse(&text).map(|it| AnySettings::Deployment(Box::new(it)))
    } else {
        Settings::parse(&text).map(|it| AnySettings::Fleet(Box::new(it)))
    };
    settings.map_err(|faults| faults.to_string())
}
