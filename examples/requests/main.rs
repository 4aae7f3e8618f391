//! Sends an open-loop load to a fleet of real daemons, optionally with faults, and checks every answer.
//!
//! `cargo run --release --example requests -- --load 3 --json`

mod args;
mod faults;
mod load;
mod overhead;
mod report;
mod run;

use std::sync::Arc;

use args::Args;
use async_executor::Executor;
use lab::Lab;

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let executor = Arc::new(Executor::new());
    Lab::run_threads(&executor);
    let choices = args.baseline.into_iter().chain([reducer::RoutingStrategy::Weighted]);
    for choice in choices {
        let report = async_io::block_on(run::run(&executor, &args, choice))?;
        if args.json {
            println!("{}", serde_json::to_string(&report)?);
        } else {
            println!("{report:#?}");
        }
    }
    Ok(())
}
