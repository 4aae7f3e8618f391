//! `silverdock version`: prints the version of this program.

use errors::Result;
use serde::Serialize;

use crate::cli::Cli;
use crate::messages;

/// The JSON output.
#[derive(Serialize)]
struct ProgramVersion {
    version: &'static str,
}

/// Runs the command.
pub fn run(cli: &Cli) -> Result<()> {
    let version = ProgramVersion { version: env!("CARGO_PKG_VERSION") };
    messages::print_value(cli.json, &version, |it| format!("silverdock {}", it.version));
    Ok(())
}
