//! Chooses the garbage that servers send.
//!
//! Only garbage that a gateway can tell from an answer is chosen: not a stream that ends with its connection behind a
//! whole event or an empty line, nor other bytes within a plain body that is framed well.

use platform_standin::{Framing, Garbage, GarbageContent, GarbagePlace};
use rand::rngs::SmallRng;
use rand::Rng;

const CONTENTS: [GarbageContent; 10] = [
    GarbageContent::Nothing,
    GarbageContent::Noise,
    GarbageContent::TextWithEmptyLine,
    GarbageContent::EmptyLine,
    GarbageContent::EventWithoutId,
    GarbageContent::EventWithEmptyId,
    GarbageContent::EventWithLowerId,
    GarbageContent::Head,
    GarbageContent::Answer,
    GarbageContent::InterimAnswer,
];
const FRAMINGS: [Framing; 4] =
    [Framing::Length, Framing::Chunks, Framing::BrokenChunks, Framing::Connection];
const PLACES_OF_HEADS: [GarbagePlace; 3] =
    [GarbagePlace::BeforeHead, GarbagePlace::WithinHead, GarbagePlace::InPlaceOfHead];

/// The events of a stream after which garbage is sent. Before the first one, bytes of an event with the lowest id can't be
/// told from the stream's own.
const EVENTS: std::ops::RangeInclusive<u64> = 1..=12;
/// The bytes of a plain answer after which garbage is sent. All plain answers have more.
const BYTES: std::ops::Range<u64> = 0..8;
/// The bytes of a report or a page after which garbage is sent.
const PAGE_BYTES: std::ops::Range<u64> = 0..400;
/// Shares of answers with garbage, in percent.
const PERCENT: std::ops::RangeInclusive<u8> = 20..=100;
/// Share of garbage in pages that is endless.
const ENDLESS_SHARE: f64 = 0.2;

/// Chooses garbage for the answers of a runner to requests.
pub(super) fn random_garbage(random: &mut SmallRng, is_model: bool) -> Garbage {
    let garbage = Garbage {
        place: GarbagePlace::AfterAnswer,
        content: choose(random, &CONTENTS),
        framing: choose(random, &FRAMINGS),
        continues: random.random_bool(0.5),
        is_endless: false,
        percent: random.random_range(PERCENT),
    };
    match (random.random_range(0..4), is_model) {
        (0, _) => Garbage { place: choose(random, &PLACES_OF_HEADS), ..garbage },
        (1, true) => garbage,
        (_, true) => {
            let place = GarbagePlace::WithinBody(random.random_range(EVENTS));
            let continues = garbage.continues || !shows_end(&garbage);
            Garbage { place, continues, ..garbage }
        }
        (1, false) => Garbage { framing: choose(random, &FRAMINGS[..2]), ..garbage },
        (_, false) => random_cut(random, garbage),
    }
}

/// Whether it shows that a stream ends with this garbage before its last event.
fn shows_end(garbage: &Garbage) -> bool {
    let is_silent = matches!(garbage.content, GarbageContent::Nothing | GarbageContent::EmptyLine);
    !is_silent || garbage.framing != Framing::Connection
}

/// Has garbage break the framing of a plain answer.
fn random_cut(random: &mut SmallRng, garbage: Garbage) -> Garbage {
    let place = GarbagePlace::WithinBody(random.random_range(BYTES));
    if random.random_bool(0.5) {
        let framing = choose(random, &FRAMINGS[..2]);
        return Garbage {
            place,
            content: GarbageContent::Nothing,
            framing,
            continues: false,
            ..garbage
        };
    }
    Garbage { place, framing: Framing::BrokenChunks, ..garbage }
}

/// Chooses garbage without end for the answers of a runner to requests.
pub(super) fn random_flood(random: &mut SmallRng, is_model: bool) -> Garbage {
    let in_head = [GarbageContent::InterimAnswer, GarbageContent::Noise, GarbageContent::EmptyLine];
    let head = Garbage {
        place: GarbagePlace::InPlaceOfHead,
        content: choose(random, &in_head),
        framing: Framing::Length,
        continues: false,
        is_endless: true,
        percent: random.random_range(PERCENT),
    };
    if random.random_bool(0.4) {
        return head;
    }
    let range = if is_model { EVENTS } else { BYTES.start..=BYTES.end - 1 };
    let framings = if is_model { &FRAMINGS[..] } else { &FRAMINGS[..2] };
    let flood = Garbage {
        place: GarbagePlace::WithinBody(random.random_range(range)),
        content: choose(random, &CONTENTS[1..]),
        framing: choose(random, framings),
        ..head
    };
    let framing = if shows_end(&flood) { flood.framing } else { Framing::Chunks };
    Garbage { framing, ..flood }
}

/// Chooses garbage for reports and for pages of the store or the origin.
pub(super) fn random_page_garbage(random: &mut SmallRng) -> Garbage {
    let places = [
        choose(random, &PLACES_OF_HEADS),
        GarbagePlace::WithinBody(random.random_range(PAGE_BYTES)),
        GarbagePlace::AfterAnswer,
    ];
    Garbage {
        place: choose(random, &places),
        content: choose(random, &CONTENTS),
        framing: choose(random, &FRAMINGS),
        continues: random.random_bool(0.5),
        is_endless: random.random_bool(ENDLESS_SHARE),
        percent: random.random_range(PERCENT),
    }
}

fn choose<T: Copy>(random: &mut SmallRng, options: &[T]) -> T {
    options[random.random_range(0..options.len())]
}
