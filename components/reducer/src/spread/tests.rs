//! Spreads against their naive versions, in rounds: a fake network in which a source serves a few
//! chunks a round and refuses the rest.

use std::net::SocketAddr;
use std::sync::Arc;

use errors::Code;
use fleet::{Hall, InstanceId, Manifest, Millis, Place, Region};

use super::*;

/// Chunks that an instance sends and takes in a round.
const LINK: usize = 2;
/// Chunks that the origin sends in a round.
const ORIGIN: usize = 4;
/// Requests that wait at a source at most.
const QUEUE: usize = 8;
/// Chunks in flight to a receiver.
const WINDOW: usize = 8;
/// The time of a round, in milliseconds.
const ROUND: u64 = 100;
const CHUNK: u32 = 4096;

/// What a spread over a fleet took.
#[derive(Debug)]
struct Outcome {
    rounds: usize,
    origin_draws: usize,
}

fn id(number: usize) -> InstanceId {
    InstanceId(format!("i{number:02}"))
}

fn place(number: usize) -> Place {
    Place { region: Region("r".into()), hall: Hall(format!("h{}", number % 3)) }
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + number as u16))
}

fn number_of(address: SocketAddr) -> usize {
    usize::from(address.port() - 1000)
}

fn start(replicas: usize, chunks: u32, choice: Choice, copies: u32) -> Vec<Spread> {
    let content: Vec<u8> = (0..chunks * CHUNK).map(|n| (n / CHUNK) as u8).collect();
    let manifest = Arc::new(Manifest::describe_with("m", &content, CHUNK).unwrap());
    let receivers: Vec<(InstanceId, Hall)> =
        (0..replicas).map(|n| (id(n), place(n).hall)).collect();
    let rate = |chunks: usize| chunks as u64 * u64::from(CHUNK) * 1000 / ROUND;
    let options = SpreadOptions {
        patience_ms: None,
        reach: crate::Reach::default(),
        copies,
        origin_bytes_per_s: rate(ORIGIN),
        download_bytes_per_s: rate(LINK),
        control_bytes_per_s: 3000,
        choice,
    };
    let participants: Vec<Participant> = (0..replicas)
        .map(|n| Participant {
            id: id(n),
            place: place(n),
            address: address(n),
            up: true,
            holds: false,
        })
        .collect();
    let one = |n: usize| {
        let now = Millis(0);
        let mut spread = Spread::new(now, &id(n), &place(n), manifest.clone(), &receivers, options);
        spread.set_participants(now, &participants);
        spread
    };
    (0..replicas).map(one).collect()
}

/// A request that waits at its source.
struct Waiting {
    asker: usize,
    draw: Draw,
}

/// The fake network.
struct Network {
    spreads: Vec<Spread>,
    /// For each instance, what waits in its upload queue; last, what waits at the origin.
    queues: Vec<Vec<Waiting>>,
    outcome: Outcome,
}

/// Runs rounds until every spread is whole.
fn run(replicas: usize, chunks: u32, choice: Choice, copies: u32) -> Outcome {
    let mut network = Network {
        spreads: start(replicas, chunks, choice, copies),
        queues: (0..=replicas).map(|_| Vec::new()).collect(),
        outcome: Outcome { rounds: 0, origin_draws: 0 },
    };
    while network.spreads.iter().any(|it| it.phase() == SpreadPhase::Drawing) {
        network.outcome.rounds += 1;
        assert!(network.outcome.rounds < 5000, "the spread does not end");
        network.round();
    }
    network.outcome
}

impl Network {
    fn now(&self) -> Millis {
        Millis(self.outcome.rounds as u64 * ROUND)
    }

    fn round(&mut self) {
        let now = self.now();
        for number in 0..self.spreads.len() {
            let drawn = self.spreads[number].draw(now, WINDOW);
            let said = self.spreads[number].summarize(now);
            for effect in drawn.into_iter().chain(said) {
                self.carry_out(number, effect);
            }
        }
        let mut taken = vec![0; self.spreads.len()];
        for source in 0..self.queues.len() {
            self.serve(source, &mut taken);
        }
    }

    fn carry_out(&mut self, asker: usize, effect: SpreadEffect) {
        let now = self.now();
        match effect {
            SpreadEffect::Summarize { to, have } => {
                let (id, from, place) = (id(asker), address(asker), place(asker));
                self.spreads[number_of(to)].take_summary(now, &id, from, &place, have);
            }
            SpreadEffect::Draw(draw) => {
                let origin = self.queues.len() - 1;
                let source = match &draw.source {
                    DrawSource::Origin => origin,
                    DrawSource::Peer(_, at) => number_of(*at),
                };
                if source != origin && self.queues[source].len() >= QUEUE {
                    let spread = &mut self.spreads[asker];
                    spread.fail_chunk(now, draw.index, &draw.source, Code::PeerBusy, ROUND);
                    return;
                }
                self.queues[source].push(Waiting { asker, draw });
            }
        }
    }

    /// Serves what the links of the source and of the askers carry in a round, first come first.
    fn serve(&mut self, source: usize, taken: &mut [usize]) {
        let is_origin = source == self.queues.len() - 1;
        let mut left = if is_origin { ORIGIN } else { LINK };
        for waiting in std::mem::take(&mut self.queues[source]) {
            if left == 0 || taken[waiting.asker] >= LINK {
                self.queues[source].push(waiting);
                continue;
            }
            left -= 1;
            taken[waiting.asker] += 1;
            self.outcome.origin_draws += usize::from(is_origin);
            self.deliver(source, is_origin, waiting);
        }
    }

    fn deliver(&mut self, source: usize, is_origin: bool, waiting: Waiting) {
        let Waiting { asker, draw } = waiting;
        let now = self.now();
        let have = (!is_origin).then(|| self.spreads[source].have().clone());
        let queue = self.queues[source].len() as u32;
        let spread = &mut self.spreads[asker];
        assert!(spread.take_chunk(now, draw.index, &draw.source, true));
        if let Some(have) = have {
            assert!(have.contains(draw.index), "a source is asked for what it said it holds");
            spread.take_summary(now, &id(source), address(source), &place(source), have);
            spread.take_uploads(now, &id(source), queue);
        }
    }
}

#[test]
fn is_no_slower_than_the_naive_versions() {
    for replicas in [12, 24] {
        let ours = run(replicas, 128, Choice::Rarest, 1);
        let random = run(replicas, 128, Choice::Random, 1);
        let origin = run(replicas, 128, Choice::OriginOnly, 1);
        assert!(ours.rounds <= random.rounds + 2, "{replicas}: {ours:?}, random {random:?}");
        assert!(ours.rounds * 3 < origin.rounds, "{replicas}: {ours:?}, origin {origin:?}");
        assert_eq!(origin.origin_draws, replicas * 128);
    }
}

#[test]
fn draws_one_copy_where_one_is_allowed_and_no_more_than_the_halls_otherwise() {
    let one = run(24, 128, Choice::Rarest, 1);
    assert!(one.origin_draws <= 128 * 105 / 100, "{one:?}");
    let three = run(24, 128, Choice::Rarest, 4);
    assert!(three.origin_draws <= 3 * 128, "{three:?}");
}

#[test]
fn takes_little_more_than_the_least_possible_time() {
    // Each receiver takes two chunks a round, so 128 chunks take 64 rounds at least.
    let ours = run(24, 128, Choice::Rarest, 1);
    assert!(ours.rounds <= 64 * 140 / 100, "{ours:?}");
}
