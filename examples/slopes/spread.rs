//! A spread: the decision for one chunk, and the state, by the number of chunks and receivers.

use std::sync::Arc;

use fleet::{Bitmap, Hall, InstanceId, Manifest, Millis, Process};
use reducer::{Choice, DrawSource, Participant, Spread, SpreadEffect, SpreadOptions};

use crate::control::instance;
use crate::table::{head, heap_bytes, micros, row};

/// Chunks and receivers.
const SIZES: [(u32, usize); 6] =
    [(256, 270), (1024, 270), (4096, 270), (8192, 270), (1024, 50), (1024, 600)];
const CHUNK: u32 = 64;
/// Chunks in flight.
const WINDOW: usize = 8;

fn manifest(chunks: u32) -> Arc<Manifest> {
    let content: Vec<u8> = (0..chunks * CHUNK).map(|n| (n % 251) as u8).collect();
    Arc::new(Manifest::describe_with("m", &content, CHUNK).expect("it has chunks"))
}

fn spread(manifest: &Arc<Manifest>, receivers: usize) -> Spread {
    let names: Vec<(InstanceId, Hall)> = (0..receivers)
        .map(|n| instance(n, Process::Engine))
        .map(|it| (it.id, it.place.hall))
        .collect();
    let options = SpreadOptions {
        patience_ms: None,
        reach: reducer::Reach::default(),
        copies: 1,
        origin_bytes_per_s: 1 << 30,
        download_bytes_per_s: 1 << 29,
        control_bytes_per_s: 3000,
        choice: Choice::Rarest,
    };
    let me = instance(0, Process::Engine);
    let (now, manifest) = (Millis(1000), manifest.clone());
    let mut spread = Spread::new(now, &me.id, &me.place, manifest, &names, options);
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

/// Prints the table.
pub fn measure() {
    head("spread", &["chunks", "receivers", "state bytes", "chunk us", "review us"]);
    for (chunks, receivers) in SIZES {
        let manifest = manifest(chunks);
        let state = heap_bytes(|| spread(&manifest, receivers));
        let mut held = spread(&manifest, receivers);
        let full = Bitmap::full(chunks);
        for n in 1..receivers {
            let it = instance(n, Process::Engine);
            held.take_summary(Millis(0), &it.id, it.address, &it.place, full.clone());
        }
        let mut flying: Vec<(u32, DrawSource)> = Vec::new();
        let one = micros(chunks.min(1000), |_| {
            for effect in held.draw(Millis(1000), WINDOW) {
                if let SpreadEffect::Draw(draw) = effect {
                    flying.push((draw.index, draw.source));
                }
            }
            if let Some((index, source)) = flying.pop() {
                held.take_chunk(Millis(1001), index, &source, true);
            }
        });
        let everyone = participants(receivers);
        let review = micros(200, |_| held.set_participants(Millis(2000), &everyone));
        row(&[f64::from(chunks), receivers as f64, state, one, review]);
    }
}
