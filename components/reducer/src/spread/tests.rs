//! Compares spreads with baseline strategies on a simulated network. In each round a source serves a few
//! chunks; the upload queues of peers are bounded.

use std::net::SocketAddr;
use std::sync::Arc;

use errors::Code;
use fleet::{Hall, InstanceId, Location, Manifest, Millis, Region};

use super::*;

/// Chunks that an instance can send, and can receive, in a round.
const LINK_CHUNKS: usize = 2;
/// Chunks that the origin can send in a round.
const ORIGIN_CHUNKS: usize = 4;
/// Most requests that are queued at a peer.
const MAX_QUEUED: usize = 8;
/// Most chunks in flight to a receiver.
const MAX_IN_FLIGHT: usize = 8;
/// Duration of a round.
const ROUND_MS: u64 = 100;
const CHUNK_BYTES: u32 = 4096;

/// The cost of distributing a version to all receivers.
#[derive(Debug)]
struct Cost {
    rounds: usize,
    origin_draws: usize,
}

fn id(number: usize) -> InstanceId {
    InstanceId(format!("i{number:02}"))
}

fn place(number: usize) -> Location {
    Location { region: Region("r".into()), hall: Hall(format!("h{}", number % 3)) }
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + number as u16))
}

fn number_of(address: SocketAddr) -> usize {
    usize::from(address.port() - 1000)
}

fn start(replicas: usize, chunks: u32, choice: FetchStrategy, copies: u32) -> Vec<Spread> {
    let content: Vec<u8> = (0..chunks * CHUNK_BYTES).map(|n| (n / CHUNK_BYTES) as u8).collect();
    let manifest = Arc::new(Manifest::describe_with("m", &content, CHUNK_BYTES).unwrap());
    let receivers: Vec<(InstanceId, Hall)> =
        (0..replicas).map(|n| (id(n), place(n).hall)).collect();
    let rate = |chunks: usize| chunks as u64 * u64::from(CHUNK_BYTES) * 1000 / ROUND_MS;
    let options = SpreadOptions {
        timeout_ms: None,
        reach: crate::NeighbourLimits::default(),
        copies,
        origin_bytes_per_s: rate(ORIGIN_CHUNKS),
        download_bytes_per_s: rate(LINK_CHUNKS),
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

/// A request that is queued at its source.
struct QueuedRequest {
    receiver: usize,
    fetch: Fetch,
}

/// The simulated network.
struct Network {
    spreads: Vec<Spread>,
    /// The upload queue of each instance, followed by that of the origin.
    queues: Vec<Vec<QueuedRequest>>,
    cost: Cost,
}

/// Runs rounds until every spread is complete.
fn run(replicas: usize, chunks: u32, choice: FetchStrategy, copies: u32) -> Cost {
    let mut network = Network {
        spreads: start(replicas, chunks, choice, copies),
        queues: (0..=replicas).map(|_| Vec::new()).collect(),
        cost: Cost { rounds: 0, origin_draws: 0 },
    };
    while network.spreads.iter().any(|it| it.phase() == SpreadPhase::Fetching) {
        network.cost.rounds += 1;
        assert!(network.cost.rounds < 5000, "the spread does not end");
        network.run_round();
    }
    network.cost
}

impl Network {
    fn now(&self) -> Millis {
        Millis(self.cost.rounds as u64 * ROUND_MS)
    }

    fn run_round(&mut self) {
        let now = self.now();
        for number in 0..self.spreads.len() {
            let fetches = self.spreads[number].fetch(now, MAX_IN_FLIGHT);
            let summaries = self.spreads[number].summarize(now);
            for effect in fetches.into_iter().chain(summaries) {
                self.perform(number, effect);
            }
        }
        let mut received = vec![0; self.spreads.len()];
        for source in 0..self.queues.len() {
            self.serve(source, &mut received);
        }
    }

    fn perform(&mut self, receiver: usize, effect: SpreadEffect) {
        let now = self.now();
        match effect {
            SpreadEffect::Summarize { to, have } => {
                let (id, from, place) = (id(receiver), address(receiver), place(receiver));
                self.spreads[number_of(to)].handle_summary(now, &id, from, &place, have);
            }
            SpreadEffect::Fetch(fetch) => {
                let origin = self.queues.len() - 1;
                let source = match &fetch.source {
                    FetchSource::Origin => origin,
                    FetchSource::Peer(_, at) => number_of(*at),
                };
                if source != origin && self.queues[source].len() >= MAX_QUEUED {
                    let spread = &mut self.spreads[receiver];
                    spread.fail_chunk(now, fetch.index, &fetch.source, Code::PeerBusy, ROUND_MS);
                    return;
                }
                self.queues[source].push(QueuedRequest { receiver, fetch });
            }
        }
    }

    /// Serves as many requests as the links of the source and of the receivers carry in a round, in order of
    /// arrival.
    fn serve(&mut self, source: usize, received: &mut [usize]) {
        let is_origin = source == self.queues.len() - 1;
        let mut remaining = if is_origin { ORIGIN_CHUNKS } else { LINK_CHUNKS };
        for request in std::mem::take(&mut self.queues[source]) {
            if remaining == 0 || received[request.receiver] >= LINK_CHUNKS {
                self.queues[source].push(request);
                continue;
            }
            remaining -= 1;
            received[request.receiver] += 1;
            self.cost.origin_draws += usize::from(is_origin);
            self.deliver(source, is_origin, request);
        }
    }

    fn deliver(&mut self, source: usize, is_origin: bool, request: QueuedRequest) {
        let QueuedRequest { receiver, fetch } = request;
        let now = self.now();
        let have = (!is_origin).then(|| self.spreads[source].have().clone());
        let queue = self.queues[source].len() as u32;
        let spread = &mut self.spreads[receiver];
        assert!(spread.handle_chunk(now, fetch.index, &fetch.source, true));
        if let Some(have) = have {
            assert!(
                have.contains(fetch.index),
                "a source is asked only for chunks that it reported to hold"
            );
            spread.handle_summary(now, &id(source), address(source), &place(source), have);
            spread.set_upload_queue(now, &id(source), queue);
        }
    }
}

#[test]
fn is_not_slower_than_the_baselines() {
    for replicas in [12, 24] {
        let rarest = run(replicas, 128, FetchStrategy::Rarest, 1);
        let random = run(replicas, 128, FetchStrategy::Random, 1);
        let origin = run(replicas, 128, FetchStrategy::OriginOnly, 1);
        assert!(rarest.rounds <= random.rounds + 2, "{replicas}: {rarest:?}, random {random:?}");
        assert!(rarest.rounds * 3 < origin.rounds, "{replicas}: {rarest:?}, origin {origin:?}");
        assert_eq!(origin.origin_draws, replicas * 128);
    }
}

#[test]
fn fetches_one_copy_if_one_is_allowed_and_at_most_one_per_hall_otherwise() {
    let one = run(24, 128, FetchStrategy::Rarest, 1);
    assert!(one.origin_draws <= 128 * 105 / 100, "{one:?}");
    let three = run(24, 128, FetchStrategy::Rarest, 4);
    assert!(three.origin_draws <= 3 * 128, "{three:?}");
}

#[test]
fn takes_at_most_40_percent_more_than_the_minimum_time() {
    // Each receiver takes at most two chunks a round, so 128 chunks take at least 64 rounds.
    let rarest = run(24, 128, FetchStrategy::Rarest, 1);
    assert!(rarest.rounds <= 64 * 140 / 100, "{rarest:?}");
}
