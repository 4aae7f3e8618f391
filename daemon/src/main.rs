//! The silverdock daemon: an entry or an agent, by its settings.

mod cli;

use std::process::ExitCode;

use cli::Cli;
use settings::Settings;

/// The exit code for faults in the settings.
const SETTINGS_EXIT: u8 = 2;

fn main() -> ExitCode {
    let cli: Cli = argh::from_env();
    let settings = match read(&cli) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{report}");
            return ExitCode::from(SETTINGS_EXIT);
        }
    };
    match silverdockd::run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:#}");
            ExitCode::FAILURE
        }
    }
}

fn read(cli: &Cli) -> Result<Settings, String> {
    let text = std::fs::read_to_string(&cli.settings)
        .map_err(|error| format!("{}: {error}", cli.settings.display()))?;
    Settings::parse(&text).map_err(|faults| faults.to_string())
}
