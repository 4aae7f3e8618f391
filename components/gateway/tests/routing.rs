//! Which runner a request is sent to, and which runners it is never sent to.

mod support;

use fleet::{AnnouncedVersion, HomeRegions};
use gateway::*;
use support::*;

const STREAM: RouteKind = RouteKind::Stream { resumable: true };

#[test]
fn a_draining_runner_receives_no_new_requests() {
    let mut fixture = Fixture::new();
    let mut leaving = record("r1", PLAIN_SERVICE, 1);
    leaving.state = RunnerState::Draining;
    fixture.feed(Event::Listed(leaving));
    assert_eq!(fixture.arrive(arrival(1, PLAIN_SERVICE, RouteKind::Safe)), None);
    fixture.list("r2", PLAIN_SERVICE, 2);
    assert_eq!(sent_to(fixture.arrive(arrival(2, PLAIN_SERVICE, RouteKind::Safe))), "r2".into());
}

#[test]
fn an_unlisted_runner_receives_no_new_requests() {
    let mut fixture = Fixture::new();
    fixture.list("r1", PLAIN_SERVICE, 1);
    fixture.feed(Event::Unlisted("r1".into()));
    assert_eq!(fixture.arrive(arrival(1, PLAIN_SERVICE, RouteKind::Safe)), None);
}

#[test]
fn an_address_reused_by_another_service_is_not_confused() {
    let mut fixture = Fixture::new();
    fixture.list("old", PLAIN_SERVICE, 1);
    fixture.list("new", MODEL_SERVICE, 1);
    fixture.feed(Event::Unlisted("old".into()));
    // All slots are taken, and the maximum number of requests waits there.
    fixture.feed(Event::Load(([127, 0, 0, 1], 1).into(), load(1, 8)));
    assert_eq!(
        fixture.arrive(arrival(1, MODEL_SERVICE, STREAM)),
        None,
        "the report was for the new one"
    );
}

#[test]
fn a_runner_without_all_layers_receives_no_requests() {
    let mut fixture = Fixture::new();
    let mut empty = record("r1", MODEL_SERVICE, 1);
    empty.weights = None;
    fixture.feed(Event::Listed(empty));
    assert_eq!(fixture.arrive(arrival(1, MODEL_SERVICE, STREAM)), None);
}

#[test]
fn a_recent_report_takes_precedence_over_the_list() {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, 1);
    let mut busy = load(1, 0);
    busy.busy = true;
    fixture.feed(Event::Load(([127, 0, 0, 1], 1).into(), busy));
    assert_eq!(fixture.arrive(arrival(1, MODEL_SERVICE, STREAM)), None);
}

/// With two versions announced three seconds apart, the second announcement replaced the version
/// deadline of the first, and requests started for too long on the version before both.
#[test]
fn each_announced_version_keeps_its_own_bound() {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, 1);
    fixture.feed(named(2, Some(0)));
    fixture.now += 3000;
    fixture.feed(named(3, Some(0)));
    fixture.now += VERSION_MS - 3000;
    let step = fixture.arrive(arrival(1, MODEL_SERVICE, STREAM));
    assert_eq!(step, None, "version 1 is too old by the bound of version 2");
    fixture.feed(Event::Load(([127, 0, 0, 1], 1).into(), load(2, 0)));
    assert_eq!(sent_to(fixture.arrive(arrival(2, MODEL_SERVICE, STREAM))), "r1".into());
    fixture.now += 3000;
    fixture.feed(Event::Load(([127, 0, 0, 1], 1).into(), load(2, 0)));
    let step = fixture.arrive(arrival(3, MODEL_SERVICE, STREAM));
    assert!(matches!(step, Some(NextStep::Refuse { .. })), "version 3 is required now: {step:?}");
}

/// On a slow link, a request that waits at its runner for a second starts after the version
/// deadline although it was sent before it.
#[test]
fn a_runner_with_slow_starts_is_no_longer_used_earlier_before_a_bound() {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, 1);
    fixture.feed(named(2, Some(0)));
    fixture.now += 4000;
    assert_eq!(sent_to(fixture.arrive(arrival(1, MODEL_SERVICE, STREAM))), "r1".into());
    fixture.now += 1500;
    fixture.outcome(1, AttemptOutcome::Answered);
    fixture.outcome(1, AttemptOutcome::Finished);
    assert_eq!(fixture.arrive(arrival(2, MODEL_SERVICE, STREAM)), None);
}

#[test]
fn a_version_announced_before_the_start_is_required_sooner() {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, 1);
    fixture.feed(named(2, None));
    fixture.now += 3000;
    assert_eq!(fixture.arrive(arrival(1, MODEL_SERVICE, STREAM)), None);
}

#[test]
fn a_denied_reservation_is_retried_elsewhere_without_using_an_attempt() {
    let mut fixture = Fixture::new();
    for port in 1..=4 {
        fixture.list(&format!("r{port}"), MODEL_SERVICE, port);
    }
    let mut step = fixture.arrive(arrival(1, MODEL_SERVICE, STREAM));
    for _ in 0..3 {
        assert!(matches!(&step, Some(NextStep::Send(target)) if target.reserve), "{step:?}");
        step = fixture.outcome(1, AttemptOutcome::Denied { retry_after_ms: 30, shortage_ms: 0 });
    }
    sent_to(step);
    assert_eq!(
        fixture.outcome(1, AttemptOutcome::Denied { retry_after_ms: 30, shortage_ms: 0 }),
        None,
        "it waits because all runners are full"
    );
    fixture.now += 40;
    sent_to(fixture.step(1, Event::Tick));
}

#[test]
fn a_runner_whose_sidecar_is_silent_is_paused_for_a_while() {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, 1);
    sent_to(fixture.arrive(arrival(1, MODEL_SERVICE, STREAM)));
    assert_eq!(fixture.outcome(1, AttemptOutcome::Silent), None);
    fixture.now += 50;
    assert_eq!(fixture.step(1, Event::Tick), None);
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut fixture = Fixture::new();
    fixture.feed(Event::Configured(catalog(7)));
    fixture.feed(Event::Configured(catalog(3)));
    assert_eq!(fixture.gateway.catalog().map(|it| it.version), Some(7));
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let route = |name: &str, host: &str, prefix: &str| Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Safe,
        timeout_ms: 1000,
        target_latency_ms: 100,
        max_event_gap_ms: 100,
        attempts: 1,
        priority: 0,
        open: false,
        services: vec![(PLAIN_SERVICE.into(), 1)],
        homes: HomeRegions::anywhere(),
    };
    let routes =
        vec![route("top", "h", "/"), route("deep", "h", "/a/b/"), route("other", "g", "/a/b/c/")];
    let catalog = Catalog::new(CatalogParts { routes, ..CatalogParts::default() });
    let name = |host: &str, path: &str| catalog.route(host, path).map(|it| it.name.clone());
    assert_eq!(name("h", "/a/b/c/d").as_deref(), Some("deep"));
    assert_eq!(name("H:80", "/a/b/").as_deref(), Some("deep"));
    assert_eq!(name("h", "/a/b").as_deref(), Some("top"));
    assert_eq!(name("h", "/x?y=/a/b/").as_deref(), Some("top"));
    assert_eq!(name("nowhere", "/"), None);
}

#[test]
fn a_traffic_split_follows_its_weights() {
    let mut route = Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Safe,
        timeout_ms: 1,
        target_latency_ms: 1,
        max_event_gap_ms: 1,
        attempts: 1,
        priority: 0,
        open: true,
        services: vec![("x".into(), 9), ("y".into(), 1)],
        homes: HomeRegions::anywhere(),
    };
    let taken =
        |route: &Route| (0..100).filter(|it| route.service(*it) == Some(&"x".into())).count();
    assert_eq!(taken(&route), 90);
    route.services[1].1 = 0;
    assert_eq!(taken(&route), 100);
}

#[test]
fn a_request_is_sent_to_the_runner_with_the_shortest_prompt_queue() {
    let mut fixture = Fixture::new();
    for (name, port, reading_ms) in [("slow", 1, 400), ("quick", 2, 0)] {
        fixture.list(name, MODEL_SERVICE, port);
        let load = RunnerLoad { reading_ms, ..load(1, 1) };
        fixture.feed(Event::Load(([127, 0, 0, 1], port).into(), load));
    }
    assert_eq!(sent_to(fixture.arrive(arrival(1, MODEL_SERVICE, STREAM))), "quick".into());
}

#[test]
fn a_runner_with_absurd_counts_does_not_look_free() {
    for (running, waiting) in [(u32::MAX, u32::MAX), (u32::MAX, 1), (u32::MAX, 0)] {
        let mut fixture = Fixture::new();
        for (name, port, absurd) in [("absurd", 1, true), ("usual", 2, false)] {
            fixture.list(name, MODEL_SERVICE, port);
            let usual = load(1, 1);
            let load = if absurd { RunnerLoad { running, waiting, ..usual } } else { usual };
            fixture.feed(Event::Load(([127, 0, 0, 1], port).into(), load));
        }
        assert_eq!(sent_to(fixture.arrive(arrival(1, MODEL_SERVICE, STREAM))), "usual".into());
    }
}

#[test]
fn a_reservation_query_waits_only_if_no_other_runner_may_have_a_slot() {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, 1);
    fixture.list("r2", MODEL_SERVICE, 2);
    for port in [1, 2] {
        fixture.feed(Event::Load(([127, 0, 0, 1], port).into(), load(1, 1)));
    }
    let first = target_of(fixture.arrive(arrival(1, MODEL_SERVICE, STREAM)));
    assert_eq!(first.wait_ms, 0);
    let denied = AttemptOutcome::Denied { retry_after_ms: 60, shortage_ms: 0 };
    let second = target_of(fixture.outcome(1, denied));
    assert_ne!(second.id, first.id);
    assert!(second.wait_ms > 0, "no other runner is left");
}

/// A gateway whose machine was suspended receives a version late and takes it for new. The sidecars
/// know its true age.
#[test]
fn a_version_is_required_from_its_earliest_reported_announcement() {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, 1);
    fixture.now += 2500;
    fixture.feed(named(2, Some(0)));
    let mut reported = load(1, 0);
    reported.named =
        Some(AnnouncedVersion { model: model(), version: 2, age_ms: Some(2500), after_ms: None });
    fixture.feed(Event::Load(([127, 0, 0, 1], 1).into(), reported));
    fixture.now += VERSION_MS - 2500;
    fixture.feed(Event::Load(([127, 0, 0, 1], 1).into(), load(1, 0)));
    let step = fixture.arrive(arrival(1, MODEL_SERVICE, STREAM));
    assert!(matches!(step, Some(NextStep::Refuse { .. })), "{step:?}");
}

#[test]
fn an_expired_reservation_is_neither_an_attempt_nor_a_failure_of_the_runner() {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, 1);
    assert_eq!(sent_to(fixture.arrive(arrival(1, MODEL_SERVICE, STREAM))), "r1".into());
    assert_eq!(sent_to(fixture.outcome(1, AttemptOutcome::Expired)), "r1".into());
}

/// Gateways that restart every two seconds: each one that started while a version spread assumed
/// that it had been announced long ago, and sent nothing to the runners that had not yet loaded it,
/// although the sidecars knew its age.
#[test]
fn a_starting_gateway_uses_the_age_of_a_version_reported_by_others() {
    let mut fixture = Fixture::new();
    fixture.list("r1", MODEL_SERVICE, 1);
    fixture.feed(named(2, None));
    let mut reported = load(1, 0);
    reported.named =
        Some(AnnouncedVersion { model: model(), version: 2, age_ms: Some(1000), after_ms: None });
    fixture.feed(Event::Load(([127, 0, 0, 1], 1).into(), reported));
    fixture.now += 4000;
    fixture.feed(Event::Load(([127, 0, 0, 1], 1).into(), load(1, 0)));
    assert_eq!(sent_to(fixture.arrive(arrival(1, MODEL_SERVICE, STREAM))), "r1".into());
    fixture.now += VERSION_MS - 5000;
    fixture.feed(Event::Load(([127, 0, 0, 1], 1).into(), load(1, 0)));
    let step = fixture.arrive(arrival(2, MODEL_SERVICE, STREAM));
    assert!(matches!(step, Some(NextStep::Refuse { .. })), "{step:?}");
}
