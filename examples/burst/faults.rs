//! Injects faults at fixed fractions of the lower bound of the distribution time.

use std::time::{Duration, Instant};

use lab::Lab;

use crate::args::{Fault, Faults};

/// Percentage of chunks that a faulty link delays, and the length of the delay.
const STALL_PERCENT: u64 = 1;
const STALL: Duration = Duration::from_secs(5);
/// Percentage of chunks that a faulty link corrupts.
const CORRUPT_PERCENT: u64 = 2;
/// When instances are killed, as a fraction of the lower bound.
const KILL_AT: f64 = 0.3;
/// One in this many instances is killed.
const KILL_ONE_IN: usize = 12;
/// When an instance restarts with empty memory, as a fraction of the lower bound.
const RESTART_AT: f64 = 0.2;
/// When the origin goes down and recovers, as fractions of the lower bound. By then the peers together hold one
/// copy.
const ORIGIN_DOWN: (f64, f64) = (0.6, 0.85);
/// When the table goes down and recovers, as fractions of the lower bound.
const TABLE_DOWN: (f64, f64) = (0.1, 0.9);

/// The faults of one run and which of them were injected.
pub struct Schedule {
    faults: Faults,
    start: Instant,
    bound_seconds: f64,
    /// Number of instances that were killed and not restarted.
    pub dead: usize,
    killed: bool,
    restarted: bool,
}

impl Schedule {
    /// Injects the link faults; `advance` injects the others when they are due.
    pub fn start(lab: &Lab, faults: &Faults, bound_seconds: f64) -> Self {
        for agent in &lab.agents {
            if faults.has(Fault::Corrupt) {
                agent.link.set_corrupt_percent(CORRUPT_PERCENT);
            }
            if faults.has(Fault::Stall) {
                agent.link.set_chunk_delay(STALL_PERCENT, STALL);
            }
        }
        let start = Instant::now();
        Self {
            faults: faults.clone(),
            start,
            bound_seconds,
            dead: 0,
            killed: false,
            restarted: false,
        }
    }

    /// Injects the faults that are due.
    pub async fn advance(&mut self, lab: &mut Lab) -> errors::Result<()> {
        let fraction = self.start.elapsed().as_secs_f64() / self.bound_seconds;
        let within = |(from, to): (f64, f64)| fraction >= from && fraction < to;
        let platform = &lab.platform;
        platform.table.faults.set_down(self.faults.has(Fault::Table) && within(TABLE_DOWN));
        platform.origin.faults.set_down(self.faults.has(Fault::Origin) && within(ORIGIN_DOWN));
        if self.faults.has(Fault::Restart) && fraction >= RESTART_AT && !self.restarted {
            self.restarted = true;
            self.restart(lab).await?;
        }
        if self.faults.has(Fault::Kill) && fraction >= KILL_AT && !self.killed {
            self.killed = true;
            self.kill(lab);
        }
        Ok(())
    }

    /// Kills the first agents without a restart; the platform removes them from its list of instances.
    fn kill(&mut self, lab: &mut Lab) {
        let count = (lab.agents.len() / KILL_ONE_IN).max(1);
        for agent in lab.agents.drain(..count) {
            agent.node.kill();
            lab.platform.instances.remove(&agent.id);
        }
        self.dead = count;
    }

    /// Kills the last agent and restarts it with empty memory.
    async fn restart(&mut self, lab: &mut Lab) -> errors::Result<()> {
        let Some(agent) = lab.agents.pop() else {
            return Ok(());
        };
        agent.node.kill();
        lab.add_engine(&agent.id.0).await
    }
}
