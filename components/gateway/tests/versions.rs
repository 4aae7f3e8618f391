//! Versions of weights that are announced in quick succession, as gateways know them and report
//! them.

mod support;

use fleet::AnnouncedVersion;
use gateway::*;
use support::*;

const STREAM: RouteKind = RouteKind::Stream { resumable: true };

/// Guards against reporting only the newest version. A gateway that started between two
/// announcements, or missed the first, never received it, and sent requests to runners on the
/// version before both until the version deadline of the second one.
#[test]
fn a_gateway_reports_every_version_whose_bound_has_not_passed() {
    let mut fixture = Fixture::new();
    fixture.feed(named(2, Some(0)));
    fixture.now += 2000;
    fixture.feed(named(3, Some(0)));
    let now = fleet::Millis(fixture.now);
    let reported: Vec<(u64, Option<u64>)> =
        fixture.gateway.announced_versions(now).iter().map(|it| (it.version, it.age_ms)).collect();
    assert_eq!(reported, [(2, Some(2000)), (3, Some(0))], "a receiver uses the last one");
    let later = fleet::Millis(fixture.now + VERSION_MS);
    let reported: Vec<u64> =
        fixture.gateway.announced_versions(later).iter().map(|it| it.version).collect();
    assert_eq!(reported, [3], "versions without an active bound need not be reported");
}

#[test]
fn the_bound_of_an_older_version_applies_if_it_is_received_after_a_newer_one() {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, 1);
    fixture.feed(named(3, Some(0)));
    let mut reported = load(1, 0);
    reported.named =
        Some(AnnouncedVersion { model: model(), version: 2, age_ms: Some(2000), after_ms: None });
    fixture.feed(Event::Load(([127, 0, 0, 1], 1).into(), reported));
    fixture.now += VERSION_MS - 2000;
    fixture.feed(Event::Load(([127, 0, 0, 1], 1).into(), load(1, 0)));
    let step = fixture.arrive(arrival(1, MODEL_SERVICE, STREAM));
    assert!(matches!(step, Some(NextStep::Refuse { .. })), "{step:?}");
}

/// A gateway stops using a version before its version deadline, but other processes have to receive
/// that deadline until it has passed.
#[test]
fn a_gateway_reports_a_version_until_its_bound_although_it_stopped_using_older_ones() {
    let mut fixture = Fixture::new();
    fixture.feed(named(2, Some(0)));
    fixture.now += 500;
    fixture.feed(named(3, Some(0)));
    fixture.now += VERSION_MS - 600;
    fixture.feed(named(3, Some(VERSION_MS - 600)));
    let now = fleet::Millis(fixture.now);
    let reported: Vec<u64> =
        fixture.gateway.announced_versions(now).iter().map(|it| it.version).collect();
    assert_eq!(reported, [2, 3]);
}

#[test]
fn a_request_withdrawn_at_the_bound_of_its_version_is_sent_to_another_runner() {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, 1);
    fixture.list("r2", MODEL_SERVICE, 2);
    fixture.feed(named(2, Some(0)));
    let bound = fleet::Millis(fixture.now + VERSION_MS);
    fixture.now += VERSION_MS - 3000;
    for port in [1, 2] {
        fixture.feed(Event::Load(([127, 0, 0, 1], port).into(), load(0, 0)));
    }
    let first = sent_to(fixture.arrive(arrival(1, MODEL_SERVICE, STREAM)));
    let now = fleet::Millis(fixture.now);
    assert_eq!(fixture.gateway.start_deadline(now, RequestKey(1)), Some(bound));
    let second = sent_to(fixture.outcome(1, AttemptOutcome::VersionDeadlinePassed));
    assert_ne!(first, second);
    assert!(
        !AttemptOutcome::VersionDeadlinePassed.is_not_run(),
        "it is unknown whether the request has begun"
    );
}
