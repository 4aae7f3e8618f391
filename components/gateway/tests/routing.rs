//! Which runner a request goes to, and which it never goes to.

mod support;

use fleet::{HomeRegions, NamedVersion};
use gateway::*;
use support::*;

const STREAM: RouteKind = RouteKind::Stream { resumable: true };

#[test]
fn a_draining_runner_gets_nothing_new() {
    let mut bed = Bed::new();
    let mut leaving = record("r1", PLAIN_SERVICE, 1);
    leaving.state = RunnerState::Draining;
    bed.feed(Event::Listed(leaving));
    assert_eq!(bed.arrive(arrival(1, PLAIN_SERVICE, RouteKind::Safe)), None);
    bed.list("r2", PLAIN_SERVICE, 2);
    assert_eq!(sent_to(bed.arrive(arrival(2, PLAIN_SERVICE, RouteKind::Safe))), "r2".into());
}

#[test]
fn an_unlisted_runner_gets_nothing_new() {
    let mut bed = Bed::new();
    bed.list("r1", PLAIN_SERVICE, 1);
    bed.feed(Event::Unlisted("r1".into()));
    assert_eq!(bed.arrive(arrival(1, PLAIN_SERVICE, RouteKind::Safe)), None);
}

#[test]
fn an_address_that_another_service_took_over_is_not_mixed_up() {
    let mut bed = Bed::new();
    bed.list("old", PLAIN_SERVICE, 1);
    bed.list("new", MODEL_SERVICE, 1);
    bed.feed(Event::Unlisted("old".into()));
    // Every place is taken, and as many wait there as may.
    bed.feed(Event::Load(([127, 0, 0, 1], 1).into(), load(1, 8)));
    assert_eq!(
        bed.arrive(arrival(1, MODEL_SERVICE, STREAM)),
        None,
        "the report was for the new one"
    );
}

#[test]
fn a_runner_without_all_layers_gets_nothing() {
    let mut bed = Bed::new();
    let mut empty = record("r1", MODEL_SERVICE, 1);
    empty.weights = None;
    bed.feed(Event::Listed(empty));
    assert_eq!(bed.arrive(arrival(1, MODEL_SERVICE, STREAM)), None);
}

#[test]
fn a_fresh_report_goes_before_the_list() {
    let mut bed = Bed::new();
    bed.list("r1", MODEL_SERVICE, 1);
    let mut busy = load(1, 0);
    busy.busy = true;
    bed.feed(Event::Load(([127, 0, 0, 1], 1).into(), busy));
    assert_eq!(bed.arrive(arrival(1, MODEL_SERVICE, STREAM)), None);
}

/// Found on a day with two versions named three seconds apart: the second name took the bound of
/// the first away, and requests started on the version before both for too long.
#[test]
fn each_named_version_keeps_its_own_bound() {
    let mut bed = Bed::new();
    bed.list("r1", MODEL_SERVICE, 1);
    bed.feed(named(2, Some(0)));
    bed.now += 3000;
    bed.feed(named(3, Some(0)));
    bed.now += VERSION_MS - 3000;
    let step = bed.arrive(arrival(1, MODEL_SERVICE, STREAM));
    assert_eq!(step, None, "version 1 is too old by the bound of version 2");
    bed.feed(Event::Load(([127, 0, 0, 1], 1).into(), load(2, 0)));
    assert_eq!(sent_to(bed.arrive(arrival(2, MODEL_SERVICE, STREAM))), "r1".into());
    bed.now += 3000;
    bed.feed(Event::Load(([127, 0, 0, 1], 1).into(), load(2, 0)));
    let step = bed.arrive(arrival(3, MODEL_SERVICE, STREAM));
    assert!(matches!(step, Some(NextStep::Refuse { .. })), "now version 3 is needed: {step:?}");
}

/// Found on a day with a squeezed link: a request that waits at its runner for a second starts
/// after the bound although it was sent before it.
#[test]
fn a_runner_that_starts_late_is_left_the_earlier_before_a_bound() {
    let mut bed = Bed::new();
    bed.list("r1", MODEL_SERVICE, 1);
    bed.feed(named(2, Some(0)));
    bed.now += 4000;
    assert_eq!(sent_to(bed.arrive(arrival(1, MODEL_SERVICE, STREAM))), "r1".into());
    bed.now += 1500;
    bed.outcome(1, AttemptOutcome::Answered);
    bed.outcome(1, AttemptOutcome::Finished);
    assert_eq!(bed.arrive(arrival(2, MODEL_SERVICE, STREAM)), None);
}

#[test]
fn a_version_that_was_named_before_the_start_is_needed_sooner() {
    let mut bed = Bed::new();
    bed.list("r1", MODEL_SERVICE, 1);
    bed.feed(named(2, None));
    bed.now += 3000;
    assert_eq!(bed.arrive(arrival(1, MODEL_SERVICE, STREAM)), None);
}

#[test]
fn a_request_that_a_sidecar_has_no_place_for_goes_elsewhere_and_keeps_its_attempts() {
    let mut bed = Bed::new();
    for port in 1..=4 {
        bed.list(&format!("r{port}"), MODEL_SERVICE, port);
    }
    let mut step = bed.arrive(arrival(1, MODEL_SERVICE, STREAM));
    for _ in 0..3 {
        assert!(matches!(&step, Some(NextStep::Send(target)) if target.reserve), "{step:?}");
        step = bed.outcome(1, AttemptOutcome::Denied { again_ms: 30, short_ms: 0 });
    }
    sent_to(step);
    assert_eq!(
        bed.outcome(1, AttemptOutcome::Denied { again_ms: 30, short_ms: 0 }),
        None,
        "all are full: it waits"
    );
    bed.now += 40;
    sent_to(bed.step(1, Event::Tick));
}

#[test]
fn a_runner_whose_sidecar_is_silent_is_left_alone_for_a_while() {
    let mut bed = Bed::new();
    bed.list("r1", MODEL_SERVICE, 1);
    sent_to(bed.arrive(arrival(1, MODEL_SERVICE, STREAM)));
    assert_eq!(bed.outcome(1, AttemptOutcome::Silent), None);
    bed.now += 50;
    assert_eq!(bed.step(1, Event::Tick), None);
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut bed = Bed::new();
    bed.feed(Event::Configured(catalog(7)));
    bed.feed(Event::Configured(catalog(3)));
    assert_eq!(bed.gateway.catalog().map(|it| it.version), Some(7));
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let route = |name: &str, host: &str, prefix: &str| Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Safe,
        timeout_ms: 1000,
        aim_ms: 100,
        gap_aim_ms: 100,
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
fn a_split_follows_its_weights() {
    let mut route = Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Safe,
        timeout_ms: 1,
        aim_ms: 1,
        gap_aim_ms: 1,
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
fn a_request_goes_where_prompts_are_read_soonest() {
    let mut bed = Bed::new();
    for (name, port, reading_ms) in [("slow", 1, 400), ("quick", 2, 0)] {
        bed.list(name, MODEL_SERVICE, port);
        let load = RunnerLoad { reading_ms, ..load(1, 1) };
        bed.feed(Event::Load(([127, 0, 0, 1], port).into(), load));
    }
    assert_eq!(sent_to(bed.arrive(arrival(1, MODEL_SERVICE, STREAM))), "quick".into());
}

#[test]
fn a_question_waits_only_where_no_other_runner_may_have_a_place() {
    let mut bed = Bed::new();
    bed.list("r1", MODEL_SERVICE, 1);
    bed.list("r2", MODEL_SERVICE, 2);
    for port in [1, 2] {
        bed.feed(Event::Load(([127, 0, 0, 1], port).into(), load(1, 1)));
    }
    let first = target_of(bed.arrive(arrival(1, MODEL_SERVICE, STREAM)));
    assert_eq!(first.wait_ms, 0);
    let denied = AttemptOutcome::Denied { again_ms: 60, short_ms: 0 };
    let second = target_of(bed.outcome(1, denied));
    assert_ne!(second.id, first.id);
    assert!(second.wait_ms > 0, "no other one is left");
}

/// A gateway whose machine stood still hears of a version late and takes it for new. The sidecars know
/// better.
#[test]
fn a_version_is_needed_by_the_earliest_word_on_when_it_was_named() {
    let mut bed = Bed::new();
    bed.list("r1", MODEL_SERVICE, 1);
    bed.now += 2500;
    bed.feed(named(2, Some(0)));
    let mut told = load(1, 0);
    told.named =
        Some(NamedVersion { model: model(), version: 2, age_ms: Some(2500), after_ms: None });
    bed.feed(Event::Load(([127, 0, 0, 1], 1).into(), told));
    bed.now += VERSION_MS - 2500;
    bed.feed(Event::Load(([127, 0, 0, 1], 1).into(), load(1, 0)));
    let step = bed.arrive(arrival(1, MODEL_SERVICE, STREAM));
    assert!(matches!(step, Some(NextStep::Refuse { .. })), "{step:?}");
}

#[test]
fn a_place_that_came_too_late_is_neither_an_attempt_nor_a_fault_of_the_runner() {
    let mut bed = Bed::new();
    bed.list("r1", MODEL_SERVICE, 1);
    assert_eq!(sent_to(bed.arrive(arrival(1, MODEL_SERVICE, STREAM))), "r1".into());
    assert_eq!(sent_to(bed.outcome(1, AttemptOutcome::Expired)), "r1".into());
}

/// Found on trouble-2 of mizani-tips-now-grown, where gateways start again every two seconds: each that started
/// while a version spread guessed that it had been named long ago, and sent nothing to the runners that had yet
/// to take it, although the sidecars knew its age.
#[test]
fn a_gateway_that_starts_believes_those_who_know_the_age_of_a_version() {
    let mut bed = Bed::new();
    bed.list("r1", MODEL_SERVICE, 1);
    bed.feed(named(2, None));
    let mut told = load(1, 0);
    told.named =
        Some(NamedVersion { model: model(), version: 2, age_ms: Some(1000), after_ms: None });
    bed.feed(Event::Load(([127, 0, 0, 1], 1).into(), told));
    bed.now += 4000;
    bed.feed(Event::Load(([127, 0, 0, 1], 1).into(), load(1, 0)));
    assert_eq!(sent_to(bed.arrive(arrival(1, MODEL_SERVICE, STREAM))), "r1".into());
    bed.now += VERSION_MS - 5000;
    bed.feed(Event::Load(([127, 0, 0, 1], 1).into(), load(1, 0)));
    let step = bed.arrive(arrival(2, MODEL_SERVICE, STREAM));
    assert!(matches!(step, Some(NextStep::Refuse { .. })), "{step:?}");
}
