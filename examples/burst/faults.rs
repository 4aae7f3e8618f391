//! Brings the faults about, at stated parts of the least possible time.

use std::time::{Duration, Instant};

use lab::Lab;

use crate::args::{Fault, Faults};

/// The share of chunks that a bad link holds back, and for how long.
const STALL_PERCENT: u64 = 1;
const STALL: Duration = Duration::from_secs(5);
/// The share of chunks that a bad link damages.
const CORRUPT_PERCENT: u64 = 2;
/// When instances die, as a part of the bound.
const KILL_AT: f64 = 0.3;
/// One instance in this many dies.
const KILL_ONE_IN: usize = 12;
/// When instances restart with empty memory.
const RESTART_AT: f64 = 0.2;
/// When the origin goes down and comes back. By then the peers hold one copy together.
const ORIGIN_DOWN: (f64, f64) = (0.6, 0.85);
/// When the table goes down and comes back.
const TABLE_DOWN: (f64, f64) = (0.1, 0.9);

/// The faults of one run and how far they have come.
pub struct Schedule {
    faults: Faults,
    start: Instant,
    bound: f64,
    /// Instances that died and stay dead.
    pub dead: usize,
    killed: bool,
    restarted: bool,
}

impl Schedule {
    /// Starts the faults of the links; the others come with time.
    pub fn start(lab: &Lab, faults: &Faults, bound: f64) -> Self {
        for agent in &lab.agents {
            if faults.has(Fault::Corrupt) {
                agent.link.set_corrupt_percent(CORRUPT_PERCENT);
            }
            if faults.has(Fault::Stall) {
                agent.link.set_stall(STALL_PERCENT, STALL);
            }
        }
        let start = Instant::now();
        Self { faults: faults.clone(), start, bound, dead: 0, killed: false, restarted: false }
    }

    /// Brings about what is due.
    pub async fn advance(&mut self, lab: &mut Lab) -> errors::Result<()> {
        let part = self.start.elapsed().as_secs_f64() / self.bound;
        let within = |(from, to): (f64, f64)| part >= from && part < to;
        let platform = &lab.platform;
        platform.table.faults.set_down(self.faults.has(Fault::Table) && within(TABLE_DOWN));
        platform.origin.faults.set_down(self.faults.has(Fault::Origin) && within(ORIGIN_DOWN));
        if self.faults.has(Fault::Restart) && part >= RESTART_AT && !self.restarted {
            self.restarted = true;
            self.restart(lab).await?;
        }
        if self.faults.has(Fault::Kill) && part >= KILL_AT && !self.killed {
            self.killed = true;
            self.kill(lab);
        }
        Ok(())
    }

    /// Kills the first few agents for good; the platform notices and takes them off its list.
    fn kill(&mut self, lab: &mut Lab) {
        let count = (lab.agents.len() / KILL_ONE_IN).max(1);
        for agent in lab.agents.drain(..count) {
            agent.node.kill();
            lab.platform.instances.remove(&agent.id);
        }
        self.dead = count;
    }

    /// Kills the last agent and starts it again with nothing.
    async fn restart(&mut self, lab: &mut Lab) -> errors::Result<()> {
        let Some(agent) = lab.agents.pop() else {
            return Ok(());
        };
        agent.node.kill();
        lab.add_engine(&agent.id.0).await
    }
}
