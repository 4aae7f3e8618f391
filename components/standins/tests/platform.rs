//! The stand-ins, through the adapters that daemons use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use errors::Code;
use externals::{EngineOrder, Expected, HttpUpstream, ModelEngine, Platform};
use fleet::{Manifest, ModelName, Revision, Role, VersionId};
use futures_lite::future::block_on;
use net::{Bounds, Server, Tasks};
use standins::{Engine, EngineOptions, PlatformOptions, PlatformStandIn};

/// Runs a test against the platform.
fn with_platform<F: std::future::Future<Output = ()>>(
    test: impl FnOnce(Tasks, Arc<PlatformStandIn>, Platform) -> F,
) {
    let executor = Arc::new(Executor::new());
    let tasks = Tasks::new(&executor);
    block_on(executor.run(async {
        let options = PlatformOptions { origin_bytes_per_s: 1 << 30 };
        let platform = Arc::new(PlatformStandIn::start(&tasks, options).await.unwrap());
        let adapters = platform.connect();
        // The services live as long as the test, whether it names them or not.
        test(tasks, platform.clone(), adapters).await;
        drop(platform);
    }));
}

#[test]
fn writes_a_row_only_if_it_is_as_expected() {
    with_platform(|_, _, adapters| async move {
        let table = adapters.table;
        let tag = table.write("row", b"1", &Expected::Absent).await.unwrap();
        let again = table.write("row", b"2", &Expected::Absent).await.unwrap_err();
        assert_eq!(again.code, Code::RowChanged);
        table.write("row", b"3", &Expected::Tag(tag.clone())).await.unwrap();
        let stale = table.write("row", b"4", &Expected::Tag(tag)).await.unwrap_err();
        assert_eq!(stale.code, Code::RowChanged);
        assert_eq!(table.read("row").await.unwrap().unwrap().value, b"3");
    });
}

#[test]
fn loses_answers_after_the_write_took_effect() {
    with_platform(|_, platform, adapters| async move {
        platform.table.faults.set_lost_percent(100);
        let lost = adapters.table.write("row", b"1", &Expected::Absent).await.unwrap_err();
        assert_eq!(lost.code, Code::PlatformUnavailable);
        platform.table.faults.set_lost_percent(0);
        assert_eq!(adapters.table.read("row").await.unwrap().unwrap().value, b"1");
    });
}

#[test]
fn can_read_ranges_and_damages_what_it_is_told_to() {
    with_platform(|_, platform, adapters| async move {
        let version = VersionId([1; 32]);
        let content: Vec<u8> = (0..100).collect();
        adapters.weights.publish(version, content.clone()).await.unwrap();
        assert_eq!(adapters.weights.read(version, 10, 20).await.unwrap(), &content[10..30]);
        assert!(adapters.weights.read(version, 90, 20).await.is_err());
        platform.origin.set_corrupt_percent(100);
        assert_ne!(adapters.weights.read(version, 10, 20).await.unwrap(), &content[10..30]);
    });
}

/// An order for weights that the origin stand-in serves in the agent's place.
fn order(weights: SocketAddr, epoch: u64, version: VersionId, bytes: u64) -> EngineOrder {
    EngineOrder {
        epoch: Revision(epoch),
        model: ModelName::from("tips"),
        version: Some(version),
        adapter_of: None,
        role: Role::Serve,
        weights,
        bytes,
    }
}

#[test]
fn takes_fenced_orders_and_whole_weights_only() {
    with_platform(|tasks, platform, adapters| async move {
        let content = vec![3; 10_000];
        let version = Manifest::describe("m", &content).unwrap().version();
        adapters.weights.publish(version, content).await.unwrap();
        let options = EngineOptions { load_time: Duration::ZERO, ..EngineOptions::default() };
        let engine = Arc::new(Engine::new(&tasks, options));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(&tasks, any, Bounds::default(), engine).await.unwrap();
        let engine = HttpUpstream(server.address());
        let weights = platform.addresses()[2];
        engine.order(&order(weights, 5, version, 10_000)).await.unwrap();
        let old = engine.order(&order(weights, 4, version, 10_000)).await.unwrap_err();
        assert_eq!(old.code, Code::OldEpoch);
        let partial = engine.order(&order(weights, 6, version, 20_000)).await.unwrap_err();
        assert_eq!(partial.code, Code::UpstreamFailed);
    });
}
