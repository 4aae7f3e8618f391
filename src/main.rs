//! The command-line client for operators.

mod cli;
mod cmd;
mod messages;

use std::process::ExitCode;

use cli::{Cli, Command};

fn main() -> ExitCode {
    let cli: Cli = argh::from_env();
    let result = match &cli.command {
        Command::Plan(args) => cmd::plan::run(&cli, args),
        Command::Confirm(args) => cmd::confirm::run(&cli, args),
        Command::Status(_) => cmd::status::run(&cli),
        Command::Watch(args) => cmd::watch::run(&cli, args),
        Command::Publish(args) => cmd::publish::run(&cli, args),
        Command::Check(args) => cmd::check::run(&cli, args),
        Command::Explain(args) => cmd::explain::run(&cli, args),
        Command::Profile(args) => cmd::profile::run(&cli, args),
        Command::Version(_) => cmd::version::run(&cli),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => messages::report_error(&error, cli.json),
    }
}
