//! `silverdock watch`: follows a rollout until every replica is live.

use std::io::{stdout, IsTerminal, Write};
use std::thread::sleep;
use std::time::{Duration, Instant};

use async_io::block_on;
use errors::{Code, Error, Result};

use crate::cli::{Cli, Watch};
use crate::{cmd, messages};

/// Interval between two status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the command.
pub fn run(cli: &Cli, args: &Watch) -> Result<()> {
    let operator = cmd::operator_client(cli)?;
    let start = Instant::now();
    let shows_bar = stdout().is_terminal() && !cli.json;
    loop {
        let status = block_on(operator.rollout(&args.model))?;
        if shows_bar {
            print!("\r{}", messages::format_progress_bar(&status));
            let _ = stdout().flush();
        } else {
            messages::print_json_line(&status);
        }
        if status.live >= status.wanted {
            if shows_bar {
                println!();
            }
            return Ok(());
        }
        if start.elapsed().as_secs() >= args.timeout {
            let detail = format!("{} of {} replicas are live", status.live, status.wanted);
            return Err(Error::new(Code::TimedOut, detail));
        }
        sleep(POLL_INTERVAL);
    }
}
