//! Tests of processes whose link to the store is narrow while many runner entries change, and of sidecars that
//! read the store.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use http::Method;
use platform_standin::{Caller, Standin};
use serde_json::{json, Value};

use crate::support::{wait_until, Deployment};

/// Within what time after its acknowledgement a configuration must be in force.
const CONFIGURATION_BOUND: Duration = Duration::from_millis(2000);
/// Number of gateways that share the link.
const GATEWAY_COUNT: usize = 6;
/// Bandwidth of the link. The changes of all runners, once for each gateway, need it for more than a second.
const LINK_BYTES_PER_S: u64 = 500_000;
/// Number of runner entries that change, and the interval between two changes.
const CHANGING_RUNNERS: usize = 250;
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// How long the list changes before the configuration changes.
const WARM_UP: Duration = Duration::from_secs(8);

/// Number of sidecars that start without a gateway. The probability that all of them read the store within
/// `OBSERVED_PERIOD` by chance is about 1 in 10,000.
const SIDECAR_COUNT: u64 = 10;
/// A part of the period over which the first reads of sidecars are spread.
const OBSERVED_PERIOD: Duration = Duration::from_millis(500);

/// Changes runner entries until it is dropped.
struct Churn {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Churn {
    fn start(standin: &Standin) -> Self {
        let stop: Arc<AtomicBool> = Arc::default();
        let (standin, stopped) = (standin.clone(), stop.clone());
        let thread = thread::spawn(move || {
            let mut sequence = 0;
            while !stopped.load(Ordering::Relaxed) {
                sequence += 1;
                let rows = (0..CHANGING_RUNNERS).map(|it| (format!("c{it}"), entry(it, sequence)));
                standin.write_rows("servers", rows.collect());
                thread::sleep(CHANGE_INTERVAL);
            }
        });
        Self { stop, thread: Some(thread) }
    }
}

impl Drop for Churn {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.take().map(JoinHandle::join);
    }
}

/// Returns the entry of a runner of a service without requests.
fn entry(number: usize, sequence: u64) -> Value {
    json!({
        "service": "elsewhere", "zone": "a", "address": format!("127.99.0.{number}:8001"),
        "version": "v1", "slots": 16, "state": "ready", "coldRemainingMs": 0, "sequence": sequence,
        "born": 1_700_000_000_000_u64 + sequence,
    })
}

fn add_route(standin: &Standin) {
    standin.reconfigure(|it| {
        let mut route = it["routes"][1].clone();
        route["name"] = json!("new");
        route["pathPrefix"] = json!("/new/");
        it["routes"].as_array_mut().unwrap().push(route);
    });
}

fn call_new_route(gateway: SocketAddr, id: &str) -> u16 {
    Caller::new(Method::GET, "/new/x", id).call(gateway).status
}

/// Guards against a failure in which feeds of the runner list filled the links between regions, so that answers
/// to feeds of the operators' table repeatedly arrived after their timeout.
#[test]
fn a_configuration_is_in_force_in_time_while_the_list_of_runners_fills_the_link() {
    let mut deployment = Deployment::start();
    let gateways: Vec<SocketAddr> = (0..GATEWAY_COUNT).map(|_| deployment.add_gateway()).collect();
    for gateway in &gateways {
        deployment.wait_until_ready(*gateway);
    }
    deployment.standin.set_store_rate(LINK_BYTES_PER_S);
    let _churn = Churn::start(&deployment.standin);
    thread::sleep(WARM_UP);
    add_route(&deployment.standin);
    let acknowledged = Instant::now();
    thread::sleep(CONFIGURATION_BOUND.saturating_sub(acknowledged.elapsed()));
    let statuses: Vec<u16> =
        gateways.iter().map(|it| call_new_route(*it, &format!("n{it}"))).collect();
    assert_eq!(statuses, [200; GATEWAY_COUNT]);
}

/// Guards against a failure in which many sidecars listed the runners at the same moment, in a fleet whose
/// runners were not listed yet.
#[test]
fn sidecars_without_a_gateway_spread_their_first_reads_of_the_store() {
    let mut deployment = Deployment::start();
    for number in 0..SIDECAR_COUNT {
        deployment.add_model_runner(&format!("e{number}"), Some(1));
    }
    let standin = deployment.standin.clone();
    wait_until("the first sidecar reads the list", || standin.runner_reads() > 0);
    thread::sleep(OBSERVED_PERIOD);
    assert!(
        standin.runner_reads() < SIDECAR_COUNT,
        "{} of {SIDECAR_COUNT}",
        standin.runner_reads()
    );
    wait_until("all sidecars have read it", || standin.runner_reads() >= SIDECAR_COUNT);
}
