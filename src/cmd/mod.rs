//! The subcommands, one module each.

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

use client::OperatorClient;
use errors::{Code, Error, Result};

use crate::cli::Cli;

/// The environment variable with the address of an entry.
const ENTRY_VARIABLE: &str = "SILVERDOCK_ENTRY";
/// The environment variable with the path of the token file.
const TOKEN_FILE_VARIABLE: &str = "SILVERDOCK_TOKEN_FILE";

/// Returns a client for the entry that the arguments or the environment specify.
pub fn operator_client(cli: &Cli) -> Result<OperatorClient> {
    let variable = std::env::var(ENTRY_VARIABLE).ok();
    let entry = cli.entry.or_else(|| variable.and_then(|text| text.parse().ok()));
    let entry =
        entry.ok_or_else(|| usage_error(&format!("specify --entry or set {ENTRY_VARIABLE}")))?;
    let variable = std::env::var(TOKEN_FILE_VARIABLE).ok();
    let file = cli.token_file.clone().or_else(|| variable.map(PathBuf::from));
    let file = file.ok_or_else(|| {
        usage_error(&format!("specify --token-file or set {TOKEN_FILE_VARIABLE}"))
    })?;
    let text = std::fs::read_to_string(&file);
    let text = text.map_err(|error| usage_error(&format!("{}: {error}", file.display())))?;
    Ok(OperatorClient::new(entry, text.lines().next().unwrap_or_default()))
}

/// Reads log files. Invalid UTF-8 is replaced, because a log may be truncated in the middle of a character.
pub fn read_logs(files: &[PathBuf]) -> Result<Vec<String>> {
    let read = |file: &PathBuf| {
        let bytes = std::fs::read(file);
        let bytes = bytes.map_err(|error| usage_error(&format!("{}: {error}", file.display())))?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    };
    files.iter().map(read).collect()
}

/// Creates an error about the arguments of the program.
pub fn usage_error(detail: &str) -> Error {
    Error::new(Code::BadSettings, detail)
}
