//! `silverdock profile`: shows how much time the requests in log files spend in each step.

use account::Profile as RequestProfile;
use errors::Result;

use crate::cli::{Cli, Profile};
use crate::{cmd, messages};

/// Runs the command.
pub fn run(cli: &Cli, args: &Profile) -> Result<()> {
    let logs = cmd::read_logs(&args.files)?;
    let profile = RequestProfile::of(logs.iter().map(String::as_str));
    messages::print_value(cli.json, &profile, ToString::to_string);
    Ok(())
}
