//! `silverdock version`: prints the version of this program.

use errors::Result;
use serde::Serialize;

use crate::cli::Cli;
use crate::messages;

/// What is printed as JSON.
#[derive(Serialize)]
struct ProgramVersion {
    version: &'static str,
}

/// Runs the command.
pub fn run(cli: &Cli) -> Result<()> {
    let version = ProgramVersion { version: env!("CARGO_PKG_VERSION") };
    messages::show(cli.json, &version, |it| format!("silverdock {}", it.version));
    Ok(())
}
