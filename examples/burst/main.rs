//! Distributes a weights file to a fleet of real daemons on loopback while callers send requests.
//!
//! `cargo run --release --example burst -- --help` lists the options.

mod args;
mod callers;
mod faults;
mod plot;
mod report;
mod run;

use std::sync::Arc;

use args::Baseline;
use async_executor::Executor;
use lab::Lab;
use reducer::FetchStrategy;

fn main() -> eyre::Result<()> {
    let args: args::Args = argh::from_env();
    let executor = Arc::new(Executor::new());
    Lab::run_threads(&executor);
    let baseline = match args.baseline {
        None => None,
        Some(Baseline::Origin) => Some(FetchStrategy::OriginOnly),
        Some(Baseline::Random) => Some(FetchStrategy::Random),
    };
    let mut reports = Vec::new();
    for choice in baseline.into_iter().chain([FetchStrategy::Rarest]) {
        let run = async_io::block_on(run::run(&executor, &args, choice))?;
        if let (Some(path), FetchStrategy::Rarest) = (&args.plot, choice) {
            plot::draw(path, &run.timeline, &run.report)?;
        }
        reports.push(run.report);
    }
    for report in &reports {
        if args.json {
            println!("{}", serde_json::to_string(report)?);
        } else {
            println!("{report}\n");
        }
    }
    if let ([baseline, rarest], false) = (reports.as_slice(), args.json) {
        println!("{}", report::side_by_side(baseline, rarest));
    }
    Ok(())
}
