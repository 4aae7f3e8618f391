//! Command line options of the example.

use argh::FromArgs;
use reducer::RoutingStrategy;

/// Send requests to a fleet at a fixed rate, independent of the answers, and check every answer.
#[derive(FromArgs)]
pub struct Args {
    /// load as a multiple of the capacity of the engines (default 0.7)
    #[argh(option, default = "0.7")]
    pub load: f64,
    /// duration of the load in seconds (default 10)
    #[argh(option, default = "10.0")]
    pub seconds: f64,
    /// comma-separated faults: kill, stop, entry, leave, table, lost, or all
    #[argh(option, default = "String::new()")]
    pub faults: String,
    /// round-robin or least-inflight: run this baseline strategy first
    #[argh(option, from_str_fn(parse_choice))]
    pub baseline: Option<RoutingStrategy>,
    /// seed of the arrivals and prompts (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print one line of JSON for each run
    #[argh(switch)]
    pub json: bool,
}

impl Args {
    /// Whether `fault` is to be injected.
    pub fn has(&self, fault: &str) -> bool {
        self.faults == "all" || self.faults.split(',').any(|name| name == fault)
    }
}

fn parse_choice(text: &str) -> Result<RoutingStrategy, String> {
    match text {
        "round-robin" => Ok(RoutingStrategy::RoundRobin),
        "least-inflight" => Ok(RoutingStrategy::LeastInFlight),
        _ => Err("expected round-robin or least-inflight".to_owned()),
    }
}
