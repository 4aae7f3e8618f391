//! `silverdock confirm`: puts a plan in force.

use async_io::block_on;
use errors::Result;
use serde::Serialize;

use crate::cli::{Cli, Confirm};
use crate::{cmd, messages};

/// The JSON output.
#[derive(Serialize)]
struct Accepted {
    revision: u64,
}

/// Runs the command.
pub fn run(cli: &Cli, args: &Confirm) -> Result<()> {
    let revision = block_on(cmd::operator_client(cli)?.confirm(&args.plan))?;
    let accepted = Accepted { revision: revision.0 };
    messages::print_value(cli.json, &accepted, |it| {
        format!("accepted: in force as of revision {}", it.revision)
    });
    Ok(())
}
