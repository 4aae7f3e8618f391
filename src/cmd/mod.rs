//! The commands, one file each.

pub mod check;
pub mod confirm;
pub mod explain;
pub mod plan;
pub mod profile;
pub mod publish;
pub mod status;
pub mod version;
pub mod watch;

use std::path::PathBuf;

use client::Operator;
use errors::{Code, Error, Result};

use crate::cli::Cli;

/// The environment variable that names an entry.
const ENTRY_VARIABLE: &str = "SILVERDOCK_ENTRY";
/// The environment variable that names the token file.
const TOKEN_VARIABLE: &str = "SILVERDOCK_TOKEN_FILE";

/// The entry that the arguments or the environment name.
pub fn operator(cli: &Cli) -> Result<Operator> {
    let variable = std::env::var(ENTRY_VARIABLE).ok();
    let entry = cli.entry.or_else(|| variable.and_then(|text| text.parse().ok()));
    let entry = entry.ok_or_else(|| usage(&format!("give --entry or set {ENTRY_VARIABLE}")))?;
    let variable = std::env::var(TOKEN_VARIABLE).ok();
    let file = cli.token_file.clone().or_else(|| variable.map(PathBuf::from));
    let file = file.ok_or_else(|| usage(&format!("give --token-file or set {TOKEN_VARIABLE}")))?;
    let text = std::fs::read_to_string(&file);
    let text = text.map_err(|error| usage(&format!("{}: {error}", file.display())))?;
    Ok(Operator::new(entry, text.lines().next().unwrap_or_default()))
}

/// The text of some logs. A log may be cut within a character.
pub fn read_logs(files: &[PathBuf]) -> Result<Vec<String>> {
    let read = |file: &PathBuf| {
        let bytes = std::fs::read(file);
        let bytes = bytes.map_err(|error| usage(&format!("{}: {error}", file.display())))?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    };
    files.iter().map(read).collect()
}

/// An error in how the program was called.
pub fn usage(detail: &str) -> Error {
    Error::new(Code::BadSettings, detail)
}
