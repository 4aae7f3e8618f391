//! Tests of known and unknown extensions of datagrams.

use fleet::{AnnouncedVersion, EvacuationList, IncarnationReport, StorePosition};
use gateway::RunnerLoad;
use proptest::prelude::*;
use quarantine::CrashList;

use super::*;
use crate::message::encode;

/// The lowest extension number that this build does not define.
const FIRST_UNKNOWN: u16 = 7;

fn reserved(era: Option<u64>) -> Datagram {
    Datagram::Reserved {
        question: 7,
        reply: crate::message::Reply::Granted,
        load: None,
        limit: None,
        evacuations: EvacuationList {
            place: StorePosition { era, revision: 530 },
            evacuated: Vec::new(),
        },
    }
}

fn reserve() -> Datagram {
    Datagram::Reserve {
        question: 7,
        request: "r".into(),
        prompt_tokens: 100,
        rank: 0,
        left_ms: 400,
        wait_ms: 0,
        limit: None,
        pinned_ms: None,
    }
}

#[test]
fn a_datagram_without_an_era_equals_the_first_format() {
    assert_eq!(encode_datagram(&reserved(None)), encode(&reserved(None)));
    let (datagram, extensions) = decode_datagram(&encode(&reserved(None))).unwrap();
    assert_eq!((datagram, extensions), (reserved(None), Extensions::default()));
}

#[test]
fn the_era_is_decoded_and_takes_four_bytes() {
    let bytes = encode_datagram(&reserved(Some(9)));
    assert_eq!(bytes.len(), encode(&reserved(None)).len() + 4);
    assert_eq!(decode_datagram(&bytes).unwrap().0, reserved(Some(9)));
}

#[test]
fn the_slot_shortage_of_a_denial_is_sent_as_an_extension() {
    let denied = |short_ms| Datagram::Reserved {
        question: 7,
        reply: crate::message::Reply::Denied { again_ms: 60, short_ms },
        load: None,
        evacuations: EvacuationList::default(),
        limit: None,
    };
    let bytes = encode_datagram(&denied(Some(1500)));
    assert_eq!(decode_datagram(&bytes).unwrap().0, denied(Some(1500)));
    let first_format: Datagram = crate::message::decode(&bytes).unwrap();
    assert_eq!(first_format, denied(None));
}

#[test]
fn a_rate_limit_is_sent_as_an_extension_of_a_reservation_and_its_answer() {
    let limit_of = |rate| ReportedLimit { born: Some(1_764_720_000_000), rate, age_ms: 1200 };
    for rate in [fleet::Rate::from_per_s(1.6), None] {
        for mut datagram in [reserved(Some(9)), reserve()] {
            datagram.set_limit(Some(limit_of(rate)));
            let bytes = encode_datagram(&datagram);
            assert_eq!(decode_datagram(&bytes).unwrap().0, datagram);
            let first_format: Datagram = crate::message::decode(&bytes).unwrap();
            assert_eq!(first_format.limit(), None);
        }
    }
}

#[test]
fn a_pin_is_sent_as_an_extension_of_a_reservation_that_the_first_format_ignores() {
    let mut pinned = reserve();
    pinned.set_pinned_ms(Some(4000));
    let bytes = encode_datagram(&pinned);
    assert_eq!(decode_datagram(&bytes).unwrap().0, pinned);
    let first_format: Datagram = crate::message::decode(&bytes).unwrap();
    assert_eq!(first_format, reserve());
    assert_eq!(encode_datagram(&reserve()), encode(&reserve()), "most requests have no pin");
}

#[test]
fn version_dates_of_a_load_are_sent_as_an_extension_that_the_first_format_ignores() {
    let named =
        |after_ms| AnnouncedVersion { model: "m".into(), version: 2, age_ms: Some(700), after_ms };
    let load = |clock_ms, after_ms| Datagram::Load {
        runner: "10.1.0.4:8001".parse().unwrap(),
        load: RunnerLoad {
            life: IncarnationReport::default(),
            running: 0,
            waiting: 0,
            busy: false,
            pace: 1.0,
            reading_ms: 0,
            weights: None,
            serves_in_ms: None,
            named: Some(named(after_ms)),
        },
        evacuations: EvacuationList::default(),
        crashes: CrashList::default(),
        clock_ms,
    };
    let bytes = encode_datagram(&load(Some(50_000), Some(49_300)));
    assert_eq!(decode_datagram(&bytes).unwrap().0, load(Some(50_000), Some(49_300)));
    let first_format: Datagram = crate::message::decode(&bytes).unwrap();
    assert_eq!(first_format, load(None, None));
}

#[test]
fn the_first_format_reads_a_datagram_with_an_era() {
    let read: Datagram = crate::message::decode(&encode_datagram(&reserved(Some(9)))).unwrap();
    assert_eq!(read, reserved(None));
}

proptest! {
    #[test]
    fn unknown_extensions_of_a_datagram_are_ignored(
        numbers in proptest::collection::vec((FIRST_UNKNOWN..u16::MAX, proptest::collection::vec(any::<u8>(), 0..40)), 0..5),
        era in proptest::option::of(any::<u64>()),
    ) {
        let mut encoded: Vec<Extension> =
            numbers.iter().cloned().map(|(number, bytes)| Extension { number, bytes }).collect();
        if let Some(era) = era {
            let bytes = postcard::to_stdvec(&era).unwrap();
            encoded.insert(encoded.len() / 2, Extension { number: ERA, bytes });
        }
        let mut bytes = encode(&reserved(None));
        bytes.extend(postcard::to_stdvec(&encoded).unwrap());
        let (datagram, extensions) = decode_datagram(&bytes).unwrap();
        prop_assert_eq!(datagram, reserved(era));
        prop_assert_eq!(extensions.unknown, numbers.len());
    }

    #[test]
    fn arbitrary_bytes_after_a_datagram_do_not_change_it(rest in proptest::collection::vec(any::<u8>(), 0..60)) {
        let mut bytes = encode(&reserved(None));
        bytes.extend(rest);
        let (datagram, _) = decode_datagram(&bytes).unwrap();
        prop_assert_eq!(datagram.evacuations().map(|it| it.place.revision), Some(530));
    }
}
