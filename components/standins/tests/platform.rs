//! Tests of the stand-ins through the HTTP clients that the daemons use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use errors::Code;
use externals::{EngineOrder, HttpUpstream, ModelEngine, Platform, Precondition};
use fleet::{Manifest, ModelName, Revision, Role, VersionId};
use futures_lite::future::block_on;
use net::{Server, ServerLimits, Tasks};
use standins::{Engine, EngineOptions, PlatformOptions, PlatformStandIn};

/// Runs a test with a platform stand-in.
fn with_platform<F: std::future::Future<Output = ()>>(
    test: impl FnOnce(Tasks, Arc<PlatformStandIn>, Platform) -> F,
) {
    let executor = Arc::new(Executor::new());
    let tasks = Tasks::new(&executor);
    block_on(executor.run(async {
        let options = PlatformOptions { origin_bytes_per_s: 1 << 30 };
        let platform = Arc::new(PlatformStandIn::start(&tasks, options).await.unwrap());
        let clients = platform.connect();
        // Keeps the services running until the test ends, even if the test does not use the stand-in.
        test(tasks, platform.clone(), clients).await;
        drop(platform);
    }));
}

#[test]
fn writes_a_row_only_if_the_precondition_holds() {
    with_platform(|_, _, clients| async move {
        let table = clients.table;
        let tag = table.write("row", b"1", &Precondition::Absent).await.unwrap();
        let again = table.write("row", b"2", &Precondition::Absent).await.unwrap_err();
        assert_eq!(again.code, Code::RowChanged);
        table.write("row", b"3", &Precondition::Tag(tag.clone())).await.unwrap();
        let stale = table.write("row", b"4", &Precondition::Tag(tag)).await.unwrap_err();
        assert_eq!(stale.code, Code::RowChanged);
        assert_eq!(table.read("row").await.unwrap().unwrap().value, b"3");
    });
}

#[test]
fn drops_responses_after_the_write_took_effect() {
    with_platform(|_, platform, clients| async move {
        platform.table.faults.set_response_loss_percent(100);
        let lost = clients.table.write("row", b"1", &Precondition::Absent).await.unwrap_err();
        assert_eq!(lost.code, Code::PlatformUnavailable);
        platform.table.faults.set_response_loss_percent(0);
        assert_eq!(clients.table.read("row").await.unwrap().unwrap().value, b"1");
    });
}

#[test]
fn serves_ranges_and_corrupts_responses_on_request() {
    with_platform(|_, platform, clients| async move {
        let version = VersionId([1; 32]);
        let content: Vec<u8> = (0..100).collect();
        clients.weights.publish(version, content.clone()).await.unwrap();
        assert_eq!(clients.weights.read(version, 10, 20).await.unwrap(), &content[10..30]);
        assert!(clients.weights.read(version, 90, 20).await.is_err());
        platform.origin.set_corrupt_percent(100);
        assert_ne!(clients.weights.read(version, 10, 20).await.unwrap(), &content[10..30]);
    });
}

/// Returns an order to load weights. The origin stand-in serves them in place of an agent.
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
fn rejects_orders_with_an_old_epoch_or_incomplete_weights() {
    with_platform(|tasks, platform, clients| async move {
        let content = vec![3; 10_000];
        let version = Manifest::describe("m", &content).unwrap().version();
        clients.weights.publish(version, content).await.unwrap();
        let options = EngineOptions { load_time: Duration::ZERO, ..EngineOptions::default() };
        let engine = Arc::new(Engine::new(&tasks, options));
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let server =
            Server::start(&tasks, any_port, ServerLimits::default(), engine).await.unwrap();
        let engine = HttpUpstream(server.address());
        let weights = platform.addresses()[2];
        engine.order(&order(weights, 5, version, 10_000)).await.unwrap();
        let old = engine.order(&order(weights, 4, version, 10_000)).await.unwrap_err();
        assert_eq!(old.code, Code::OldEpoch);
        let partial = engine.order(&order(weights, 6, version, 20_000)).await.unwrap_err();
        assert_eq!(partial.code, Code::UpstreamFailed);
    });
}
