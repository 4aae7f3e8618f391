//! A randomized soak test: it runs the real programs as processes, injects faults from outside and checks the
//! guarantees.
//!
//! `cargo build --release -p silverdockd && cargo run --release --example soak -- --seed 7`

mod args;
mod callers;
mod checker;
mod fault_injector;
mod faults;
mod fleet;
mod history;
mod proxy;
mod run;

use args::Args;

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let mut failed = Vec::new();
    for seed in args.seed..args.seed + args.seeds {
        let report = run::run(&args, seed)?;
        report.print(args.json);
        if !report.violations.is_empty() {
            failed.push(seed);
        }
    }
    if failed.is_empty() {
        return Ok(());
    }
    eyre::bail!("promises broken under the seeds {failed:?}");
}
