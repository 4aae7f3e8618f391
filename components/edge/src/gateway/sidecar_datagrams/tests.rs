//! Tests of what is reported to sidecars about their runners.

use std::rc::Rc;
use std::sync::Arc;

use fleet::Ablation;
use futures_lite::future::block_on;
use gateway::*;

use super::*;
use crate::clock::Clock;
use crate::era::Era;
use crate::gateway::request::with_request_deadline;
use crate::gateway::reservations::Reservations;
use crate::gateway::table_state::Tables;

/// Longer than any received state stays valid.
const SUSPENDED: Duration = Duration::from_secs(8);
const RUNNER: ([u8; 4], u16) = ([10, 0, 0, 1], 80);

/// A gateway that lists one warm runner of a service whose runners start cold.
async fn core() -> Core {
    let options = GatewayOptions {
        name: "g".into(),
        hall: "a".into(),
        halls: [("a".into(), "north".into())].into(),
        budget_window_ms: 10_000,
        budget_ratio: 0.2,
        budget_allowance: 100.0,
        version_ms: 8000,
        evacuate_ms: None,
        cold: Some(ColdBounds { overrun: 1.5, slack: 5.0 }),
        ablation: Ablation::default(),
    };
    let metrics = Rc::new(telemetry::Metrics::start().unwrap());
    let socket = DatagramSocket::bind(([127, 0, 0, 1], 0).into(), metrics.clone()).await.unwrap();
    let tables = Rc::new(Tables::new(|_| Duration::from_secs(6), Era::new(metrics.clone())));
    let reservations = Reservations::new(socket, 1);
    let core = Core::new(options, Clock::start(), metrics, "g", reservations, tables);
    let engine = EngineProfile {
        model: "m".into(),
        slots: 4,
        layers: 16,
        warm_ms: 300,
        usual_prompt_tokens: 1000,
        prompt_tokens_per_ms: 20.0,
    };
    let cold = Some(ColdProfile { start_ms: 8000, requests_per_s: 26.0 });
    let service = Service { name: "s".into(), engine: Some(engine), origin: None, cold };
    let parts = CatalogParts { version: 1, services: vec![service], ..CatalogParts::default() };
    core.dispatch(Event::Configured(Arc::new(Catalog::new(parts))));
    core.dispatch(Event::Listed(RunnerRecord {
        incarnation: Default::default(),
        id: "r".into(),
        service: "s".into(),
        address: RUNNER.into(),
        hall: "a".into(),
        slots: 4,
        state: RunnerState::Ready,
        weights: None,
        cold_ms: 0,
    }));
    core
}

fn sent_cold_ms(core: &Core) -> Option<u32> {
    match Subscription::new(core).for_sidecar(RUNNER.into(), false) {
        Datagram::Subscribe { cold_ms, .. } => cold_ms,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_runner_is_reported_warm_only_by_a_list_that_the_store_has_just_confirmed() {
    block_on(async {
        let core = core().await;
        assert_eq!(sent_cold_ms(&core), None, "the store never answered");
        core.tables.runners.record_answer(Instant::now());
        assert_eq!(sent_cold_ms(&core), Some(0));
        Timer::after(MAX_WARM_REPORT_AGE + Duration::from_millis(20)).await;
        assert_eq!(sent_cold_ms(&core), None, "the runner may have started since");
        assert!(core.tables.runners.is_confirmed(), "no answer is overdue");
    });
}

/// The monotonic clock stops while a machine is suspended. If ages were computed from it, a gateway would
/// take state from before a suspension for current state and hold requests for seconds beyond their deadline.
#[test]
fn state_from_before_a_suspension_ages_by_the_suspended_time() {
    block_on(async {
        let core = core().await;
        core.tables.runners.record_answer(Instant::now());
        core.tables.operator.record_answer(Instant::now());
        let load = RunnerLoad {
            life: Default::default(),
            running: 0,
            waiting: 0,
            busy: false,
            pace: 1.0,
            reading_ms: 0,
            weights: None,
            serves_in_ms: Some(0),
            named: None,
        };
        core.dispatch(Event::Load(RUNNER.into(), load));
        let has_load = |core: &Core| {
            let now = core.clock.now();
            core.read(|it| it.pool().runner(&"r".into()).is_some_and(|it| it.load(now).is_some()))
        };
        let before = core.clock.now();
        assert!(has_load(&core) && core.tables.operator.is_confirmed());
        uptime::simulate_suspension(SUSPENDED);
        assert!(core.clock.now().since(before).0 >= SUSPENDED.as_millis() as u64);
        assert!(!has_load(&core), "the report is from before the suspension");
        assert!(!core.tables.operator.is_confirmed() && !core.tables.runners.is_confirmed());
        assert_eq!(sent_cold_ms(&core), None);
    });
}

#[test]
fn a_request_that_expires_during_a_suspension_ends_on_resume() {
    block_on(async {
        let core = core().await;
        let mut suspensions = uptime::SuspensionDetector::default();
        let limit = core.clock.now().plus(SUSPENDED.as_millis() as u64);
        let started = std::time::Instant::now();
        let result = with_request_deadline(&core, limit, std::future::pending::<()>());
        let resume = async {
            Timer::after(Duration::from_millis(20)).await;
            uptime::simulate_suspension(SUSPENDED);
            suspensions.poll()
        };
        let (result, span) = futures_lite::future::zip(result, resume).await;
        assert!(result.is_none() && span.is_some());
        assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    });
}
