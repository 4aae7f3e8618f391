//! Command line arguments.

use argh::FromArgs;

/// Runs gateways and sidecars as processes against a stand-in of the platform, injects faults from outside and
/// checks what callers and runners observe.
#[derive(Clone, Debug, FromArgs)]
pub struct Args {
    /// the first seed
    #[argh(option, default = "1")]
    pub seed: u64,
    /// number of seeds to run, one after the other
    #[argh(option, default = "1")]
    pub seeds: u64,
    /// seconds during which faults are injected, for each seed
    #[argh(option, default = "20")]
    pub seconds: u64,
    /// number of processes
    #[argh(option, default = "8")]
    pub processes: usize,
    /// number of concurrent callers
    #[argh(option, default = "10")]
    pub callers: usize,
    /// comma-separated kinds of faults; all kinds if empty, `planned` for all planned work
    #[argh(option, default = "String::new()")]
    pub faults: String,
    /// directory for the logs of seeds with a violation
    #[argh(option, default = "String::from(\"target/soak\")")]
    pub keep: String,
    /// the daemon to run; by default the one built next to this example
    #[argh(option)]
    pub program: Option<std::path::PathBuf>,
    /// an earlier daemon, which all processes run at first; upgrades switch between the two
    #[argh(option)]
    pub old: Option<std::path::PathBuf>,
    /// print JSON lines
    #[argh(switch)]
    pub json: bool,
}
