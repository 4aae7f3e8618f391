//! The schedule of requests for the list of other sidecars.

use fleet::Millis;
use rollout::{Directory, DirectoryAnswer};

/// Number of requests to gateways and of reads of the store within some seconds, if every request has the
/// same result.
fn count_requests(answer: DirectoryAnswer, seconds: u64) -> (u64, u64) {
    let mut directory = Directory::new(Millis(0));
    let (mut now, mut requests, mut reads) = (0, 0, 0);
    while now < seconds * 1000 {
        let step = directory.take_answer(Millis(now), answer);
        requests += 1;
        reads += u64::from(step.read_store);
        now += step.pause_ms;
    }
    (requests, reads)
}

#[test]
fn sidecar_that_receives_lists_requests_them_less_often_and_never_reads_the_store() {
    let (requests, reads) = count_requests(DirectoryAnswer::List, 60);
    assert_eq!(reads, 0);
    assert!((7..=9).contains(&requests), "{requests}");
}

#[test]
fn stale_answers_cause_no_reads_of_the_store_and_few_requests() {
    let (requests, reads) = count_requests(DirectoryAnswer::Stale, 10);
    assert_eq!(reads, 0);
    assert!(requests <= 30, "{requests}");
}

#[test]
fn sidecar_without_answers_reads_the_store_every_four_seconds() {
    for answer in [DirectoryAnswer::Silent, DirectoryAnswer::NoGateway] {
        let (_, reads) = count_requests(answer, 13);
        assert_eq!(reads, 3, "{answer:?}");
    }
}

#[test]
fn new_gateway_is_noticed_at_once() {
    let mut directory = Directory::new(Millis(0));
    let step = directory.take_answer(Millis(0), DirectoryAnswer::NoGateway);
    assert!(step.pause_ms <= 50, "{step:?}");
}
