//! Distribution of a version: the time of the decision for one chunk and of a participant update, and the size
//! of the state, by the number of chunks and receivers.

use std::sync::Arc;

use fleet::{Bitmap, Hall, InstanceId, Manifest, Millis, Process};
use reducer::{FetchSource, FetchStrategy, Participant, Spread, SpreadEffect, SpreadOptions};

use crate::control::instance;
use crate::table::{heap_bytes, micros, print_header, print_row};

/// Numbers of chunks and receivers.
const CHUNK_AND_RECEIVER_COUNTS: [(u32, usize); 6] =
    [(256, 270), (1024, 270), (4096, 270), (8192, 270), (1024, 50), (1024, 600)];
/// Size of a chunk, in bytes.
const CHUNK_BYTES: u32 = 64;
/// Number of chunks in flight.
const MAX_IN_FLIGHT: usize = 8;

fn manifest(chunks: u32) -> Arc<Manifest> {
    let content: Vec<u8> = (0..chunks * CHUNK_BYTES).map(|n| (n % 251) as u8).collect();
    Arc::new(Manifest::describe_with("m", &content, CHUNK_BYTES).expect("it has chunks"))
}

fn spread(manifest: &Arc<Manifest>, receivers: usize) -> Spread {
    let names: Vec<(InstanceId, Hall)> = (0..receivers)
        .map(|n| instance(n, Process::Engine))
        .map(|it| (it.id, it.place.hall))
        .collect();
    let options = SpreadOptions {
        timeout_ms: None,
        reach: reducer::NeighbourLimits::default(),
        copies: 1,
        origin_bytes_per_s: 1 << 30,
        download_bytes_per_s: 1 << 29,
        control_bytes_per_s: 3000,
        choice: FetchStrategy::Rarest,
    };
    let own_instance = instance(0, Process::Engine);
    let (now, manifest) = (Millis(1000), manifest.clone());
    let mut spread =
        Spread::new(now, &own_instance.id, &own_instance.place, manifest, &names, options);
    spread.set_participants(now, &participants(receivers));
    spread
}

fn participants(receivers: usize) -> Vec<Participant> {
    let describe = |n: usize| {
        let it = instance(n, Process::Engine);
        Participant { id: it.id, place: it.place, address: it.address, up: true, holds: false }
    };
    (0..receivers).map(describe).collect()
}

/// Measures and prints the table.
pub fn measure() {
    print_header("spread", &["chunks", "receivers", "state bytes", "chunk us", "review us"]);
    for (chunks, receivers) in CHUNK_AND_RECEIVER_COUNTS {
        let manifest = manifest(chunks);
        let state = heap_bytes(|| spread(&manifest, receivers));
        let mut distribution = spread(&manifest, receivers);
        let full = Bitmap::full(chunks);
        for n in 1..receivers {
            let it = instance(n, Process::Engine);
            distribution.handle_summary(Millis(0), &it.id, it.address, &it.place, full.clone());
        }
        let mut in_flight: Vec<(u32, FetchSource)> = Vec::new();
        let chunk_micros = micros(chunks.min(1000), |_| {
            for effect in distribution.fetch(Millis(1000), MAX_IN_FLIGHT) {
                if let SpreadEffect::Fetch(fetch) = effect {
                    in_flight.push((fetch.index, fetch.source));
                }
            }
            if let Some((index, source)) = in_flight.pop() {
                distribution.handle_chunk(Millis(1001), index, &source, true);
            }
        });
        let all_participants = participants(receivers);
        let review =
            micros(200, |_| distribution.set_participants(Millis(2000), &all_participants));
        print_row(&[f64::from(chunks), receivers as f64, state, chunk_micros, review]);
    }
}
