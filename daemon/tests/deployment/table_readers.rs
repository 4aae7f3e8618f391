//! Tests of gateways that receive the store's tables from other gateways of their hall, the readers, instead of
//! reading the store.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use http::Method;
use platform_standin::Caller;
use rustix::process::Signal;
use serde_json::json;

use crate::support::{wait_until, Deployment};

/// Number of gateways in the hall, more than its row of readers names.
const GATEWAY_COUNT: usize = 11;
/// Within what time a configuration must be in force, by the settings of the deployment.
const CONFIGURATION_BOUND: Duration = Duration::from_millis(2000);

/// Starts a hall and waits until its gateways are ready and some of them follow readers.
fn start_hall() -> (Deployment, Vec<SocketAddr>) {
    let mut deployment = Deployment::start();
    let gateways: Vec<SocketAddr> = (0..GATEWAY_COUNT).map(|_| deployment.add_gateway()).collect();
    gateways.iter().for_each(|it| deployment.wait_until_ready(*it));
    wait_until("gateways beyond the named ones follow readers", || {
        count_followers(&deployment, &gateways) >= GATEWAY_COUNT - 8
    });
    (deployment, gateways)
}

fn count_followers(deployment: &Deployment, gateways: &[SocketAddr]) -> usize {
    let follows = |it: &&SocketAddr| {
        let metrics = deployment.metrics(it.ip());
        metrics
            .lines()
            .any(|line| line.contains("service=\"reader\"") && line.contains("outcome=\"ok\""))
    };
    gateways.iter().filter(follows).count()
}

/// Returns the gateways that read the store for the others, by the row in the store.
fn readers(deployment: &Deployment) -> Vec<SocketAddr> {
    let (_, row) = deployment.standin.row("silverdock_readers", "a");
    let named = row.expect("there is a row")["named"].as_array().cloned().unwrap_or_default();
    named.iter().take(3).map(|it| it.as_str().unwrap().parse().unwrap()).collect()
}

/// Adds a route, and checks that it is in force at the gateways in time.
fn expect_in_force_in_time(deployment: &Deployment, gateways: &[SocketAddr], name: &str) {
    let path = format!("/{name}/");
    deployment.standin.reconfigure(|it| {
        let mut route = it["routes"][1].clone();
        (route["name"], route["pathPrefix"]) = (json!(name), json!(path));
        it["routes"].as_array_mut().unwrap().push(route);
    });
    let written = Instant::now();
    thread::sleep(CONFIGURATION_BOUND);
    for (number, gateway) in gateways.iter().enumerate() {
        let id = format!("{name}-{number}");
        let answer = Caller::new(Method::GET, &format!("/{name}/x"), &id).call(*gateway);
        assert_eq!(answer.status, 200, "{gateway} after {:?}", written.elapsed());
    }
}

#[test]
fn a_configuration_is_in_force_in_time_though_readers_are_killed_and_paused() {
    let (mut deployment, gateways) = start_hall();
    expect_in_force_in_time(&deployment, &gateways, "calm");

    let paused = readers(&deployment)[0].ip();
    deployment.signal(paused, Signal::STOP);
    let others: Vec<SocketAddr> = gateways.iter().copied().filter(|it| it.ip() != paused).collect();
    expect_in_force_in_time(&deployment, &others, "frozen");

    let killed = readers(&deployment)[1].ip();
    deployment.signal(killed, Signal::KILL);
    deployment.wait_for_exit(killed);
    let others: Vec<SocketAddr> = others.into_iter().filter(|it| it.ip() != killed).collect();
    expect_in_force_in_time(&deployment, &others, "killed");

    deployment.signal(paused, Signal::CONT);
    // By now a follower of the killed reader has taken its place.
    thread::sleep(Duration::from_secs(9));
    expect_in_force_in_time(&deployment, &others, "settled");
}

#[test]
fn followers_learn_of_leaving_runners_and_serve_while_the_store_is_down() {
    let (deployment, gateways) = start_hall();
    let leaving = SocketAddr::new(crate::machine_address(gateways[0], 1), 8001);
    deployment.standin.change_runner(leaving, |it| it.is_leaving = true);
    thread::sleep(CONFIGURATION_BOUND);
    for (number, gateway) in gateways.iter().enumerate() {
        let id = format!("left-{number}");
        let answer = Caller::new(Method::GET, "/get/x", &id).call(*gateway);
        assert_eq!(answer.status, 200);
        assert!(deployment.standin.runs(&id).iter().all(|it| it.runner != "l1"), "{id}");
    }
    deployment.standin.set_store_fault(platform_standin::StoreFault::Busy);
    thread::sleep(Duration::from_secs(4));
    for (number, gateway) in gateways.iter().enumerate() {
        let answer = Caller::new(Method::GET, "/get/x", &format!("down-{number}")).call(*gateway);
        assert_eq!(answer.status, 200, "{gateway}");
    }
}

#[test]
fn readers_do_not_list_again_and_again_for_a_row_without_a_revision() {
    let (deployment, gateways) = start_hall();
    deployment.standin.write_raw_row("op", "odd", r#"{"privateKey":"odd","value":"e30="}"#);
    expect_in_force_in_time(&deployment, &gateways, "odd");
    let listings = deployment.standin.configuration_reads();
    thread::sleep(Duration::from_secs(3));
    assert_eq!(deployment.standin.configuration_reads(), listings);
    expect_in_force_in_time(&deployment, &gateways, "later");
}
