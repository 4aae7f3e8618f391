//! Measures configuration changes, membership and their cost with real daemon processes on loopback.
//!
//! `cargo run --release --example control -- --daemons 50 --json`

mod args;
mod daemons;
mod measure;
mod report;
mod run;

use args::Args;
use settings::Settings;

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    // The example runs itself as each daemon, so that it measures the code of the daemon itself.
    if let Some(file) = &args.daemon {
        let signals = silverdockd::receive_signals()?;
        let settings = Settings::parse(&std::fs::read_to_string(file)?)?;
        return silverdockd::run(&settings, signals);
    }
    let report = run::run(&args)?;
    if args.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        println!("{report:#?}");
    }
    Ok(())
}
