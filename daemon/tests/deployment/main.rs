//! Tests of gateways and sidecars as processes, with a stand-in of the users' platform.

mod broken_runner;
mod configuration_changes;
mod crash_parts;
mod crashes;
mod evacuations;
mod false_entries;
mod floods;
mod foreign_pages;
mod foreign_rows;
mod garbage_proxy;
mod garbage_reports;
mod garbage_streams;
mod garbage_weights;
mod kept_connection;
mod leaving;
mod limits;
mod logs;
mod malformed_answers;
mod narrow_paths;
mod narrow_store_links;
mod orders;
mod outages;
mod raw_runner;
mod refusals;
mod reload;
mod rests;
mod runner_restarts;
mod silences;
mod slow_callers;
mod starts_between_versions;
mod stops;
mod store_rollbacks;
mod support;
mod table_readers;
mod unknown_messages;
mod version_ages;
mod version_record;

use std::time::{Duration, Instant};

use http::Method;
use platform_standin::{Caller, RunnerFault, StoreFault};
use rustix::process::Signal;
use support::{is_whole_stream, stream, wait_until, Deployment, TEST_TIMEOUT};

/// How long a version may take to reach a runner whose gateways are all gone: the subscriptions expire, the
/// sidecar asks the gateways named in the store, and then reads the store.
const MAX_DELAY_WITHOUT_GATEWAYS: Duration = Duration::from_secs(10);

#[test]
fn requests_are_served_without_faults() {
    let mut deployment = Deployment::start();
    deployment.add_model_runner("e1", Some(1));
    deployment.add_model_runner("e2", Some(1));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    for number in 0..10 {
        let id = format!("s{number}");
        let answer = stream(gateway, &id);
        assert!(is_whole_stream(&answer, &id), "{answer:?}");
        assert_eq!(answer.headers["request-id"], id.as_str());
        let runs = deployment.standin.runs(&id);
        assert_eq!(runs.len(), 1);
        assert_eq!(runs[0].tenant.as_deref(), Some("t1"));
        assert!(!runs[0].received_api_key, "the gateway does not forward the key");
    }
    let answer = Caller::new(Method::GET, "/get/x", "g1").call(gateway);
    assert_eq!((answer.status, answer.body.as_str()), (200, "ledger g1"));
    let answer = Caller::new(Method::POST, "/post/x", "p1").call(gateway);
    assert_eq!((answer.status, answer.body.as_str()), (200, "ledger p1"));
}

/// Sidecars learn their number of slots from gateways, so a gateway must not be ready before they know it.
#[test]
fn a_gateway_serves_as_soon_as_it_is_ready() {
    let mut deployment = Deployment::start();
    deployment.add_model_runner("e1", Some(1));
    deployment.add_model_runner("e2", Some(1));
    std::thread::sleep(Duration::from_millis(500));
    let gateway = deployment.add_gateway();
    let until = Instant::now() + TEST_TIMEOUT;
    while !deployment.is_ready(gateway) {
        assert!(Instant::now() < until, "not ready");
    }
    let answer = stream(gateway, "first");
    assert!(is_whole_stream(&answer, "first"), "{answer:?}");
}

#[test]
fn unknown_routes_and_keys_are_refused() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let mut caller = Caller::new(Method::GET, "/nowhere/x", "n1");
    assert_eq!(caller.call(gateway).status, 404);
    caller = Caller::new(Method::GET, "/get/x", "n2");
    caller.key = "wrong".into();
    assert_eq!(caller.call(gateway).status, 401);
    deployment.standin.reconfigure(|it| it["tenants"][0]["apiKeys"] = serde_json::json!(["wrong"]));
    wait_until("the new key is in force", || caller.call(gateway).status == 200);
    let old = Caller::new(Method::GET, "/get/x", "n3").call(gateway);
    assert_eq!(old.status, 401, "the old key is not in force any more");
}

#[test]
fn a_gateway_without_a_configuration_refuses_requests_as_not_run() {
    let mut deployment = Deployment::start();
    deployment.standin.set_store_fault(StoreFault::Busy);
    let gateway = deployment.add_gateway();
    wait_until("the gateway listens", || {
        Caller::new(Method::POST, "/post/x", "u1").call(gateway).status == 503
    });
    assert!(!deployment.is_ready(gateway));
    let answer = Caller::new(Method::POST, "/post/x", "u2").call(gateway);
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    deployment.standin.set_store_fault(StoreFault::None);
    deployment.wait_until_ready(gateway);
    assert_eq!(Caller::new(Method::POST, "/post/x", "u3").call(gateway).status, 200);
}

#[test]
fn a_stream_cut_off_within_an_event_is_resumed_at_another_runner() {
    let mut deployment = Deployment::start();
    let cutting_runner = deployment.add_model_runner("e1", Some(1));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    deployment.standin.change_runner(cutting_runner, |it| it.fault = RunnerFault::CutAfter(5));
    wait_until("a stream reaches the runner that cuts it off", || {
        !stream(gateway, "first").is_complete && !deployment.standin.runs("first").is_empty()
    });
    deployment.add_model_runner("e2", Some(1));
    let (mut resumed, mut number) = (0, 0);
    wait_until("three streams are resumed", || {
        number += 1;
        let id = format!("r{number}");
        let answer = stream(gateway, &id);
        let runs = deployment.standin.runs(&id);
        if runs.len() < 2 {
            return false;
        }
        assert!(is_whole_stream(&answer, &id), "{answer:?} {runs:?}");
        assert_eq!(runs[1].last_event, 5);
        resumed += 1;
        resumed == 3
    });
}

#[test]
fn an_unsafe_request_whose_answer_is_lost_runs_once_and_is_not_refused_as_not_run() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let machine = |it: u8| std::net::SocketAddr::new(machine_address(gateway, it), 8001);
    for runner in [machine(1), machine(2)] {
        deployment.standin.change_runner(runner, |it| it.fault = RunnerFault::AnswerLost);
    }
    let answer = Caller::new(Method::POST, "/post/x", "once").call(gateway);
    assert_eq!(deployment.standin.runs("once").len(), 1);
    assert!(answer.status == 502 || answer.status == 0 || !answer.is_complete, "{answer:?}");
}

/// Returns the address of another machine of the gateway's deployment.
fn machine_address(gateway: std::net::SocketAddr, machine: u8) -> std::net::IpAddr {
    let std::net::IpAddr::V4(address) = gateway.ip() else {
        panic!("the tests use IPv4");
    };
    let [a, b, c, _] = address.octets();
    std::net::Ipv4Addr::new(a, b, c, machine).into()
}

#[test]
fn requests_rejected_by_a_full_runner_run_at_another() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let full = std::net::SocketAddr::new(machine_address(gateway, 1), 8001);
    deployment.standin.change_runner(full, |it| it.fault = RunnerFault::RejectAll);
    for number in 0..10 {
        let id = format!("f{number}");
        assert_eq!(Caller::new(Method::POST, "/post/x", &id).call(gateway).status, 200);
        assert_eq!(deployment.standin.runs(&id).len(), 1);
    }
}

#[test]
fn a_draining_runner_gets_no_requests_after_two_seconds() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let leaving = std::net::SocketAddr::new(machine_address(gateway, 1), 8001);
    deployment.standin.change_runner(leaving, |it| it.is_leaving = true);
    std::thread::sleep(Duration::from_millis(2000));
    for number in 0..20 {
        let id = format!("d{number}");
        assert_eq!(Caller::new(Method::GET, "/get/x", &id).call(gateway).status, 200);
        assert_eq!(deployment.standin.runs(&id)[0].runner, "l2");
    }
}

/// Guards against a failure in which seventy sidecars read the whole configuration over links that callers
/// need.
#[test]
fn sidecars_learn_the_target_version_from_gateways_without_reading_the_configuration() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let read = deployment.standin.configuration_reads();
    deployment.add_model_runner("e1", Some(1));
    let empty = deployment.add_model_runner("e2", None);
    deployment.wait_for_version(empty, 1);
    assert_eq!(deployment.standin.configuration_reads(), read);
}

/// Guards against a failure in which sidecars made a third of all calls to the store, on a site of 173
/// machines.
#[test]
fn sidecars_learn_of_each_other_from_gateways_without_reading_the_list() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let read = deployment.standin.runner_reads();
    let full = deployment.add_model_runner("e1", Some(1));
    let empty = deployment.add_model_runner("e2", None);
    for runner in [full, empty] {
        wait_until("the sidecars know each other", || {
            let metrics = deployment.metrics(runner.ip());
            let known = metrics.lines().find(|it| it.contains("name=\"sidecars_known\""));
            known.is_some_and(|it| it.ends_with(" 1"))
        });
    }
    deployment.standin.announce_version(2);
    for runner in [full, empty] {
        deployment.wait_for_version(runner, 2);
    }
    assert_eq!(deployment.standin.runner_reads(), read);
}

#[test]
fn a_sidecar_without_live_gateways_reads_the_list_and_the_versions_from_the_store() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let full = deployment.add_model_runner("e1", Some(1));
    let empty = deployment.add_model_runner("e2", None);
    deployment.wait_for_version(empty, 1);
    let read = deployment.standin.runner_reads();
    deployment.signal(gateway.ip(), Signal::KILL);
    let killed = Instant::now();
    deployment.standin.announce_version(2);
    for runner in [full, empty] {
        deployment.wait_for_version(runner, 2);
    }
    assert!(killed.elapsed() < MAX_DELAY_WITHOUT_GATEWAYS, "took {:?}", killed.elapsed());
    wait_until("the list is read", || deployment.standin.runner_reads() > read);
}

#[test]
fn a_sidecar_without_gateways_reads_the_configuration() {
    let mut deployment = Deployment::start();
    deployment.add_model_runner("e1", Some(1));
    let empty = deployment.add_model_runner("e2", None);
    deployment.wait_for_version(empty, 1);
}

#[test]
fn an_empty_runner_gets_weights_and_every_runner_gets_a_new_target_version() {
    let mut deployment = Deployment::start();
    let first = deployment.add_model_runner("e1", Some(1));
    let empty = deployment.add_model_runner("e2", None);
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    deployment.wait_for_version(empty, 1);
    deployment.standin.announce_version(2);
    for runner in [first, empty] {
        deployment.wait_for_version(runner, 2);
        let engine = deployment.standin.runner(runner).unwrap();
        assert!(!engine.loaded_mixed_weights, "the weights are complete and of one version");
    }
    // A chunk that is corrupted on the machine of the runner is not used.
    deployment.standin.change_runner(empty, |it| it.corrupt_chunk(7));
    deployment.standin.announce_version(3);
    for runner in [first, empty] {
        deployment.wait_for_version(runner, 3);
        assert!(!deployment.standin.runner(runner).unwrap().loaded_mixed_weights);
    }
    let answer = stream(gateway, "after");
    assert!(is_whole_stream(&answer, "after"), "{answer:?}");
    assert_eq!(deployment.standin.runs("after")[0].version, 3);
}

#[test]
fn a_planned_stop_cuts_off_no_request() {
    let mut deployment = Deployment::start();
    deployment.add_model_runner("e1", Some(1));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    wait_until("streams are served", || is_whole_stream(&stream(gateway, "w"), "w"));
    let callers: Vec<_> = (0..4)
        .map(|number| {
            std::thread::spawn(move || {
                let id = format!("p{number}");
                std::thread::sleep(Duration::from_millis(30 * number));
                (stream(gateway, &id), id)
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(60));
    deployment.signal(gateway.ip(), Signal::TERM);
    wait_until("the gateway reports that it is not ready", || !deployment.is_ready(gateway));
    for caller in callers {
        let (answer, id) = caller.join().unwrap();
        assert!(is_whole_stream(&answer, &id), "{answer:?}");
    }
    let late = Caller::new(Method::GET, "/get/x", "late").call(gateway);
    assert_eq!(late.status, 200, "callers are served that the platform still sends to the gateway");
    assert!(deployment.wait_for_exit(gateway.ip()));
}

/// Guards against a log writer that ended first, so that the last log line of each process was missing. Whether
/// the line is lost depends on the order in which threads run, so on most machines this test also passes with
/// the fault.
#[test]
fn a_planned_stop_does_not_wait_for_callers_that_ask_nothing() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let _silent = std::net::TcpStream::connect(gateway).unwrap();
    let begun = Instant::now();
    deployment.signal(gateway.ip(), Signal::TERM);
    assert!(deployment.wait_for_exit(gateway.ip()));
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
    let log = deployment.log(gateway.ip());
    for line in ["started", "stopping", "stopped"] {
        assert!(log.contains(&format!("\"message\":\"{line}")), "{line} is missing from\n{log}");
    }
}

#[test]
fn a_killed_gateway_serves_soon_after_its_restart() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    deployment.signal(gateway.ip(), Signal::KILL);
    deployment.wait_for_exit(gateway.ip());
    let begun = Instant::now();
    deployment.restart_gateway(gateway);
    deployment.wait_until_ready(gateway);
    assert!(begun.elapsed() < Duration::from_secs(3));
    assert_eq!(Caller::new(Method::GET, "/get/x", "k1").call(gateway).status, 200);
}

#[test]
fn a_runner_is_released_when_its_caller_disconnects() {
    let mut deployment = Deployment::start();
    let runner = deployment.add_model_runner("e1", Some(1));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    wait_until("streams are served", || is_whole_stream(&stream(gateway, "w"), "w"));
    deployment.standin.change_runner(runner, |it| it.fault = RunnerFault::Hang);
    let mut caller = Caller::new(Method::POST, "/s/x", "gone");
    caller.deadline_ms = 300;
    let answer = caller.call(gateway);
    assert!(answer.status >= 500, "{answer:?}");
    wait_until("the runner is free", || {
        deployment.standin.runner(runner).is_some_and(|it| it.running == 0)
    });
}
