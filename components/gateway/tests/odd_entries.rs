//! The reducer handles any values that other programs put into entries, reports and announcements.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use fleet::{AnnouncedVersion, IncarnationReport, InstanceId, Millis};
use gateway::*;
use proptest::prelude::*;
use support::network::BOUNDS;
use support::*;

/// Values at the ends of the range, and usual ones.
fn any_u64() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), 1..5_u64, 0..5000_u64, any::<u64>(), u64::MAX - 3..=u64::MAX]
}

fn any_u32() -> impl Strategy<Value = u32> {
    any_u64().prop_map(|it| it.min(u64::from(u32::MAX)) as u32)
}

fn any_f64() -> impl Strategy<Value = f64> {
    prop_oneof![
        Just(1.0),
        Just(0.0),
        any::<f64>(),
        Just(f64::MAX),
        Just(f64::INFINITY),
        Just(f64::NAN),
        Just(-1.0),
    ]
}

fn any_service() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec![PLAIN_SERVICE, PLAIN_SERVICE, MODEL_SERVICE, "unknown", ""])
}

fn any_address() -> impl Strategy<Value = SocketAddr> {
    let odd = ["0.0.0.0:0", "255.255.255.255:1", "224.0.0.1:65535", "[::]:0", "[ff02::1]:1"];
    prop_oneof![
        (0..4_u16).prop_map(|port| ([127, 0, 0, 1], port).into()),
        prop::sample::select(odd.to_vec()).prop_map(|it| it.parse().unwrap()),
    ]
}

fn any_id() -> impl Strategy<Value = InstanceId> {
    prop_oneof!["r[0-3]", "r[0-3]", Just(String::new()), any::<String>()].prop_map(InstanceId)
}

fn any_incarnation() -> impl Strategy<Value = IncarnationReport> {
    (prop::option::of(any_u64()), any_u64())
        .prop_map(|(born, sequence)| IncarnationReport { born, sequence })
}

fn any_weights() -> impl Strategy<Value = Option<WeightsHeld>> {
    let held = (any_u64(), any::<bool>()).prop_map(|(version, whole)| (version, whole));
    prop::option::of(held)
        .prop_map(|it| it.map(|(version, whole)| WeightsHeld { model: model(), version, whole }))
}

fn any_record() -> impl Strategy<Value = RunnerRecord> {
    let place =
        (any_id(), any_service(), any_address(), prop::sample::select(vec!["a", "b", "", "z"]));
    let state =
        prop::sample::select(vec![RunnerState::Ready, RunnerState::Ready, RunnerState::Draining]);
    let values = (any_incarnation(), any_u32(), any_weights(), any_u64());
    (place.boxed(), state, values.boxed()).prop_map(
        |((id, service, address, hall), state, values)| {
            let (incarnation, slots, weights, cold_ms) = values;
            let (service, hall) = (service.into(), hall.into());
            RunnerRecord { id, incarnation, service, address, hall, slots, state, weights, cold_ms }
        },
    )
}

fn any_load() -> impl Strategy<Value = RunnerLoad> {
    let counts = (any_incarnation(), any_u32(), any_u32(), any::<bool>(), any_f64());
    let rest =
        (any_u32(), any_weights(), prop::option::of(any_u32()), prop::option::of(any_announced()));
    (counts.boxed(), rest.boxed()).prop_map(|((life, running, waiting, busy, pace), rest)| {
        let (reading_ms, weights, serves_in_ms, named) = rest;
        RunnerLoad { life, running, waiting, busy, pace, reading_ms, weights, serves_in_ms, named }
    })
}

fn any_announced() -> impl Strategy<Value = AnnouncedVersion> {
    (any_u64(), prop::option::of(any_u64()), prop::option::of(any_u64())).prop_map(
        |(version, age_ms, after_ms)| AnnouncedVersion {
            model: model(),
            version,
            age_ms,
            after_ms,
        },
    )
}

/// Catalogs whose services have any values.
fn any_catalog() -> impl Strategy<Value = Catalog> {
    let cold = (any_u64(), any_f64());
    let engine = (any_u32(), any_u32(), any_u64(), any_u32(), any_f64());
    (any_u64(), cold.boxed(), engine.boxed()).prop_map(
        |(version, (start_ms, requests_per_s), engine)| {
            let (slots, layers, warm_ms, usual_prompt_tokens, prompt_tokens_per_ms) = engine;
            let engine = EngineProfile {
                model: model(),
                slots,
                layers,
                warm_ms,
                usual_prompt_tokens,
                prompt_tokens_per_ms,
            };
            let cold = Some(ColdProfile { start_ms, requests_per_s });
            let service =
                |name: &str, engine| Service { name: name.into(), engine, origin: None, cold };
            let services = vec![service(MODEL_SERVICE, Some(engine)), service(PLAIN_SERVICE, None)];
            Catalog::new(CatalogParts { version, services, ..CatalogParts::default() })
        },
    )
}

#[derive(Clone, Debug)]
enum Action {
    Feed(Event),
    Request(&'static str, AttemptOutcome),
    Pass(u64),
}

fn any_action() -> impl Strategy<Value = Action> {
    let outcomes = vec![
        AttemptOutcome::Finished,
        AttemptOutcome::Misdirected,
        AttemptOutcome::Full,
        AttemptOutcome::NotSent,
        AttemptOutcome::Lost,
        AttemptOutcome::Malformed,
    ];
    let load =
        (any_address(), any_load()).prop_map(|(address, load)| Event::Load(address, load)).boxed();
    let catalog = any_catalog().prop_map(|it| Event::Configured(Arc::new(it))).boxed();
    let event = prop_oneof![
        4 => any_record().prop_map(Event::Listed).boxed(),
        1 => any_id().prop_map(Event::Unlisted),
        3 => load,
        1 => any_announced().prop_map(Event::VersionAnnounced),
        1 => catalog,
        1 => Just(Event::ListConfirmed),
    ];
    prop_oneof![
        4 => event.prop_map(Action::Feed).boxed(),
        3 => (any_service(), prop::sample::select(outcomes)).prop_map(|(a, b)| Action::Request(a, b)),
        1 => prop_oneof![0..100_u64, 0..100_000_u64].prop_map(Action::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    #[test]
    fn any_entries_reports_and_announcements_are_handled(
        actions in prop::collection::vec(any_action(), 1..60)
    ) {
        let mut fixture = Fixture::with(GatewayOptions { cold: Some(BOUNDS), ..options() });
        for (key, action) in actions.into_iter().enumerate() {
            let key = key as u64;
            match action {
                Action::Feed(event) => drop(fixture.feed(event)),
                Action::Pass(span) => fixture.pass(span),
                Action::Request(service, outcome) => {
                    let mut step = fixture.arrive(arrival(key, service, RouteKind::Safe));
                    let mut sends = 0;
                    while let Some(NextStep::Send(_)) = step {
                        sends += 1;
                        prop_assert!(sends <= 2, "more attempts than the route allows");
                        step = fixture.outcome(key, outcome);
                    }
                }
            }
            let now = Millis(fixture.now);
            fixture.gateway.announced_versions(now);
            fixture.gateway.cold_machines(now);
        }
    }
}
