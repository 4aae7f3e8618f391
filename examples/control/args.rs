//! The options of the example.

use std::path::PathBuf;

use argh::FromArgs;

/// Run daemons as processes, change their configuration, and measure what it costs.
#[derive(FromArgs)]
pub struct Args {
    /// daemons to run; two in five are entries (default 25)
    #[argh(option, default = "25")]
    pub daemons: usize,
    /// changes to make (default 20)
    #[argh(option, default = "20")]
    pub changes: usize,
    /// faults, by commas: table, lost, pause, restart, or all
    #[argh(option, default = "String::new()")]
    pub faults: String,
    /// seed that says which daemons are hit and asked (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// end with one line of JSON
    #[argh(switch)]
    pub json: bool,
    /// be the daemon that this settings file describes (used by the example itself)
    #[argh(option)]
    pub daemon: Option<PathBuf>,
}

impl Args {
    /// Whether a fault is to be brought about.
    pub fn has(&self, fault: &str) -> bool {
        self.faults == "all" || self.faults.split(',').any(|name| name == fault)
    }
}
