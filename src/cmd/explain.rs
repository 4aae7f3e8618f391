//! `silverdock explain`: puts together what logs say of one request.

use account::Account;
use errors::Result;

use crate::cli::{Cli, Explain};
use crate::{cmd, messages};

/// Runs the command.
pub fn run(cli: &Cli, args: &Explain) -> Result<()> {
    let mut logs = Vec::new();
    for file in &args.files {
        let bytes = std::fs::read(file);
        let bytes = bytes.map_err(|error| cmd::usage(&format!("{}: {error}", file.display())))?;
        // A log may be cut within a character.
        logs.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    let account = Account::of(&args.request, logs.iter().map(String::as_str));
    messages::show(cli.json, &account, ToString::to_string);
    Ok(())
}
