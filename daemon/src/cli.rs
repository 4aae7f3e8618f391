//! Command line arguments of the daemon.

use std::path::PathBuf;

use argh::FromArgs;

/// Run the silverdock process that the settings file describes: an entry, agent, gateway or sidecar.
#[derive(FromArgs)]
pub struct Cli {
    /// the settings file
    #[argh(positional)]
    pub settings: PathBuf,
}
