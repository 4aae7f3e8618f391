//! Brings the faults about, at stated parts of the run.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use fleet::Intent;
use lab::Lab;
use standins::Engine;

use crate::args::Args;

/// The share of answers that the table loses.
const LOST_PERCENT: u64 = 20;
/// When each fault comes, as a part of the run; the last two of each pair end it.
const LEAVE_AT: f64 = 0.2;
const STOP_AT: f64 = 0.35;
const KILL_AT: f64 = 0.5;
const ENTRY_AT: f64 = 0.6;
const TABLE_DOWN: (f64, f64) = (0.65, 0.8);
const LOST: (f64, f64) = (0.1, 0.5);
/// How often it is looked whether something is due.
const POLL: Duration = Duration::from_millis(10);

/// What the faults showed.
#[derive(Default)]
pub struct Seen {
    /// Seconds after the acceptance of a leave until the leaving engine began its last request.
    pub new_work_after_leave_s: Option<f64>,
    /// Whether a planned stop ended without cutting anything off.
    pub stop_was_clean: Option<bool>,
}

/// Brings about what the arguments ask for until the run is over.
pub async fn bring_about(lab: &Lab, args: &Args) -> errors::Result<Seen> {
    let start = Instant::now();
    let part = || start.elapsed().as_secs_f64() / args.seconds;
    let mut seen = Seen::default();
    let mut leaver: Option<Leaver> = None;
    let (mut stopped, mut killed, mut entry) = (false, false, false);
    while part() < 1.0 {
        let table = &lab.platform.table.faults;
        table.set_down(args.has("table") && within(part(), TABLE_DOWN));
        let lost = args.has("lost") && within(part(), LOST);
        table.set_lost_percent(if lost { LOST_PERCENT } else { 0 });
        if args.has("leave") && part() >= LEAVE_AT && leaver.is_none() {
            leaver = leave(lab).await?;
        }
        if let Some(leaver) = &mut leaver {
            leaver.look();
        }
        if args.has("stop") && part() >= STOP_AT && !stopped {
            stopped = true;
            lab.agents[1].node.stop().await;
        }
        if args.has("kill") && part() >= KILL_AT && !killed {
            killed = true;
            lab.agents[2].node.kill();
        }
        if args.has("entry") && part() >= ENTRY_AT && !entry {
            entry = true;
            lab.entries[1].kill();
        }
        Timer::after(POLL).await;
    }
    lab.platform.table.faults.set_down(false);
    if stopped {
        let grace = Duration::from_secs(10);
        seen.stop_was_clean = Some(lab.agents[1].node.stopped(grace).await);
    }
    seen.new_work_after_leave_s = leaver.map(|it| it.last_new_work);
    Ok(seen)
}

fn within(part: f64, (from, to): (f64, f64)) -> bool {
    part >= from && part < to
}

/// An engine whose instance was told to leave.
struct Leaver {
    engine: Arc<Engine>,
    accepted: Instant,
    answered: u64,
    last_new_work: f64,
}

impl Leaver {
    /// Sees whether the engine has begun another request.
    fn look(&mut self) {
        let answered = self.engine.answered();
        if answered != self.answered {
            self.answered = answered;
            self.last_new_work = self.accepted.elapsed().as_secs_f64();
        }
    }
}

/// Tells the first engine's instance to leave. Under other faults the table may refuse; then it is
/// tried again at the next look.
async fn leave(lab: &Lab) -> errors::Result<Option<Leaver>> {
    let agent = &lab.agents[0];
    let operator = lab.operator(0);
    let Ok(plan) = operator.plan(&Intent::Leave { instance: agent.id.clone() }).await else {
        return Ok(None);
    };
    if operator.confirm(&plan.id).await.is_err() {
        return Ok(None);
    }
    let Some(engine) = agent.engine.clone() else {
        return Ok(None);
    };
    let answered = engine.answered();
    let accepted = Instant::now();
    Ok(Some(Leaver { engine, accepted, answered, last_new_work: 0.0 }))
}
