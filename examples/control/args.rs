//! Command line options of the example.

use std::path::PathBuf;

use argh::FromArgs;

/// Run daemons as processes, change their configuration, and measure the cost.
#[derive(FromArgs)]
pub struct Args {
    /// number of daemons; two in five are entries (default 25)
    #[argh(option, default = "25")]
    pub daemons: usize,
    /// number of configuration changes (default 20)
    #[argh(option, default = "20")]
    pub changes: usize,
    /// comma-separated faults: table, lost, pause, restart, or all
    #[argh(option, default = "String::new()")]
    pub faults: String,
    /// seed that selects the entry for each change (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// end with one line of JSON
    #[argh(switch)]
    pub json: bool,
    /// run as the daemon that this settings file describes (used by the example itself)
    #[argh(option)]
    pub daemon: Option<PathBuf>,
}

impl Args {
    /// Whether `fault` is to be injected.
    pub fn has(&self, fault: &str) -> bool {
        self.faults == "all" || self.faults.split(',').any(|name| name == fault)
    }
}
