//! The arguments.

use argh::FromArgs;

/// Runs gateways and sidecars as processes against a stand-in of the platform, harms them from
/// outside and checks what callers and runners see.
#[derive(Clone, Debug, FromArgs)]
pub struct Args {
    /// the first seed
    #[argh(option, default = "1")]
    pub seed: u64,
    /// how many seeds are played, one after the other
    #[argh(option, default = "1")]
    pub seeds: u64,
    /// seconds that faults last, for each seed
    #[argh(option, default = "20")]
    pub seconds: u64,
    /// how many processes run
    #[argh(option, default = "8")]
    pub processes: usize,
    /// callers that send requests at the same time
    #[argh(option, default = "10")]
    pub callers: usize,
    /// kinds of faults, split by commas; all where nothing is said
    #[argh(option, default = "String::new()")]
    pub faults: String,
    /// the folder that logs of seeds with a broken promise are kept in
    #[argh(option, default = "String::from(\"target/soak\")")]
    pub keep: String,
    /// the daemon to run; the one built beside this example where nothing is said
    #[argh(option)]
    pub program: Option<std::path::PathBuf>,
    /// an earlier daemon, which all processes run at first and are changed from and to
    #[argh(option)]
    pub old: Option<std::path::PathBuf>,
    /// print JSON lines
    #[argh(switch)]
    pub json: bool,
}
