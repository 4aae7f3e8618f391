//! Simulates gateways and sidecars that exchange lists of gateways in datagrams, some of which are
//! lost.

use std::collections::VecDeque;
use std::net::SocketAddr;

use fleet::{InstanceId, Millis};
use gateway::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const WINDOW_MS: u64 = 10_000;
pub const ALLOWANCE: f64 = 134.0;
pub const PROFILE: ColdProfile = ColdProfile { start_ms: 3000, requests_per_s: 26.0 };
pub const BOUNDS: ColdBounds = ColdBounds { overrun: 1.5, slack: 5.0 };
pub const STEP_MS: u64 = 20;
pub const COLD_RUNNERS: [&str; 4] = ["p1", "p2", "p3", "p4"];

pub fn address(gateway: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, gateway as u8], 9000))
}

pub fn limits(allowance: f64) -> BudgetLimits {
    BudgetLimits { window_ms: WINDOW_MS, ratio: 0.15, allowance }
}

/// The state of one process lifetime of a gateway.
pub struct GatewayProcess {
    pub members: GatewayMembers,
    pub budget: RetryBudget,
    pub cold_shares: ColdRateShares,
    pub next_round_at: u64,
}

impl GatewayProcess {
    pub fn new(starts_at: u64) -> Self {
        let budget = RetryBudget::new(limits(0.0));
        Self {
            members: GatewayMembers::new(WINDOW_MS),
            budget,
            cold_shares: ColdRateShares::default(),
            next_round_at: starts_at,
        }
    }

    pub fn update_shares(&mut self, now: Millis) {
        self.budget.set_limits(limits(ALLOWANCE * self.members.share(now)));
        let share = ColdShare::new(PROFILE, BOUNDS);
        for runner in COLD_RUNNERS {
            let id: InstanceId = runner.into();
            match self.members.responsible_count(now, runner, share.gateways) {
                Some(gateways) => self.cold_shares.set(now, &id, share, gateways),
                None => self.cold_shares.close(&id),
            }
        }
    }
}

/// Gateways and sidecars that lose a tenth of their datagrams. Every gateway sends as much as it
/// may.
pub struct Network {
    pub now: u64,
    pub random: SmallRng,
    pub processes: Vec<Option<GatewayProcess>>,
    pub sidecars: Vec<KnownGateways>,
    /// A partition: sidecars below the first number and gateways below the second one exchange no
    /// datagrams with the others.
    pub partition: Option<(usize, usize)>,
    pub retries: VecDeque<u64>,
    pub max_retries: usize,
    pub arrivals: Vec<VecDeque<u64>>,
    pub max_arrivals: usize,
    /// Number of requests at all cold runners.
    pub total_arrivals: usize,
    /// Requests of callers at each gateway in a step; zero if only the fixed allowance is tested.
    pub requests_per_step: f64,
    /// Numbers of requests and retries in each step.
    pub steps: Vec<(usize, usize)>,
}

impl Network {
    pub fn new(seed: u64, gateways: usize, sidecars: usize) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let now = 1_000_000;
        let processes =
            (0..gateways).map(|_| Some(GatewayProcess::new(now + random.random_range(0..2000))));
        Self {
            now,
            processes: processes.collect(),
            random,
            sidecars: vec![KnownGateways::new(WINDOW_MS); sidecars],
            partition: None,
            retries: VecDeque::new(),
            max_retries: 0,
            arrivals: vec![VecDeque::new(); COLD_RUNNERS.len()],
            max_arrivals: 0,
            total_arrivals: 0,
            requests_per_step: 0.0,
            steps: Vec::new(),
        }
    }

    pub fn are_linked(&self, gateway: usize, sidecar: usize) -> bool {
        self.partition
            .is_none_or(|(sidecars, gateways)| (sidecar < sidecars) == (gateway < gateways))
    }

    pub fn coverage(&self, gateway: usize) -> f64 {
        let linked = (0..self.sidecars.len()).filter(|it| self.are_linked(gateway, *it)).count();
        linked as f64 / self.sidecars.len() as f64
    }

    /// One round of subscriptions, with queries to some sidecars.
    pub fn exchange(&mut self, gateway: usize) {
        let now = Millis(self.now);
        let Some(process) = &self.processes[gateway] else {
            return;
        };
        let query_count = if process.members.certainty(now) == Certainty::Unsure { 3 } else { 1 };
        let queried: Vec<usize> =
            (0..query_count).map(|_| self.random.random_range(0..self.sidecars.len())).collect();
        for sidecar in 0..self.sidecars.len() {
            let arrives = self.are_linked(gateway, sidecar) && self.random.random_bool(0.9);
            if !arrives {
                continue;
            }
            self.sidecars[sidecar].note(now, address(gateway));
            if queried.contains(&sidecar) && self.random.random_bool(0.9) {
                let list = self.sidecars[sidecar].list(now, address(gateway));
                let process = self.processes[gateway].as_mut();
                process.unwrap().members.merge(now, list);
            }
        }
    }

    pub fn advance(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP_MS;
            self.steps.push((0, 0));
            for gateway in 0..self.processes.len() {
                let due = self.processes[gateway].as_mut().is_some_and(|it| {
                    let due = it.next_round_at <= self.now;
                    it.next_round_at += if due { 1000 } else { 0 };
                    due
                });
                if due {
                    self.exchange(gateway);
                }
                self.send_all_allowed(gateway);
            }
        }
    }

    pub fn send_all_allowed(&mut self, gateway: usize) {
        let (at, now) = (self.now, Millis(self.now));
        let coverage = self.coverage(gateway);
        let Some(process) = &mut self.processes[gateway] else {
            return;
        };
        if process.members.is_coverage_check_due(now) {
            process.members.note_coverage(now, Some(coverage));
            process.update_shares(now);
        }
        let step = self.steps.last_mut().unwrap();
        for _ in 0..(self.requests_per_step + self.random.random::<f64>()) as usize {
            process.budget.count_request(now);
            step.0 += 1;
        }
        while process.budget.take_retry(now) {
            step.1 += 1;
            self.max_retries = self.max_retries.max(count_within(&mut self.retries, at, WINDOW_MS));
        }
        for (index, runner) in COLD_RUNNERS.iter().enumerate() {
            let id: InstanceId = (*runner).into();
            while process.cold_shares.take_token(now, &id) {
                self.total_arrivals += 1;
                let most = count_within(&mut self.arrivals[index], at, 1000);
                self.max_arrivals = self.max_arrivals.max(most);
            }
        }
    }

    /// The highest excess of the retries in a window over what its requests allow. The requests are
    /// counted in the window, in the one before and half a window earlier, and the highest of these
    /// counts is used.
    pub fn max_above_ratio(&self, ratio: f64) -> f64 {
        let window = (WINDOW_MS / STEP_MS) as usize;
        let sum = |end: usize, part: fn(&(usize, usize)) -> usize| -> f64 {
            self.steps[end - window..end].iter().map(part).sum::<usize>() as f64
        };
        let window_ends = (2 * window..self.steps.len()).step_by(10);
        let above = window_ends.map(|end| {
            let before = [end, end - window / 2, end - window].map(|it| sum(it, |step| step.0));
            sum(end, |step| step.1) - ratio * before.into_iter().fold(0.0, f64::max)
        });
        above.fold(0.0, f64::max)
    }

    /// Injects a random fault of gateways, sidecars or the links between them.
    pub fn inject_fault(&mut self) {
        let gateway = self.random.random_range(0..self.processes.len());
        let sidecar = self.random.random_range(0..self.sidecars.len());
        match self.random.random_range(0..6) {
            0 => self.processes[gateway] = None,
            1 => self.processes[gateway] = Some(GatewayProcess::new(self.now)),
            2 if self.processes.len() < 64 => {
                self.processes.push(Some(GatewayProcess::new(self.now)))
            }
            3 => self.partition = Some((sidecar, gateway)),
            4 => self.partition = None,
            _ => self.sidecars[sidecar] = KnownGateways::new(WINDOW_MS),
        }
    }
}

/// Adds a time, and returns how many times lie in the span that ends with it.
pub fn count_within(moments: &mut VecDeque<u64>, at: u64, span: u64) -> usize {
    moments.push_back(at);
    while moments.front().is_some_and(|it| it + span < at) {
        moments.pop_front();
    }
    moments.len()
}

pub fn max_requests_to_cold_runner() -> f64 {
    PROFILE.requests_per_s * BOUNDS.overrun + BOUNDS.slack
}
