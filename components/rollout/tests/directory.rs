//! When a sidecar asks for the other sidecars.

use fleet::Millis;
use rollout::{Directory, DirectoryAnswer};

/// Questions and readings of the store within some seconds, when every question ends alike.
fn asked(answer: DirectoryAnswer, seconds: u64) -> (u64, u64) {
    let mut directory = Directory::new(Millis(0));
    let (mut now, mut questions, mut readings) = (0, 0, 0);
    while now < seconds * 1000 {
        let step = directory.take_answer(Millis(now), answer);
        questions += 1;
        readings += u64::from(step.read_store);
        now += step.pause_ms;
    }
    (questions, readings)
}

#[test]
fn a_sidecar_that_gets_lists_asks_ever_less_and_never_reads_the_store() {
    let (questions, readings) = asked(DirectoryAnswer::List, 60);
    assert_eq!(readings, 0);
    assert!((7..=9).contains(&questions), "{questions}");
}

#[test]
fn while_gateways_do_not_hear_the_store_it_is_left_alone_and_they_are_not_pressed() {
    let (questions, readings) = asked(DirectoryAnswer::Stale, 10);
    assert_eq!(readings, 0);
    assert!(questions <= 30, "{questions}");
}

#[test]
fn a_sidecar_that_no_gateway_answers_reads_the_store_every_four_seconds() {
    for answer in [DirectoryAnswer::Silent, DirectoryAnswer::NoGateway] {
        let (_, readings) = asked(answer, 13);
        assert_eq!(readings, 3, "{answer:?}");
    }
}

#[test]
fn a_gateway_that_comes_is_noticed_at_once() {
    let mut directory = Directory::new(Millis(0));
    let step = directory.take_answer(Millis(0), DirectoryAnswer::NoGateway);
    assert!(step.pause_ms <= 50, "{step:?}");
}
