//! Tests of the sizes of messages.

use fleet::{Evacuation, Millis};
use gateway::{GatewayList, KnownGateway};
use quarantine::{CrashLedger, IncarnationDigest, ListScope, SubjectDigest};

use super::*;

/// The largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1400;

/// The size of a list of `gateways` gateways, in bytes.
fn list_bytes(gateways: u8) -> usize {
    let address = |last| SocketAddr::from(([10, 0, 0, last], 47_000));
    let known = |last| KnownGateway { address: address(last), tenths: 160 };
    let list = GatewayList { asker: address(0), gateways: (0..gateways).map(known).collect() };
    encode(&Datagram::Gateways(list)).len()
}

#[test]
fn the_longest_list_of_gateways_fits_into_a_datagram() {
    assert!(list_bytes(128) <= MAX_DATAGRAM_BYTES, "{} bytes", list_bytes(128));
}

#[test]
fn a_gateway_takes_ten_bytes_at_most_in_a_list() {
    let slope = list_bytes(53) - list_bytes(52);
    assert!(slope <= 10, "{slope} bytes a gateway, {} for 53", list_bytes(53));
}

/// The size of a list of `halls` evacuated halls, in bytes.
fn evacuation_bytes(halls: usize) -> usize {
    let evacuation = Evacuation { hall: "gogledd-a".into(), age_ms: Some(60_000) };
    let evacuated = vec![evacuation; halls];
    encode(&EvacuationList { place: 1_000_000.into(), evacuated }).len()
}

#[test]
fn an_empty_list_of_evacuations_takes_four_bytes() {
    assert_eq!(evacuation_bytes(0), 4);
}

#[test]
fn an_evacuated_hall_takes_its_name_and_five_bytes() {
    assert_eq!(evacuation_bytes(1) - evacuation_bytes(0), "gogledd-a".len() + 5);
}

/// The size of a crash list of `requests` requests, with as many crashes as are sent at most, in bytes.
fn crash_bytes(requests: u64, crashes_of_each: u32) -> usize {
    let mut ledger = CrashLedger::default();
    for request in 0..requests {
        let digest = SubjectDigest(u64::MAX - request);
        for number in 0..crashes_of_each {
            let life = IncarnationDigest::of(&format!("i-{number}").as_str().into(), Some(1));
            ledger.note_crash(Millis(1_000_000), digest, life, Millis(500_000));
        }
    }
    encode(&ledger.list(Millis(1_000_000), ListScope::Suspects, 0)).len()
}

#[test]
fn an_empty_crash_list_takes_one_byte_and_a_full_one_half_a_datagram() {
    assert_eq!(crash_bytes(0, 0), 1);
    for crashes in 1..=8 {
        let bytes = crash_bytes(64, crashes);
        assert!(bytes <= MAX_DATAGRAM_BYTES / 2 + 20, "{bytes} bytes, {crashes} crashes each");
    }
}
