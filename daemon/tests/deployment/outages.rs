//! Gateways after the store was away: calls that it took and never answers.
//!
//! Found on the users' days (docs/incidents/obwwa-flood-config.md): a gateway refused a request by a
//! configuration that had been replaced 3.1 s before. Its feed had been lost, and it waited for it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use platform_standin::{Caller, StoreFault};
use serde_json::json;

use crate::neighbour;
use crate::support::{wait_until, Deployment};

/// How long after an outage of the store its changes are in force again, as the platform's bounds say.
const CONTACT: Duration = Duration::from_millis(3000);

/// Silences the store until it has taken so many calls for a table, and gives when it spoke again. The last
/// of these calls was sent in its last moment and is lost.
fn silence(deployment: &Deployment, table: &str, calls: u64) -> Instant {
    let before = deployment.standin.unanswered_calls(table);
    deployment.standin.set_store_fault(StoreFault::Silent);
    wait_until("the silent store has taken the calls", || {
        deployment.standin.unanswered_calls(table) >= before + calls
    });
    deployment.standin.set_store_fault(StoreFault::None);
    Instant::now()
}

/// Adds a route after an outage and gives what a caller of it gets as soon as it must be in force.
fn status_of_a_new_route_after(calls: u64) -> u16 {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let back = silence(&deployment, "op", calls);
    deployment.standin.reconfigure(|it| {
        let mut route = it["routes"][1].clone();
        route["name"] = json!("new");
        route["pathPrefix"] = json!("/new/");
        it["routes"].as_array_mut().unwrap().push(route);
    });
    std::thread::sleep(CONTACT.saturating_sub(back.elapsed()));
    Caller::new(Method::GET, "/new/x", "n1").call(gateway).status
}

#[test]
fn a_configuration_is_in_force_in_time_though_a_feed_was_lost() {
    assert_eq!(status_of_a_new_route_after(1), 200);
}

#[test]
fn a_configuration_is_in_force_in_time_though_every_call_of_an_outage_was_lost() {
    assert_eq!(status_of_a_new_route_after(3), 200);
}

#[test]
fn a_runner_that_left_gets_nothing_in_time_though_a_feed_was_lost() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let back = silence(&deployment, "servers", 1);
    let leaving = SocketAddr::new(neighbour(gateway, 1), 8001);
    deployment.standin.change_runner(leaving, |it| it.draining = true);
    std::thread::sleep(CONTACT.saturating_sub(back.elapsed()));
    for number in 0..20 {
        let id = format!("d{number}");
        assert_eq!(Caller::new(Method::GET, "/get/x", &id).call(gateway).status, 200);
        assert_eq!(deployment.standin.runs(&id)[0].runner, "l2");
    }
}
