//! Tests of how reports of crashes spread between gateways and sidecars, at several sizes of a fleet.

use std::collections::BTreeSet;

use fleet::Millis;
use quarantine::{
    Admission, CrashLedger, CrashList, Crashes, IncarnationDigest, ListScope, RunnerLiveness,
    SubjectDigest, Subjects, UnclearEnd,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const STEP_MS: u64 = 20;
/// Interval of the messages of a gateway to the sidecars that it follows, and of a sidecar to its gateways.
const SUBSCRIBE_MS: u64 = 1000;
const LOAD_MS: u64 = 420;
/// Most sidecars that a gateway follows.
const MAX_FOLLOWED: usize = 64;
/// Interval between two requests with the bad part.
const BAD_INTERVAL_MS: u64 = 160;
/// Requests on a runner when it crashes.
const COMPANY: usize = 12;
const FIRST_PARTS: u64 = 3;
/// Middle parts for each runner, and the requests that succeed each second for each runner.
const MIDDLE_PARTS: u64 = 15;
const SUCCESSES_PER_S: f64 = 8.0;
/// Share of datagrams that are lost.
const LOSS: f64 = 0.1;
/// Within what time after the fifth crash all gateways must know of the part.
const CONTACT_MS: u64 = 3000;

/// Gateways and sidecars, and what was observed.
struct Fleet {
    random: SmallRng,
    now: u64,
    gateways: Vec<Crashes<u64>>,
    sidecars: Vec<CrashLedger>,
    /// Whether a gateway has news to send at once.
    has_news: Vec<bool>,
    lives: u32,
    requests: u64,
    crashes_at: Vec<u64>,
    bytes: u64,
    largest_list: usize,
    most_entries: usize,
}

fn bad_part() -> SubjectDigest {
    SubjectDigest::of_part("bad")
}

impl Fleet {
    fn new(gateways: usize, runners: usize) -> Self {
        Self {
            random: SmallRng::seed_from_u64(runners as u64),
            now: 1_000_000,
            gateways: (0..gateways).map(|_| Crashes::default()).collect(),
            sidecars: vec![CrashLedger::default(); runners],
            has_news: vec![false; gateways],
            lives: 0,
            requests: 0,
            crashes_at: Vec::new(),
            bytes: 0,
            largest_list: 0,
            most_entries: 0,
        }
    }

    fn now(&self) -> Millis {
        Millis(self.now)
    }

    fn sound_request(&mut self) -> Subjects {
        self.requests += 1;
        let first = self.random.random_range(0..FIRST_PARTS);
        let middles = MIDDLE_PARTS * self.sidecars.len() as u64;
        let middle = self.random.random_range(0..middles);
        let parts = [format!("first-{first}"), format!("middle-{middle}")];
        Subjects::new(
            SubjectDigest(self.requests),
            parts.iter().map(|it| SubjectDigest::of_part(it)),
        )
    }

    fn random_gateway(&mut self) -> usize {
        self.random.random_range(0..self.gateways.len())
    }

    /// A request with the bad part arrives at a gateway. If that sends it, a runner crashes with what runs there.
    fn send_bad_request(&mut self) {
        self.requests += 1;
        let gateway = self.random_gateway();
        let parts = [SubjectDigest::of_part("first-0"), bad_part()];
        let subjects = Subjects::new(SubjectDigest(self.requests), parts);
        let now = self.now();
        let admission = self.gateways[gateway].admit(now, 0, &subjects, |_| false);
        if matches!(admission, Admission::Refused { .. }) {
            return;
        }
        self.crashes_at.push(self.now);
        self.lives += 1;
        let runner = format!("i-{}", self.lives).as_str().into();
        let life = IncarnationDigest::of(&runner, None);
        let end = UnclearEnd::Failed;
        self.gateways[gateway].record_suspicion(now, subjects.iter(), &runner, life, end);
        for _ in 0..COMPANY {
            let (gateway, subjects) = (self.random_gateway(), self.sound_request());
            self.gateways[gateway].record_suspicion(now, subjects.iter(), &runner, life, end);
        }
    }

    fn succeed(&mut self) {
        let per_step = SUCCESSES_PER_S * self.sidecars.len() as f64 * STEP_MS as f64 / 1000.0;
        for _ in 0..per_step.round() as usize {
            let (gateway, subjects) = (self.random_gateway(), self.sound_request());
            let events = self.gateways[gateway].note_success(Millis(self.now), subjects.iter());
            self.has_news[gateway] |= !events.is_empty();
        }
    }

    fn followed(&self, gateway: usize) -> Vec<usize> {
        let all = self.sidecars.len();
        (0..all.min(MAX_FOLLOWED)).map(|it| (gateway * MAX_FOLLOWED + it) % all).collect()
    }

    fn count(&mut self, list: &CrashList) {
        let bytes = postcard::to_stdvec(list).unwrap().len();
        self.bytes += bytes as u64;
        self.largest_list = self.largest_list.max(bytes);
    }

    fn exchange(&mut self) {
        let now = self.now();
        for gateway in 0..self.gateways.len() {
            let crashes = &mut self.gateways[gateway];
            // Every runner that is suspected has ended.
            let dead = |_: &_, _| RunnerLiveness::ReportedAt(Millis(0));
            let events = crashes.resolve_suspicions(now, dead);
            self.has_news[gateway] |= events.iter().any(|it| it.is_own());
            let is_due = (self.now + 37 * gateway as u64) % SUBSCRIBE_MS < STEP_MS;
            if !is_due && !std::mem::take(&mut self.has_news[gateway]) {
                continue;
            }
            let draw = self.random.random();
            let list = self.gateways[gateway].ledger.list(now, ListScope::Fresh, draw);
            for sidecar in self.followed(gateway) {
                self.count(&list);
                if !self.random.random_bool(LOSS) {
                    self.sidecars[sidecar].merge(now, &list);
                }
            }
        }
        for sidecar in 0..self.sidecars.len() {
            if (self.now + 13 * sidecar as u64) % LOAD_MS >= STEP_MS {
                continue;
            }
            let list = self.sidecars[sidecar].list(now, ListScope::FreshSuspects, 0);
            for gateway in 0..self.gateways.len() {
                if !self.followed(gateway).contains(&sidecar) {
                    continue;
                }
                self.count(&list);
                if !self.random.random_bool(LOSS) {
                    let events = self.gateways[gateway].merge(now, &list);
                    self.has_news[gateway] |= events.iter().any(|it| it.is_own());
                }
            }
        }
        let entries = self.sidecars.iter().map(|it| it.count().0).max();
        self.most_entries = self.most_entries.max(entries.unwrap_or(0));
    }

    fn all_refuse(&self) -> bool {
        self.gateways.iter().all(|it| it.ledger.quarantined().contains(&bad_part()))
    }

    /// The subjects other than the bad part that some gateway refuses.
    fn wrongly_refused(&self) -> BTreeSet<SubjectDigest> {
        let refused = self.gateways.iter().flat_map(|it| it.ledger.quarantined());
        refused.filter(|it| *it != bad_part()).collect()
    }
}

/// Sends requests with the bad part for 12 s, and checks the bounds.
fn play(gateways: usize, runners: usize) {
    let mut fleet = Fleet::new(gateways, runners);
    let start = fleet.now;
    let (mut known_at, mut most_wrong, mut bytes_known) = (None, 0, 0);
    for step in 0..12_000 / STEP_MS {
        fleet.now = start + step * STEP_MS;
        if fleet.now % BAD_INTERVAL_MS < STEP_MS {
            fleet.send_bad_request();
        }
        fleet.succeed();
        fleet.exchange();
        if known_at.is_none() && fleet.all_refuse() {
            (known_at, bytes_known) = (Some(fleet.now), fleet.bytes);
        }
        most_wrong = most_wrong.max(fleet.wrongly_refused().len());
    }
    let (fifth, known_at) = (fleet.crashes_at[4], known_at.expect("all gateways know of the part"));
    let late = fleet.crashes_at.iter().filter(|it| **it > fifth + CONTACT_MS).count();
    let wrong = fleet.wrongly_refused().len();
    let span = known_at - start;
    println!(
        "{gateways} gateways, {runners} runners: {} crashes, last gateway {} ms after the third and {} ms after the fifth, \
         {} entries, largest list {} bytes, {} bytes/s a process until then, {most_wrong} wrongly refused at most, {wrong} at the end",
        fleet.crashes_at.len(),
        known_at.saturating_sub(fleet.crashes_at[2]),
        known_at.saturating_sub(fifth),
        fleet.most_entries,
        fleet.largest_list,
        bytes_known * 1000 / span / (gateways + runners) as u64,
    );
    assert!(known_at <= fifth + CONTACT_MS);
    assert_eq!(late, 0);
    assert_eq!(wrong, 0);
}

#[test]
fn the_last_of_five_gateways_learns_of_a_part_too_late() {
    play(5, 12);
}

#[test]
fn the_last_of_25_gateways_learns_of_a_part_too_late() {
    play(25, 60);
}

#[test]
fn the_last_of_128_gateways_learns_of_a_part_too_late() {
    play(128, 300);
}
