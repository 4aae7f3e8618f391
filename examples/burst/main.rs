//! Spreads a file of weights over a fleet of real daemons on loopback while callers ask for it.
//!
//! `cargo run --release --example burst -- --help` lists the options.

mod args;
mod report;
mod run;

use std::sync::Arc;

use async_executor::Executor;
use lab::Lab;

fn main() -> eyre::Result<()> {
    let args: args::Args = argh::from_env();
    let executor = Arc::new(Executor::new());
    Lab::run_threads(&executor);
    let report = async_io::block_on(run::run(&executor, &args))?;
    if args.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        println!("{report}");
    }
    Ok(())
}
