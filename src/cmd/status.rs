//! `silverdock status`: shows the fleet as an entry sees it.

use async_io::block_on;
use errors::Result;

use crate::cli::Cli;
use crate::{cmd, messages};

/// Runs the command.
pub fn run(cli: &Cli) -> Result<()> {
    let status = block_on(cmd::operator_client(cli)?.status())?;
    messages::print_value(cli.json, &status, messages::format_status);
    Ok(())
}
