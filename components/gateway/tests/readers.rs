//! Gateways of a data hall that select, by a row of the store, which of them read the store for the
//! others.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use fleet::Millis;
use gateway::readers::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const STEP_MS: u64 = 50;
/// Interval of the queries of a gateway to the reader that it follows, in milliseconds.
const QUERY_INTERVAL_MS: u64 = 1000;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 7700))
}

struct Gateway {
    readers: Readers,
    is_alive: bool,
    next_query_at: u64,
}

/// A simulated data hall with its row. Calls to the store take no time.
struct Hall {
    now: u64,
    random: SmallRng,
    gateways: Vec<Gateway>,
    row: ReadersRow,
    store_works: bool,
    /// Number of calls for the row.
    calls: usize,
    /// Number of unanswered queries.
    unanswered: usize,
}

impl Hall {
    fn new(gateways: usize) -> Self {
        let now = 1_000_000;
        let mut random = SmallRng::seed_from_u64(gateways as u64);
        let gateway = |number| Gateway {
            readers: Readers::new(Millis(now), address(number)),
            is_alive: true,
            next_query_at: now + random.random_range(0..QUERY_INTERVAL_MS),
        };
        let gateways = (0..gateways).map(gateway).collect();
        Self {
            now,
            gateways,
            random,
            row: ReadersRow::default(),
            store_works: true,
            calls: 0,
            unanswered: 0,
        }
    }

    fn answer(&mut self, call: &ReadersCall) -> ReadersAnswer {
        self.calls += 1;
        match call {
            _ if !self.store_works => ReadersAnswer::Failed,
            ReadersCall::Write(row) if row.revision == self.row.revision => {
                self.row =
                    ReadersRow { revision: self.now * 100 + self.calls as u64, ..row.clone() };
                ReadersAnswer::Written(self.row.revision)
            }
            ReadersCall::Read | ReadersCall::Write(_) => ReadersAnswer::Row(self.row.clone()),
        }
    }

    fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP_MS;
            for number in 0..self.gateways.len() {
                if self.gateways[number].is_alive {
                    self.call_store(number);
                    self.query_reader(number);
                }
            }
        }
    }

    fn call_store(&mut self, number: usize) {
        let now = Millis(self.now);
        if let Some(call) = self.gateways[number].readers.due(now) {
            let answer = self.answer(&call);
            let seed = self.random.random();
            self.gateways[number].readers.apply_answer(now, seed, &call, answer);
        }
    }

    fn query_reader(&mut self, number: usize) {
        let now = Millis(self.now);
        if self.gateways[number].next_query_at > self.now {
            return;
        }
        self.gateways[number].next_query_at += QUERY_INTERVAL_MS;
        let Source::Reader(reader) = self.gateways[number].readers.source(now) else {
            return;
        };
        let queried = (0..self.gateways.len()).find(|it| address(*it) == reader).unwrap();
        if self.gateways[queried].is_alive {
            self.gateways[queried].readers.record_query(now);
        }
        let queried = &self.gateways[queried];
        let is_alive = queried.is_alive;
        if is_alive && queried.readers.is_reader() {
            self.gateways[number].readers.record_answer(reader);
        } else {
            self.unanswered += 1;
            let seed = self.random.random();
            self.gateways[number].readers.record_timeout(now, seed, reader, !is_alive);
        }
    }

    fn restart(&mut self, number: usize) {
        self.gateways[number].readers = Readers::new(Millis(self.now), address(number));
        self.gateways[number].is_alive = true;
    }

    /// The number of gateways that query the store, and the readers that are queried.
    fn sources(&self) -> (usize, BTreeSet<SocketAddr>) {
        let (mut direct, mut queried) = (0, BTreeSet::new());
        for gateway in self.gateways.iter().filter(|it| it.is_alive) {
            match gateway.readers.source(Millis(self.now)) {
                Source::Store => direct += 1,
                Source::Undecided => {}
                Source::Reader(reader) => {
                    queried.insert(reader);
                }
            }
        }
        (direct, queried)
    }

    /// Whether few enough gateways query the store, and all queried readers are alive.
    fn is_settled(&self) -> bool {
        let (direct, queried) = self.sources();
        let is_alive = |it: &SocketAddr| {
            let gateway = (0..self.gateways.len()).find(|number| address(*number) == *it);
            gateway.is_some_and(|it| self.gateways[it].is_alive)
        };
        let needs_readers = self.gateways.iter().filter(|it| it.is_alive).count() > READERS;
        direct <= READERS && queried.is_empty() != needs_readers && queried.iter().all(is_alive)
    }
}

#[test]
fn in_a_small_hall_all_gateways_read_the_store_and_the_row_costs_few_calls() {
    for gateways in 1..READERS {
        let mut hall = Hall::new(gateways);
        hall.run(60_000);
        assert_eq!(hall.sources().0, gateways);
        assert!(hall.calls <= 6 * gateways, "{} calls of {gateways}", hall.calls);
        assert_eq!(hall.unanswered, 0);
    }
}

#[test]
fn in_a_large_hall_the_number_of_readers_does_not_depend_on_its_size() {
    for gateways in [READERS, 12, 61, 200] {
        let mut hall = Hall::new(gateways);
        hall.run(12_000);
        let (direct, queried) = hall.sources();
        assert!(direct <= READERS, "{direct} of {gateways} read");
        assert!(queried.len() <= READERS);
        hall.run(60_000);
        assert!(hall.is_settled());
        assert!(hall.calls <= 4 * gateways + 60, "{} calls of {gateways}", hall.calls);
        let unanswered = hall.unanswered;
        hall.run(60_000);
        assert_eq!(hall.unanswered, unanswered, "no query is unanswered without faults");
    }
}

#[test]
fn gateways_keep_a_source_while_readers_are_killed_one_after_another() {
    let mut hall = Hall::new(61);
    hall.run(12_000);
    for round in 0..6 {
        let reader = *hall.row.named.first().unwrap();
        let number = (0..61).find(|it| address(*it) == reader).unwrap();
        hall.gateways[number].is_alive = false;
        hall.run(9_000);
        // A reader that has recently replaced another is known to few gateways, and is replaced
        // once one of them queries it.
        assert!(round > 0 || !hall.row.named.contains(&reader), "{:?}", hall.row);
        hall.run(6_000);
        assert!(hall.is_settled(), "round {round}: {:?}", hall.sources());
        hall.restart(number);
    }
}

#[test]
fn a_reader_that_restarts_at_once_remains_a_reader() {
    let mut hall = Hall::new(30);
    hall.run(12_000);
    let reader = *hall.row.named.first().unwrap();
    let number = (0..30).find(|it| address(*it) == reader).unwrap();
    hall.gateways[number].is_alive = false;
    hall.run(1500);
    hall.restart(number);
    hall.run(12_000);
    assert_eq!(hall.row.named.first(), Some(&reader));
    assert!(hall.is_settled());
}

#[test]
fn while_the_store_is_down_the_row_is_rarely_read_and_no_gateway_waits_for_it() {
    let mut hall = Hall::new(61);
    hall.store_works = false;
    hall.run(30_000);
    assert_eq!(hall.sources().0, 61, "each gateway queries the store itself, as without readers");
    assert!(hall.calls <= 61 * 8, "{} calls", hall.calls);
    hall.store_works = true;
    hall.run(25_000);
    assert!(hall.is_settled());
}

#[test]
fn a_hall_that_restarts_as_a_whole_waits_for_its_readers_and_follows_them() {
    let mut hall = Hall::new(61);
    hall.run(12_000);
    (0..61).for_each(|it| hall.restart(it));
    // The readers start a little later than the others.
    let named = hall.row.named.clone();
    let is_named = |it: usize| named.contains(&address(it));
    (0..61).filter(|it| is_named(*it)).for_each(|it| hall.gateways[it].is_alive = false);
    hall.run(400);
    assert_eq!(hall.sources().0, 0, "no gateway reads the store meanwhile");
    (0..61).filter(|it| is_named(*it)).for_each(|it| hall.gateways[it].is_alive = true);
    hall.run(1500);
    assert_eq!(hall.sources().0, READERS);
}

#[test]
fn a_gateway_that_waited_for_one_silent_reader_does_not_wait_for_another() {
    let mut hall = Hall::new(30);
    hall.run(12_000);
    let now = Millis(hall.now);
    let follower = (0..30).find(|it| !hall.gateways[*it].readers.is_named()).unwrap();
    let readers = &mut hall.gateways[follower].readers;
    let Source::Reader(first) = readers.source(now) else { panic!("expected a reader to follow") };
    readers.record_timeout(now, 1, first, false);
    let Source::Reader(second) = readers.source(now) else {
        panic!("expected another reader after an immediate refusal")
    };
    assert_ne!(first, second);
    readers.record_timeout(now, 2, second, true);
    assert_eq!(readers.source(now), Source::Store);
}

#[test]
fn a_hall_settles_again_from_any_state() {
    for seed in 0..40 {
        let mut hall = Hall::new(9 + seed % 30);
        let count = hall.gateways.len();
        hall.random = SmallRng::seed_from_u64(seed as u64);
        for _ in 0..12 {
            let number = hall.random.random_range(0..count);
            match hall.random.random_range(0..6) {
                0 => hall.gateways[number].is_alive = false,
                1 => (0..count).for_each(|it| hall.restart(it)),
                2 => hall.restart(number),
                3 => hall.store_works = !hall.store_works,
                4 => {
                    // The store is restored from an older copy, without the row.
                    hall.row = ReadersRow::default();
                    for gateway in &mut hall.gateways {
                        gateway.readers.record_store_restore(Millis(hall.now), number as u64);
                    }
                }
                _ => hall.row.named.reverse(),
            }
            let span = hall.random.random_range(100..6000);
            hall.run(span);
        }
        hall.store_works = true;
        (0..count).for_each(|it| hall.gateways[it].is_alive = true);
        hall.run(60_000);
        assert!(hall.is_settled(), "seed {seed}: {:?} {:?}", hall.row, hall.sources());
    }
}
