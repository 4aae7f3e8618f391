//! What sidecars are told of their runners.

use std::rc::Rc;
use std::sync::Arc;

use fleet::Ablation;
use futures_lite::future::block_on;
use gateway::*;

use super::*;
use crate::clock::Clock;
use crate::gateway::reservations::Reservations;
use crate::gateway::tables::Tables;

const RUNNER: ([u8; 4], u16) = ([10, 0, 0, 1], 80);

/// A gateway that lists one warm runner of a service whose runners start cold.
async fn core() -> Core {
    let options = GatewayOptions {
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
    let news = News::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let tables = Rc::new(Tables::new(|_| Duration::from_secs(6)));
    let metrics = Rc::new(telemetry::Metrics::start().unwrap());
    let reservations = Reservations::new(news, 1);
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
    core.feed(Event::Configured(Arc::new(Catalog::new(parts))));
    core.feed(Event::Listed(RunnerRecord {
        life: Default::default(),
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

fn told_cold_ms(core: &Core) -> Option<u32> {
    match Subscription::new(core).to(RUNNER.into(), false) {
        Datagram::Subscribe { cold_ms, .. } => cold_ms,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_runner_is_called_warm_only_by_a_list_that_the_store_has_just_confirmed() {
    block_on(async {
        let core = core().await;
        assert_eq!(told_cold_ms(&core), None, "the store was never heard");
        core.tables.runners.note_heard();
        assert_eq!(told_cold_ms(&core), Some(0));
        Timer::after(WARM_WORD_AGE + Duration::from_millis(20)).await;
        assert_eq!(told_cold_ms(&core), None, "the runner may have started since");
        assert!(core.tables.runners.is_confirmed(), "no answer is overdue");
    });
}
