//! Injects faults at fixed fractions of the run.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::Timer;
use fleet::Intent;
use lab::Lab;
use standins::Engine;

use crate::args::Args;

/// Percentage of answers that the table loses during the fault `lost`.
const LOST_PERCENT: u64 = 20;
/// When each fault begins, as a fraction of the run. A pair holds the beginning and the end.
const LEAVE_AT: f64 = 0.2;
const STOP_AT: f64 = 0.35;
const KILL_AT: f64 = 0.5;
const ENTRY_AT: f64 = 0.6;
const TABLE_DOWN: (f64, f64) = (0.65, 0.8);
const LOST: (f64, f64) = (0.1, 0.5);
/// Interval at which due faults are injected.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Observations made while faults were injected.
#[derive(Default)]
pub struct Observations {
    /// Seconds from the acceptance of a leave until the leaving engine answered its last request.
    pub new_work_after_leave_s: Option<f64>,
    /// Whether a planned stop ended without cutting off a request.
    pub stop_was_clean: Option<bool>,
}

/// Injects the requested faults until the run is over.
pub async fn inject_faults(lab: &Lab, args: &Args) -> errors::Result<Observations> {
    let start = Instant::now();
    let fraction = || start.elapsed().as_secs_f64() / args.seconds;
    let mut observations = Observations::default();
    let mut leaving: Option<LeavingEngine> = None;
    let (mut stopped, mut killed, mut entry_killed) = (false, false, false);
    while fraction() < 1.0 {
        let table = &lab.platform.table.faults;
        table.set_down(args.has("table") && within(fraction(), TABLE_DOWN));
        let lost = args.has("lost") && within(fraction(), LOST);
        table.set_response_loss_percent(if lost { LOST_PERCENT } else { 0 });
        if args.has("leave") && fraction() >= LEAVE_AT && leaving.is_none() {
            leaving = leave(lab).await?;
        }
        if let Some(leaving) = &mut leaving {
            leaving.poll();
        }
        if args.has("stop") && fraction() >= STOP_AT && !stopped {
            stopped = true;
            lab.agents[1].node.stop().await;
        }
        if args.has("kill") && fraction() >= KILL_AT && !killed {
            killed = true;
            lab.agents[2].node.kill();
        }
        if args.has("entry") && fraction() >= ENTRY_AT && !entry_killed {
            entry_killed = true;
            lab.entries[1].kill();
        }
        Timer::after(POLL_INTERVAL).await;
    }
    lab.platform.table.faults.set_down(false);
    if stopped {
        let grace = Duration::from_secs(10);
        observations.stop_was_clean = Some(lab.agents[1].node.wait_stopped(grace).await);
    }
    observations.new_work_after_leave_s = leaving.map(|it| it.last_answer_s);
    Ok(observations)
}

fn within(fraction: f64, (from, to): (f64, f64)) -> bool {
    fraction >= from && fraction < to
}

/// An engine whose instance is leaving.
struct LeavingEngine {
    engine: Arc<Engine>,
    accepted: Instant,
    answered: u64,
    last_answer_s: f64,
}

impl LeavingEngine {
    /// Records the time if the engine has answered another request since the last call.
    fn poll(&mut self) {
        let answered = self.engine.completions_started();
        if answered != self.answered {
            self.answered = answered;
            self.last_answer_s = self.accepted.elapsed().as_secs_f64();
        }
    }
}

/// Makes the instance of the first engine leave. Other faults can make the table refuse the change; the caller
/// then tries again at the next poll.
async fn leave(lab: &Lab) -> errors::Result<Option<LeavingEngine>> {
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
    let answered = engine.completions_started();
    let accepted = Instant::now();
    Ok(Some(LeavingEngine { engine, accepted, answered, last_answer_s: 0.0 }))
}
