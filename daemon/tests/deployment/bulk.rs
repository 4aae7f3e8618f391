//! Gateways behind a narrow link to the store while much of the list of runners changes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use http::Method;
use platform_standin::{Caller, Standin};
use serde_json::{json, Value};

use crate::support::{wait_until, Deployment};

/// How long after its acknowledgement a configuration is in force.
const CONFIGURATION: Duration = Duration::from_millis(2000);
/// How many gateways share the link.
const GATEWAYS: usize = 6;
/// The link's bytes per second: the changes of all runners, once for each gateway, take it more than a second.
const LINK_BYTES_PER_S: u64 = 500_000;
/// How many runners change all the time, and how often.
const CHANGING: usize = 250;
const CHANGE_EVERY: Duration = Duration::from_millis(250);
/// How long the list changes before anything is asked of the gateways.
const WARM_UP: Duration = Duration::from_secs(8);

/// How many sidecars start without a gateway. All of them ask the store within the same part of the time over which they
/// spread one time in some ten thousand.
const SIDECARS: u64 = 10;
/// A part of that time.
const INSTANT: Duration = Duration::from_millis(500);

/// Entries of runners that change until this is dropped.
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
                let rows = (0..CHANGING).map(|it| (format!("c{it}"), entry(it, sequence)));
                standin.write_rows("servers", rows.collect());
                thread::sleep(CHANGE_EVERY);
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

/// The entry of a runner of a service that nobody calls.
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

fn status_of_the_new_route(gateway: SocketAddr, id: &str) -> u16 {
    Caller::new(Method::GET, "/new/x", id).call(gateway).status
}

/// Feeds of the runners once filled the links between regions, so that the answers to feeds of the operators' table came
/// later than those are waited for, again and again.
#[test]
fn a_configuration_is_in_force_in_time_while_the_list_of_runners_fills_the_link() {
    let mut deployment = Deployment::start();
    let gateways: Vec<SocketAddr> = (0..GATEWAYS).map(|_| deployment.add_gateway()).collect();
    for gateway in &gateways {
        deployment.wait_until_ready(*gateway);
    }
    deployment.standin.set_store_rate(LINK_BYTES_PER_S);
    let _churn = Churn::start(&deployment.standin);
    thread::sleep(WARM_UP);
    add_route(&deployment.standin);
    let acknowledged = Instant::now();
    thread::sleep(CONFIGURATION.saturating_sub(acknowledged.elapsed()));
    let statuses: Vec<u16> =
        gateways.iter().map(|it| status_of_the_new_route(*it, &format!("n{it}"))).collect();
    assert_eq!(statuses, [200; GATEWAYS]);
}

/// Many sidecars once listed the runners in the same instant, in a fleet whose runners were not listed yet.
#[test]
fn sidecars_without_a_gateway_do_not_read_the_store_all_at_once() {
    let mut deployment = Deployment::start();
    for number in 0..SIDECARS {
        deployment.add_model_runner(&format!("e{number}"), Some(1));
    }
    let standin = deployment.standin.clone();
    wait_until("the first sidecar reads the list", || standin.runner_reads() > 0);
    thread::sleep(INSTANT);
    assert!(standin.runner_reads() < SIDECARS, "{} of {SIDECARS}", standin.runner_reads());
    wait_until("all sidecars have read it", || standin.runner_reads() >= SIDECARS);
}
