//! `silverdock explain`: collects the log lines about one request.

use account::Account;
use errors::Result;

use crate::cli::{Cli, Explain};
use crate::{cmd, messages};

/// Runs the command.
pub fn run(cli: &Cli, args: &Explain) -> Result<()> {
    let logs = cmd::read_logs(&args.files)?;
    let account = Account::of(&args.request, logs.iter().map(String::as_str));
    messages::print_value(cli.json, &account, ToString::to_string);
    Ok(())
}
