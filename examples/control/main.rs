//! Configuration, membership and their cost, with real daemons as processes on loopback.
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
    // The example starts itself as each daemon, so that the code measured is the daemon's own.
    if let Some(file) = &args.daemon {
        let settings = Settings::parse(&std::fs::read_to_string(file)?)?;
        return silverdockd::run(&settings);
    }
    let report = run::run(&args)?;
    if args.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        println!("{report:#?}");
    }
    Ok(())
}
