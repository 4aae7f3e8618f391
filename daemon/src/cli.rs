//! The arguments of the daemon.

use std::path::PathBuf;

use argh::FromArgs;

/// Run an entry or an agent of silverdock, as the settings file says.
#[derive(FromArgs)]
pub struct Cli {
    /// the settings file
    #[argh(positional)]
    pub settings: PathBuf,
}
