//! A gateway with a few runners, for tests.

#![allow(dead_code)]

pub mod network;
pub mod random_actions;

use std::sync::Arc;

use fleet::{
    Ablation, AnnouncedVersion, HomeRegions, IncarnationReport, InstanceId, Millis, ModelName,
    ServiceName,
};
use gateway::*;
use quarantine::SubjectDigest;

/// The model service in the tests.
pub const MODEL_SERVICE: &str = "assistant";
/// The plain service in the tests.
pub const PLAIN_SERVICE: &str = "ledger";
/// How long older versions may be used after a newer one was announced, in milliseconds.
pub const VERSION_MS: u64 = 8000;

pub fn options() -> GatewayOptions {
    GatewayOptions {
        name: "g".into(),
        ablation: Ablation::default(),
        hall: "a".into(),
        halls: [("a".into(), "north".into()), ("b".into(), "south".into())].into(),
        budget_window_ms: 10_000,
        budget_ratio: 0.2,
        budget_allowance: 100.0,
        version_ms: VERSION_MS,
        evacuate_ms: None,
        cold: None,
    }
}

pub fn model() -> ModelName {
    "m".into()
}

/// The announcement of a version with this age, if it is known.
pub fn named(version: u64, age_ms: Option<u64>) -> Event {
    Event::VersionAnnounced(AnnouncedVersion { model: model(), version, age_ms, after_ms: None })
}

pub fn catalog(version: u64) -> Arc<Catalog> {
    let engine = EngineProfile {
        model: model(),
        slots: 4,
        layers: 16,
        warm_ms: 300,
        usual_prompt_tokens: 1000,
        prompt_tokens_per_ms: 20.0,
    };
    let service =
        |name: &str, engine| Service { name: name.into(), engine, origin: None, cold: None };
    Arc::new(Catalog::new(CatalogParts {
        version,
        services: vec![service(MODEL_SERVICE, Some(engine)), service(PLAIN_SERVICE, None)],
        ..CatalogParts::default()
    }))
}

/// The route of all requests, with these home regions.
pub fn route(homes: HomeRegions) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Safe,
        timeout_ms: 1000,
        target_latency_ms: 100,
        max_event_gap_ms: 100,
        attempts: 2,
        priority: 0,
        open: false,
        services: vec![(PLAIN_SERVICE.into(), 1)],
        homes,
    }
}

/// A configuration in which all requests have these home regions.
pub fn bound(version: u64, homes: &HomeRegions) -> Event {
    let routes = vec![route(homes.clone())];
    Event::Configured(Arc::new(Catalog::new(CatalogParts {
        version,
        routes,
        ..CatalogParts::default()
    })))
}

pub fn record(id: &str, service: &str, port: u16) -> RunnerRecord {
    let weights =
        (service == MODEL_SERVICE).then(|| WeightsHeld { model: model(), version: 1, whole: true });
    RunnerRecord {
        id: id.into(),
        incarnation: IncarnationReport::default(),
        service: service.into(),
        address: ([127, 0, 0, 1], port).into(),
        hall: "a".into(),
        slots: 4,
        state: RunnerState::Ready,
        weights,
        cold_ms: 0,
    }
}

pub fn load(version: u64, running: u32) -> RunnerLoad {
    RunnerLoad {
        life: IncarnationReport::default(),
        running,
        waiting: 0,
        busy: false,
        pace: 1.0,
        reading_ms: 0,
        weights: Some(WeightsHeld { model: model(), version, whole: true }),
        serves_in_ms: Some(0),
        named: None,
    }
}

pub fn arrival(key: u64, service: &str, kind: RouteKind) -> Arrival {
    Arrival {
        key: RequestKey(key),
        subjects: SubjectDigest(key).into(),
        route: "r".into(),
        workspace: None,
        homes: HomeRegions::anywhere(),
        service: service.into(),
        kind,
        priority: 1,
        model: (service == MODEL_SERVICE).then(model),
        prompt_tokens: 100,
        target_latency_ms: 400,
        deadline_ms: None,
        deadline: Millis(u64::MAX),
        attempts: 2,
    }
}

/// A gateway with a configuration and a clock that the test controls.
pub struct Fixture {
    pub gateway: Gateway,
    pub now: u64,
    seed: u64,
}

impl Fixture {
    pub fn new() -> Self {
        Self::with(options())
    }

    pub fn with(options: GatewayOptions) -> Self {
        let mut fixture = Self { gateway: Gateway::new(options), now: 1_000_000, seed: 1 };
        fixture.feed(Event::Configured(catalog(1)));
        fixture
    }

    pub fn feed(&mut self, event: Event) -> Vec<Effect> {
        self.seed += 1;
        self.gateway.reduce(Millis(self.now), self.seed, event)
    }

    /// Advances the clock and triggers the periodic timer.
    pub fn pass(&mut self, span: u64) {
        self.now += span;
        self.feed(Event::Tick);
    }

    pub fn list(&mut self, id: &str, service: &str, port: u16) -> Vec<Effect> {
        self.feed(Event::Listed(record(id, service, port)))
    }

    /// Passes an event to the gateway and returns the next step of the request, if one was decided.
    pub fn step(&mut self, key: u64, event: Event) -> Option<NextStep> {
        step_of(key, &self.feed(event))
    }

    pub fn arrive(&mut self, arrival: Arrival) -> Option<NextStep> {
        let key = arrival.key.0;
        self.step(key, Event::Arrived(arrival))
    }

    pub fn outcome(&mut self, key: u64, outcome: AttemptOutcome) -> Option<NextStep> {
        self.step(key, Event::Attempt(RequestKey(key), outcome))
    }
}

/// Finds the next step of a request among some effects.
pub fn step_of(key: u64, effects: &[Effect]) -> Option<NextStep> {
    effects.iter().find_map(|effect| match effect {
        Effect::Proceed(it, step) if it.0 == key => Some(step.clone()),
        _ => None,
    })
}

/// The runner that a request is sent to.
pub fn sent_to(step: Option<NextStep>) -> InstanceId {
    target_of(step).id
}

/// The runner that a request is sent to, with the data that it was selected by.
pub fn target_of(step: Option<NextStep>) -> RunnerTarget {
    match step {
        Some(NextStep::Send(target)) => target,
        other => panic!("expected a send, got {other:?}"),
    }
}

pub fn service(name: &str) -> ServiceName {
    name.into()
}
