//! The run itself.

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

/// How long the daemons may take to be ready.
const READY: Duration = Duration::from_secs(60);
/// How long daemons run undisturbed before their cost is measured: the start itself is not steady.
const SETTLE: Duration = Duration::from_secs(15);
/// Time between two changes.
const CHANGE_EVERY: Duration = Duration::from_millis(1000);
/// How long the last change has to come into force everywhere.
const LAST_CHANGE: Duration = Duration::from_secs(18);
/// How long a paused daemon stands still.
const PAUSE: Duration = Duration::from_secs(6);
/// How often a confirmation with an unknown outcome is sent again.
const SETTLE_TRIES: usize = 20;
/// The share of answers that the table loses.
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
    sleep(SETTLE);
    let before = costs(&daemons)?;
    let (reads, writes) = (platform.table.reads(), platform.table.writes());
    let start = Instant::now();
    let mut report =
        Report { daemons: args.daemons, faults: args.faults.clone(), ..Report::default() };
    let accepted = change(args, &platform, &mut daemons, &mut report)?;
    sleep(LAST_CHANGE);
    let seconds = start.elapsed().as_secs_f64();
    // Daemons that were started again have costs of their own; they are left out.
    let after = costs(&daemons)?;
    price(&mut report, &before, &after, seconds);
    report.table_reads_per_s = (platform.table.reads() - reads) as f64 / seconds;
    report.table_writes_per_s = (platform.table.writes() - writes) as f64 / seconds;
    judge(&mut report, &daemons, &accepted)?;
    Ok(report)
}

fn wait_ready(daemons: &Daemons) -> eyre::Result<()> {
    let start = Instant::now();
    while !daemons.all.iter().all(is_ready) {
        if start.elapsed() > READY {
            return Err(eyre!("the daemons do not become ready"));
        }
        sleep(Duration::from_millis(100));
    }
    Ok(())
}

/// Makes the changes, and brings the faults about between them.
fn change(
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
        let part = number * 100 / args.changes;
        platform.table.faults.set_down(args.has("table") && (20..40).contains(&part));
        let lost = args.has("lost") && (40..70).contains(&part);
        platform.table.faults.set_lost_percent(if lost { LOST_PERCENT } else { 0 });
        if args.has("pause") && part >= 50 && paused.is_none() {
            daemons.all[2].signal(Signal::STOP)?;
            paused = Some(Instant::now());
        }
        if args.has("restart") && number == args.changes * 3 / 4 {
            let half = daemons.all.len() / 2;
            daemons.all.iter_mut().skip(half).try_for_each(|it| it.restart())?;
        }
        let entry = entries[random.random_range(0..entries.len())];
        accepted.extend(make_change(daemons, entry, number, report));
        sleep(CHANGE_EVERY);
        if paused.is_some_and(|since: Instant| since.elapsed() >= PAUSE) {
            daemons.all[2].signal(Signal::CONT)?;
        }
    }
    if paused.is_some() {
        daemons.all[2].signal(Signal::CONT)?;
    }
    platform.table.faults.set_down(false);
    platform.table.faults.set_lost_percent(0);
    Ok(accepted)
}

/// Tells an agent to leave, or takes that back, through one entry.
fn make_change(
    daemons: &Daemons,
    entry: usize,
    number: usize,
    report: &mut Report,
) -> Option<Accepted> {
    let operator = daemons.all[entry].operator();
    let instance = InstanceId("agent-2".to_owned());
    let leave = Intent::Leave { instance: instance.clone() };
    let give_back = Intent::Return { instance };
    // Which of the two fits depends on how the changes before ended.
    let plan = block_on(operator.plan(&leave)).ok().filter(|_| number.is_multiple_of(2));
    let plan = plan.or_else(|| block_on(operator.plan(&give_back)).ok());
    let plan = plan.or_else(|| block_on(operator.plan(&leave)).ok());
    let Some(plan) = plan else {
        report.refused += 1;
        return None;
    };
    let mut unknown = false;
    for _ in 0..SETTLE_TRIES {
        match block_on(operator.confirm(&plan.id)) {
            Ok(revision) => {
                report.accepted += 1;
                report.unknown_settled += usize::from(unknown);
                return Some(Accepted { revision: revision.0, at_ms: unix_millis() });
            }
            Err(error) if error.code == Code::OutcomeUnknown => unknown = true,
            // Once the outcome is unknown, a refusal to look does not settle it.
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

fn price(report: &mut Report, before: &[Cost], after: &[Cost], seconds: f64) {
    let pairs = before.iter().zip(after);
    let same: Vec<(&Cost, &Cost)> = pairs.filter(|(old, new)| new.cpu_s >= old.cpu_s).collect();
    let count = same.len().max(1) as f64;
    let cpu = |(old, new): &(&Cost, &Cost)| (new.cpu_s - old.cpu_s) / seconds * 100.0;
    let bytes = same.iter().map(|(old, new)| (new.control_bytes - old.control_bytes).max(0.0));
    report.bytes_per_s_per_daemon = bytes.sum::<f64>() / seconds / count;
    report.cpu_percent_per_daemon = same.iter().map(cpu).sum::<f64>() / count;
    report.cpu_percent_busiest = same.iter().map(cpu).fold(0.0, f64::max);
    report.rss_mb_per_daemon = after.iter().map(|it| it.rss_bytes).fold(0.0, f64::max) / 1e6;
}

/// Reads from the logs when each change came into force where.
fn judge(report: &mut Report, daemons: &Daemons, accepted: &[Accepted]) -> eyre::Result<()> {
    let mut spans = Histogram::<u64>::new(3)?;
    for daemon in &daemons.all {
        let whole_life = daemon.logs.len() == 1;
        for log in &daemon.logs {
            report.reverted += read_log(log)?.1;
        }
        let Some(last) = daemon.logs.last() else { continue };
        let (applied, _) = read_log(last)?;
        for change in accepted {
            // A daemon that was started again later came into a later revision at once.
            let first = applied.range(change.revision..).next().map(|(_, at)| *at);
            match first {
                Some(at) if whole_life => spans.record(at.saturating_sub(change.at_ms))?,
                Some(_) => {}
                None => report.missed += 1,
            }
        }
    }
    report.in_force_p50_s = spans.value_at_quantile(0.5) as f64 / 1000.0;
    report.in_force_p99_s = spans.value_at_quantile(0.99) as f64 / 1000.0;
    report.in_force_max_s = spans.max() as f64 / 1000.0;
    Ok(())
}
