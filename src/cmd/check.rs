//! `silverdock check`: checks a daemon's settings file.

use errors::Result;
use serde::Serialize;
use settings::{RoleSettings, Settings};

use crate::cli::{Check, Cli};
use crate::{cmd, messages};

/// What is printed as JSON.
#[derive(Serialize)]
struct Checked {
    role: &'static str,
    name: String,
}

/// Runs the command.
pub fn run(cli: &Cli, args: &Check) -> Result<()> {
    let text = std::fs::read_to_string(&args.file);
    let text = text.map_err(|error| cmd::usage(&format!("{}: {error}", args.file.display())))?;
    let settings = Settings::parse(&text)?;
    let role = match settings.role {
        RoleSettings::Entry(_) => "entry",
        RoleSettings::Agent(_) => "agent",
    };
    let checked = Checked { role, name: settings.node.name.0 };
    messages::show(cli.json, &checked, |it| format!("no faults: {} {}", it.role, it.name));
    Ok(())
}
