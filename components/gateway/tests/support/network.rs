//! Gateways and sidecars that tell each other of gateways, over datagrams that are lost.

use std::collections::VecDeque;
use std::net::SocketAddr;

use fleet::{InstanceId, Millis};
use gateway::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const WINDOW: u64 = 10_000;
pub const ALLOWANCE: f64 = 134.0;
pub const PROFILE: ColdProfile = ColdProfile { start_ms: 3000, requests_per_s: 26.0 };
pub const BOUNDS: ColdBounds = ColdBounds { overrun: 1.5, slack: 5.0 };
pub const STEP: u64 = 20;
pub const COLD: [&str; 4] = ["p1", "p2", "p3", "p4"];

pub fn address(gateway: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, gateway as u8], 9000))
}

pub fn limits(allowance: f64) -> BudgetLimits {
    BudgetLimits { window_ms: WINDOW, ratio: 0.15, allowance }
}

/// What one life of a gateway knows and has used.
pub struct Life {
    pub members: Members,
    pub budget: RetryBudget,
    pub gates: ColdRateShares,
    pub next_round: u64,
}

impl Life {
    pub fn new(starts: u64) -> Self {
        let budget = RetryBudget::new(limits(0.0));
        Self {
            members: Members::new(WINDOW),
            budget,
            gates: ColdRateShares::default(),
            next_round: starts,
        }
    }

    pub fn look_around(&mut self, now: Millis) {
        self.budget.set_limits(limits(ALLOWANCE * self.members.part(now)));
        let share = ColdShare::new(PROFILE, BOUNDS);
        for runner in COLD {
            let id: InstanceId = runner.into();
            match self.members.responsible(now, runner, share.gateways) {
                Some(gateways) => self.gates.set(now, &id, share, gateways),
                None => self.gates.close(&id),
            }
        }
    }
}

/// Gateways and sidecars that lose a tenth of their datagrams. Every gateway sends as much as it may.
pub struct Town {
    pub now: u64,
    pub random: SmallRng,
    pub lives: Vec<Option<Life>>,
    pub sidecars: Vec<GatewaysHeard>,
    /// Sidecars below the first number and gateways below the second one hear nothing of the others.
    pub cut: Option<(usize, usize)>,
    pub repeats: VecDeque<u64>,
    pub most_repeats: usize,
    pub arrivals: Vec<VecDeque<u64>>,
    pub most_arrivals: usize,
    /// Arrivals at all cold runners.
    pub arrived: usize,
    /// Requests of callers at each gateway in a step; none where only the fixed allowance is looked at.
    pub traffic: f64,
    /// Requests and repeats in each step.
    pub steps: Vec<(usize, usize)>,
}

impl Town {
    pub fn new(seed: u64, gateways: usize, sidecars: usize) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let now = 1_000_000;
        let lives = (0..gateways).map(|_| Some(Life::new(now + random.random_range(0..2000))));
        Self {
            now,
            lives: lives.collect(),
            random,
            sidecars: vec![GatewaysHeard::new(WINDOW); sidecars],
            cut: None,
            repeats: VecDeque::new(),
            most_repeats: 0,
            arrivals: vec![VecDeque::new(); COLD.len()],
            most_arrivals: 0,
            arrived: 0,
            traffic: 0.0,
            steps: Vec::new(),
        }
    }

    pub fn are_linked(&self, gateway: usize, sidecar: usize) -> bool {
        self.cut.is_none_or(|(sidecars, gateways)| (sidecar < sidecars) == (gateway < gateways))
    }

    pub fn reach(&self, gateway: usize) -> f64 {
        let linked = (0..self.sidecars.len()).filter(|it| self.are_linked(gateway, *it)).count();
        linked as f64 / self.sidecars.len() as f64
    }

    /// A round of subscriptions, with questions to some sidecars.
    pub fn exchange(&mut self, gateway: usize) {
        let now = Millis(self.now);
        let Some(life) = &self.lives[gateway] else {
            return;
        };
        let asks = if life.members.sureness(now) == Sureness::Unsure { 3 } else { 1 };
        let asked: Vec<usize> =
            (0..asks).map(|_| self.random.random_range(0..self.sidecars.len())).collect();
        for sidecar in 0..self.sidecars.len() {
            let arrives = self.are_linked(gateway, sidecar) && self.random.random_bool(0.9);
            if !arrives {
                continue;
            }
            self.sidecars[sidecar].note(now, address(gateway));
            if asked.contains(&sidecar) && self.random.random_bool(0.9) {
                let list = self.sidecars[sidecar].list(now, address(gateway));
                let life = self.lives[gateway].as_mut();
                life.unwrap().members.take(now, list);
            }
        }
    }

    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.steps.push((0, 0));
            for gateway in 0..self.lives.len() {
                let due = self.lives[gateway].as_mut().is_some_and(|it| {
                    let due = it.next_round <= self.now;
                    it.next_round += if due { 1000 } else { 0 };
                    due
                });
                if due {
                    self.exchange(gateway);
                }
                self.use_all(gateway);
            }
        }
    }

    pub fn use_all(&mut self, gateway: usize) {
        let (at, now) = (self.now, Millis(self.now));
        let reach = self.reach(gateway);
        let Some(life) = &mut self.lives[gateway] else {
            return;
        };
        if life.members.wants_coverage(now) {
            life.members.note_coverage(now, Some(reach));
            life.look_around(now);
        }
        let step = self.steps.last_mut().unwrap();
        for _ in 0..(self.traffic + self.random.random::<f64>()) as usize {
            life.budget.count_request(now);
            step.0 += 1;
        }
        while life.budget.take_retry(now) {
            step.1 += 1;
            self.most_repeats = self.most_repeats.max(count(&mut self.repeats, at, WINDOW));
        }
        for (index, runner) in COLD.iter().enumerate() {
            let id: InstanceId = (*runner).into();
            while life.gates.take(now, &id) {
                self.arrived += 1;
                let most = count(&mut self.arrivals[index], at, 1000);
                self.most_arrivals = self.most_arrivals.max(most);
            }
        }
    }

    /// The most repeats of a window above what its requests allow, by those that came in the window, in the one
    /// before or half a window earlier, whichever are most.
    pub fn most_above_ratio(&self, ratio: f64) -> f64 {
        let window = (WINDOW / STEP) as usize;
        let sum = |end: usize, part: fn(&(usize, usize)) -> usize| -> f64 {
            self.steps[end - window..end].iter().map(part).sum::<usize>() as f64
        };
        let ends = (2 * window..self.steps.len()).step_by(10);
        let above = ends.map(|end| {
            let before = [end, end - window / 2, end - window].map(|it| sum(it, |step| step.0));
            sum(end, |step| step.1) - ratio * before.into_iter().fold(0.0, f64::max)
        });
        above.fold(0.0, f64::max)
    }

    /// Something that happens to gateways, sidecars or the links between them.
    pub fn trouble(&mut self) {
        let gateway = self.random.random_range(0..self.lives.len());
        let sidecar = self.random.random_range(0..self.sidecars.len());
        match self.random.random_range(0..6) {
            0 => self.lives[gateway] = None,
            1 => self.lives[gateway] = Some(Life::new(self.now)),
            2 if self.lives.len() < 64 => self.lives.push(Some(Life::new(self.now))),
            3 => self.cut = Some((sidecar, gateway)),
            4 => self.cut = None,
            _ => self.sidecars[sidecar] = GatewaysHeard::new(WINDOW),
        }
    }
}

/// Adds a moment, and gives how many lie in the span that ends with it.
pub fn count(moments: &mut VecDeque<u64>, at: u64, span: u64) -> usize {
    moments.push_back(at);
    while moments.front().is_some_and(|it| it + span < at) {
        moments.pop_front();
    }
    moments.len()
}

pub fn cold_bound() -> f64 {
    PROFILE.requests_per_s * BOUNDS.overrun + BOUNDS.slack
}
