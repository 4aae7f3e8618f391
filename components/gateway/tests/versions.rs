//! Versions of weights that are named in a row, as gateways know of them and tell of them.

mod support;

use fleet::NamedVersion;
use gateway::*;
use support::*;

const STREAM: RouteKind = RouteKind::Stream { resumable: true };

/// Gateways and sidecars told each other of the newest version alone. One that started between two namings, or missed the
/// first, never heard of it, and sent requests to runners on the version before both until the second one's bound.
#[test]
fn a_gateway_tells_of_every_version_whose_bound_has_yet_to_pass() {
    let mut bed = Bed::new();
    bed.feed(named(2, Some(0)));
    bed.now += 2000;
    bed.feed(named(3, Some(0)));
    let now = fleet::Millis(bed.now);
    let told: Vec<(u64, Option<u64>)> =
        bed.gateway.named_versions(now).iter().map(|it| (it.version, it.age_ms)).collect();
    assert_eq!(told, [(2, Some(2000)), (3, Some(0))], "a receiver goes by the last one");
    let later = fleet::Millis(bed.now + VERSION_MS);
    let told: Vec<u64> = bed.gateway.named_versions(later).iter().map(|it| it.version).collect();
    assert_eq!(told, [3], "what binds no more need not be told");
}

#[test]
fn an_older_version_binds_that_is_heard_of_after_a_newer_one() {
    let mut bed = Bed::new();
    bed.list("r1", MODEL_SERVICE, 1);
    bed.feed(named(3, Some(0)));
    let mut told = load(1, 0);
    told.named =
        Some(NamedVersion { model: model(), version: 2, age_ms: Some(2000), after_ms: None });
    bed.feed(Event::Load(([127, 0, 0, 1], 1).into(), told));
    bed.now += VERSION_MS - 2000;
    bed.feed(Event::Load(([127, 0, 0, 1], 1).into(), load(1, 0)));
    let step = bed.arrive(arrival(1, MODEL_SERVICE, STREAM));
    assert!(matches!(step, Some(NextStep::Refuse { .. })), "{step:?}");
}

/// A gateway leaves a version alone before its bound, but others have to hear of that bound until it has passed.
#[test]
fn a_gateway_tells_of_a_version_until_its_bound_though_it_has_left_older_ones_already() {
    let mut bed = Bed::new();
    bed.feed(named(2, Some(0)));
    bed.now += 500;
    bed.feed(named(3, Some(0)));
    bed.now += VERSION_MS - 600;
    bed.feed(named(3, Some(VERSION_MS - 600)));
    let now = fleet::Millis(bed.now);
    let told: Vec<u64> = bed.gateway.named_versions(now).iter().map(|it| it.version).collect();
    assert_eq!(told, [2, 3]);
}

#[test]
fn a_request_that_is_taken_back_at_the_bound_of_its_version_goes_to_another_runner() {
    let mut bed = Bed::new();
    bed.list("r1", MODEL_SERVICE, 1);
    bed.list("r2", MODEL_SERVICE, 2);
    bed.feed(named(2, Some(0)));
    let bound = fleet::Millis(bed.now + VERSION_MS);
    bed.now += VERSION_MS - 3000;
    for port in [1, 2] {
        bed.feed(Event::Load(([127, 0, 0, 1], port).into(), load(0, 0)));
    }
    let first = sent_to(bed.arrive(arrival(1, MODEL_SERVICE, STREAM)));
    let now = fleet::Millis(bed.now);
    assert_eq!(bed.gateway.begin_by(now, RequestKey(1)), Some(bound));
    let second = sent_to(bed.outcome(1, AttemptOutcome::Outdated));
    assert_ne!(first, second);
    assert!(!AttemptOutcome::Outdated.is_not_run(), "nobody knows whether it has begun");
}
