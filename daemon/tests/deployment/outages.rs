//! Gateways while the store is away or slow, and after it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use platform_standin::{Caller, StoreFault};
use serde_json::{json, Value};

use crate::neighbour;
use crate::support::{wait_until, Deployment};

/// How long after an outage of the store its changes are in force again, as the platform's bounds say.
const CONTACT: Duration = Duration::from_millis(3000);

/// How soon behind the answer that a history is gone its table is read, in milliseconds.
const READ_AT_ONCE_MS: u64 = 300;
/// When an answer has arrived that the store delivers late.
const DELIVERED: Duration = Duration::from_millis(1000);
/// How long an answer of the store confirms a configuration: the wait of a feed, the pause before it, and a margin.
const CONFIRMED: Duration = Duration::from_millis(2500);

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

/// Found on the users' days (docs/incidents/obwwa-flood-config.md): a gateway refused a request by a
/// configuration that had been replaced 3.1 s before. Its feed had been lost, and it waited for it.
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

/// A gateway that does not hear the store cannot know that there is no such route or key. Callers take 404
/// and 401 for final; another gateway may know better.
#[test]
fn what_an_unconfirmed_configuration_does_not_allow_is_not_refused_for_good() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let no_route = Caller::new(Method::GET, "/nowhere/x", "r1");
    let mut no_key = Caller::new(Method::GET, "/get/x", "k1");
    no_key.key = "new".into();
    assert_eq!((no_route.call(gateway).status, no_key.call(gateway).status), (404, 401));
    deployment.standin.set_store_fault(StoreFault::Silent);
    wait_until("the gateway misses the store", || no_route.call(gateway).status == 503);
    for caller in [&no_route, &no_key] {
        let answer = caller.call(gateway);
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
    }
    let known = Caller::new(Method::GET, "/get/x", "g1").call(gateway);
    assert_eq!(known.status, 200, "what the configuration allows is served all the same");
    deployment.standin.set_store_fault(StoreFault::None);
    wait_until("the store is heard again", || no_route.call(gateway).status == 404);
    assert_eq!(no_key.call(gateway).status, 401);
}

#[test]
fn a_store_that_forgot_its_history_is_read_anew() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    deployment.standin.set_store_fault(StoreFault::Silent);
    deployment.standin.reconfigure(|it| it["routes"][1]["pathPrefix"] = serde_json::json!("/new/"));
    deployment.standin.forget_history();
    deployment.standin.set_store_fault(StoreFault::None);
    wait_until("the new route holds", || {
        Caller::new(Method::GET, "/new/x", "h1").call(gateway).status == 200
    });
    assert_eq!(Caller::new(Method::GET, "/get/x", "h2").call(gateway).status, 404);
}

/// When lines of a log on calls for a table tell this, in milliseconds.
fn told_at(log: &str, table: &str, is_it: impl Fn(&Value) -> bool) -> Vec<u64> {
    let lines = log.lines().filter_map(|it| serde_json::from_str::<Value>(it).ok());
    let lines = lines.filter(|it| it["table"] == table && is_it(it));
    lines.filter_map(|it| it["ts_ms"].as_u64()).collect()
}

/// Callers were handled by a configuration that had been replaced (docs/incidents/mizani-tips-config.md).
///
/// The store was away, and had forgotten its history when it was back. The first call that it answered was told so. That
/// counted as one more call in a row that failed, so the gateway paused for up to 1.2 s and read the table only then. With
/// the lost call and the pause before it a gateway could be deaf for longer than the contact time.
#[test]
fn a_table_whose_history_is_gone_is_read_at_once_however_long_the_store_was_away() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    deployment.standin.set_store_fault(StoreFault::Busy);
    let is_unheard = |it: &Value| it["message"] == "store not heard";
    for table in ["Operator", "Runners"] {
        wait_until("many calls in a row have failed", || {
            told_at(&deployment.log(gateway.ip()), table, is_unheard).len() >= 6
        });
    }
    deployment.standin.reconfigure(|it| it["routes"][1]["pathPrefix"] = json!("/new/"));
    deployment.standin.forget_history();
    deployment.standin.set_store_fault(StoreFault::None);
    wait_until("both tables are read", || {
        let log = deployment.log(gateway.ip());
        let reads = |table| told_at(&log, table, |it| it["call"] == "list").len();
        reads("Operator") >= 2 && reads("Runners") >= 2
    });
    let log = deployment.log(gateway.ip());
    for table in ["Operator", "Runners"] {
        let is_gone = |it: &Value| it["reason"].as_str().is_some_and(|it| it.contains("history"));
        let gone_at = *told_at(&log, table, is_gone).last().expect("an answer that says so");
        let read_at = *told_at(&log, table, |it| it["call"] == "list").last().unwrap();
        assert!(read_at - gone_at <= READ_AT_ONCE_MS, "{table}: after {} ms", read_at - gone_at);
    }
    assert_eq!(Caller::new(Method::GET, "/new/x", "n1").call(gateway).status, 200);
}

/// A gateway refused a request with 404 by a configuration that had been replaced
/// (docs/incidents/mizani-tips-config.md).
///
/// The store made an answer without news and delivered it late; right after it had been made a new configuration was
/// acknowledged, and the next call was lost. The gateway took the moment at which the answer arrived for the moment up to
/// which it knew everything, and refused for good for as much longer as the answer had been late.
#[test]
fn an_answer_confirms_a_configuration_from_when_it_was_made() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    deployment.standin.set_store_fault(StoreFault::Late);
    let made = || deployment.standin.late_answers("op");
    // The first one may have been asked for before answers were late.
    let before = made();
    wait_until("an answer has been made", || made() > before + 1);
    deployment.standin.set_store_fault(StoreFault::Silent);
    deployment.standin.reconfigure(|it| {
        let mut route = it["routes"][1].clone();
        route["name"] = json!("new");
        route["pathPrefix"] = json!("/new/");
        it["routes"].as_array_mut().unwrap().push(route);
    });
    let replaced = Instant::now();
    let caller = Caller::new(Method::GET, "/new/x", "n1");
    std::thread::sleep(DELIVERED.saturating_sub(replaced.elapsed()));
    assert_eq!(caller.call(gateway).status, 404, "the gateway cannot know yet");
    std::thread::sleep(CONFIRMED.saturating_sub(replaced.elapsed()));
    assert_eq!(caller.call(gateway).status, 503);
}

/// Entries of runners lapse while they cannot reach the store, and those of the living are back soon after
/// it is.
#[test]
fn runners_whose_entries_lapsed_in_an_outage_serve_on() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let machines = [1, 2].map(|it| SocketAddr::new(neighbour(gateway, it), 8001));
    deployment.standin.set_store_fault(StoreFault::Busy);
    // The gateway's feed ends within five seconds, and then it knows.
    std::thread::sleep(Duration::from_millis(6000));
    machines.iter().for_each(|it| deployment.standin.unlist_runner(*it));
    deployment.standin.set_store_fault(StoreFault::None);
    for number in 0..15 {
        let id = format!("l{number}");
        assert_eq!(Caller::new(Method::GET, "/get/x", &id).call(gateway).status, 200, "{number}");
        std::thread::sleep(Duration::from_millis(100));
    }
    deployment.standin.change_runner(machines[0], |_| {});
    std::thread::sleep(Duration::from_millis(2500));
    for number in 0..10 {
        let id = format!("m{number}");
        assert_eq!(Caller::new(Method::GET, "/get/x", &id).call(gateway).status, 200);
        assert_eq!(deployment.standin.runs(&id)[0].runner, "l1", "the other one is gone for good");
    }
}

/// Found by a hunt on obwwa-flood (trouble-1 under seed 851966277042): a gateway that had been cut off kept
/// a runner that had left meanwhile, and sent it a request 2.9 s later.
#[test]
fn a_single_runner_that_left_during_an_outage_is_gone_at_once() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    let machine = |it: u8| SocketAddr::new(neighbour(gateway, it), 8001);
    deployment.standin.add_runner(machine(3), platform_standin::Engine::plain("l3", "ledger", "a"));
    deployment.wait_until_ready(gateway);
    wait_until("the gateway knows all three", || {
        deployment.log(gateway.ip()).contains(r#""runner":"l3""#)
    });
    deployment.standin.set_store_fault(StoreFault::Busy);
    std::thread::sleep(Duration::from_millis(6000));
    deployment.standin.unlist_runner(machine(1));
    deployment.standin.set_store_fault(StoreFault::None);
    // The pause after a failed call is at most 1.4 s.
    std::thread::sleep(Duration::from_millis(1700));
    for number in 0..20 {
        let id = format!("g{number}");
        assert_eq!(Caller::new(Method::GET, "/get/x", &id).call(gateway).status, 200);
        assert_ne!(deployment.standin.runs(&id)[0].runner, "l1");
    }
}

/// Found on a grown site: a configuration of 1,489 routes took longer than a listing might, was given up
/// on and asked for again, and gateways that had started were not ready forty seconds later.
#[test]
fn a_configuration_that_arrives_slowly_is_read_all_the_same() {
    let mut deployment = Deployment::start();
    deployment.standin.set_store_fault(StoreFault::Narrow);
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    assert_eq!(Caller::new(Method::GET, "/get/x", "slow").call(gateway).status, 200);
}
