//! Runs the daemons, changes their configuration and collects the results.

use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_executor::Executor;
use async_io::block_on;
use errors::Code;
use eyre::eyre;
use fleet::{InstanceId, Intent};
use hdrhistogram::Histogram;
use lab::Lab;
use net::Tasks;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use standins::{PlatformOptions, PlatformStandIn};

use crate::args::Args;
use crate::daemons::Daemons;
use crate::measure::{cost, is_ready, read_log, Cost};
use crate::report::Report;

/// How long the daemons may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// How long the daemons run before their cost is measured, because the cost during startup is not steady.
const WARM_UP: Duration = Duration::from_secs(15);
/// Interval between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1000);
/// How long the last change may take to be applied by all daemons.
const LAST_CHANGE_WAIT: Duration = Duration::from_secs(18);
/// How long a daemon stays paused by SIGSTOP.
const PAUSE_LENGTH: Duration = Duration::from_secs(6);
/// How often a confirmation with an unknown outcome is sent at most.
const MAX_CONFIRMATIONS: usize = 20;
/// Percentage of answers that the table loses during the fault `lost`.
const LOST_PERCENT: u64 = 30;

/// A change that was accepted.
struct Accepted {
    revision: u64,
    at_ms: u64,
}

/// Runs the example.
pub fn run(args: &Args) -> eyre::Result<Report> {
    let executor = Arc::new(Executor::new());
    Lab::run_threads(&executor);
    let tasks = Tasks::new(&executor);
    let options = PlatformOptions { origin_bytes_per_s: 1 << 20 };
    let platform = block_on(PlatformStandIn::start(&tasks, options))?;
    let mut daemons = Daemons::start(&platform, args.daemons)?;
    wait_ready(&daemons)?;
    sleep(WARM_UP);
    let before = costs(&daemons)?;
    let (reads, writes) = (platform.table.reads(), platform.table.writes());
    let start = Instant::now();
    let mut report =
        Report { daemons: args.daemons, faults: args.faults.clone(), ..Report::default() };
    let accepted = run_changes(args, &platform, &mut daemons, &mut report)?;
    sleep(LAST_CHANGE_WAIT);
    let seconds = start.elapsed().as_secs_f64();
    // The processor time of a restarted daemon starts from zero; `record_costs` leaves out daemons with less
    // processor time than before.
    let after = costs(&daemons)?;
    record_costs(&mut report, &before, &after, seconds);
    report.table_reads_per_s = (platform.table.reads() - reads) as f64 / seconds;
    report.table_writes_per_s = (platform.table.writes() - writes) as f64 / seconds;
    record_delays(&mut report, &daemons, &accepted)?;
    Ok(report)
}

fn wait_ready(daemons: &Daemons) -> eyre::Result<()> {
    let start = Instant::now();
    while !daemons.all.iter().all(is_ready) {
        if start.elapsed() > READY_TIMEOUT {
            return Err(eyre!("the daemons do not become ready"));
        }
        sleep(Duration::from_millis(100));
    }
    Ok(())
}

/// Makes the changes and injects the faults between them.
fn run_changes(
    args: &Args,
    platform: &PlatformStandIn,
    daemons: &mut Daemons,
    report: &mut Report,
) -> eyre::Result<Vec<Accepted>> {
    let mut random = StdRng::seed_from_u64(args.seed);
    let mut accepted = Vec::new();
    let entries: Vec<usize> =
        (0..daemons.all.len()).filter(|number| daemons.all[*number].is_entry).collect();
    let mut paused = None;
    for number in 0..args.changes {
        let percent_done = number * 100 / args.changes;
        platform.table.faults.set_down(args.has("table") && (20..40).contains(&percent_done));
        let lost = args.has("lost") && (40..70).contains(&percent_done);
        platform.table.faults.set_response_loss_percent(if lost { LOST_PERCENT } else { 0 });
        if args.has("pause") && percent_done >= 50 && paused.is_none() {
            daemons.all[2].signal(Signal::STOP)?;
            paused = Some(Instant::now());
        }
        if args.has("restart") && number == args.changes * 3 / 4 {
            let half = daemons.all.len() / 2;
            daemons.all.iter_mut().skip(half).try_for_each(|it| it.restart())?;
        }
        let entry = entries[random.random_range(0..entries.len())];
        accepted.extend(make_change(daemons, entry, number, report));
        sleep(CHANGE_INTERVAL);
        if paused.is_some_and(|since: Instant| since.elapsed() >= PAUSE_LENGTH) {
            daemons.all[2].signal(Signal::CONT)?;
        }
    }
    if paused.is_some() {
        daemons.all[2].signal(Signal::CONT)?;
    }
    platform.table.faults.set_down(false);
    platform.table.faults.set_response_loss_percent(0);
    Ok(accepted)
}

/// Makes an agent leave or return, through one entry.
fn make_change(
    daemons: &Daemons,
    entry: usize,
    number: usize,
    report: &mut Report,
) -> Option<Accepted> {
    let operator = daemons.all[entry].operator();
    let instance = InstanceId("agent-2".to_owned());
    let leave = Intent::Leave { instance: instance.clone() };
    let take_back = Intent::Return { instance };
    // Which of the two intents is valid depends on the outcome of the changes before.
    let plan = block_on(operator.plan(&leave)).ok().filter(|_| number.is_multiple_of(2));
    let plan = plan.or_else(|| block_on(operator.plan(&take_back)).ok());
    let plan = plan.or_else(|| block_on(operator.plan(&leave)).ok());
    let Some(plan) = plan else {
        report.refused += 1;
        return None;
    };
    let mut unknown = false;
    for _ in 0..MAX_CONFIRMATIONS {
        match block_on(operator.confirm(&plan.id)) {
            Ok(revision) => {
                report.accepted += 1;
                report.unknown_settled += usize::from(unknown);
                return Some(Accepted { revision: revision.0, at_ms: unix_millis() });
            }
            Err(error) if error.code == Code::OutcomeUnknown => unknown = true,
            // Once the outcome is unknown, `TableUnavailable` does not settle it.
            Err(error) if unknown && error.code == Code::TableUnavailable => {}
            Err(_) => break,
        }
    }
    report.refused += 1;
    None
}

fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}

fn costs(daemons: &Daemons) -> eyre::Result<Vec<Cost>> {
    daemons.all.iter().map(cost).collect()
}

fn record_costs(report: &mut Report, before: &[Cost], after: &[Cost], seconds: f64) {
    let pairs = before.iter().zip(after);
    let not_restarted: Vec<(&Cost, &Cost)> =
        pairs.filter(|(old, new)| new.cpu_s >= old.cpu_s).collect();
    let count = not_restarted.len().max(1) as f64;
    let cpu = |(old, new): &(&Cost, &Cost)| (new.cpu_s - old.cpu_s) / seconds * 100.0;
    let bytes =
        not_restarted.iter().map(|(old, new)| (new.control_bytes - old.control_bytes).max(0.0));
    report.bytes_per_s_per_daemon = bytes.sum::<f64>() / seconds / count;
    report.cpu_percent_per_daemon = not_restarted.iter().map(cpu).sum::<f64>() / count;
    report.cpu_percent_busiest = not_restarted.iter().map(cpu).fold(0.0, f64::max);
    report.rss_mb_per_daemon = after.iter().map(|it| it.rss_bytes).fold(0.0, f64::max) / 1e6;
}

/// Reads from the logs when each daemon applied each change.
fn record_delays(
    report: &mut Report,
    daemons: &Daemons,
    accepted: &[Accepted],
) -> eyre::Result<()> {
    let mut delays = Histogram::<u64>::new(3)?;
    for daemon in &daemons.all {
        let never_restarted = daemon.logs.len() == 1;
        for log in &daemon.logs {
            report.reverted += read_log(log)?.1;
        }
        let Some(last) = daemon.logs.last() else { continue };
        let (applied, _) = read_log(last)?;
        for change in accepted {
            // A restarted daemon may have applied a later revision directly.
            let first = applied.range(change.revision..).next().map(|(_, at)| *at);
            match first {
                Some(at) if never_restarted => delays.record(at.saturating_sub(change.at_ms))?,
                Some(_) => {}
                None => report.missed += 1,
            }
        }
    }
    report.in_force_p50_s = delays.value_at_quantile(0.5) as f64 / 1000.0;
    report.in_force_p99_s = delays.value_at_quantile(0.99) as f64 / 1000.0;
    report.in_force_max_s = delays.max() as f64 / 1000.0;
    Ok(())
}
