//! `silverdock confirm`: puts a plan in force.

use async_io::block_on;
use errors::Result;
use serde::Serialize;

use crate::cli::{Cli, Confirm};
use crate::{cmd, messages};

/// What is printed as JSON.
#[derive(Serialize)]
struct Accepted {
    revision: u64,
}

/// Runs the command.
pub fn run(cli: &Cli, args: &Confirm) -> Result<()> {
    let revision = block_on(cmd::operator(cli)?.confirm(&args.plan))?;
    let accepted = Accepted { revision: revision.0 };
    messages::show(cli.json, &accepted, |it| {
        format!("accepted: in force as of revision {}", it.revision)
    });
    Ok(())
}
