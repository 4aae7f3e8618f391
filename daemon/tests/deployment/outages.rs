//! Tests of gateways during and after outages of the store, and with a slow store.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use account::Decision;
use http::Method;
use platform_standin::{Caller, StoreFault};
use serde_json::{json, Value};

use crate::machine_address;
use crate::support::{unix_millis, wait_until, Deployment};

/// Within what time after an outage of the store its changes must be in force, by the platform's bounds.
const CONTACT_BOUND: Duration = Duration::from_millis(3000);

/// Within what time after the answer that the history is lost its table is read, in milliseconds.
const MAX_READ_DELAY_MS: u64 = 300;
/// How often a play is repeated in which the delayed answer came too late for the gateway.
const MAX_PLAYS: usize = 5;
/// How many requests are refused by the confirmed configuration.
const EARLY_REFUSALS: usize = 5;
/// The largest error of a time in a log line that was computed from two rounded ones, in milliseconds.
const ROUNDING_MS: u64 = 1;
/// How long an answer of the store confirms a configuration: the wait of a feed, the pause before it, and a
/// margin.
const CONFIRMATION_PERIOD: Duration = Duration::from_millis(2500);

/// Silences the store until it has accepted `calls` calls for a table, all of which stay without an answer. The
/// last one arrives shortly before the end of the silence. Returns the time at which the store answers again.
fn silence_store(deployment: &Deployment, table: &str, calls: u64) -> Instant {
    let before = deployment.standin.unanswered_calls(table);
    deployment.standin.set_store_fault(StoreFault::NoResponse);
    wait_until("the silent store has accepted the calls", || {
        deployment.standin.unanswered_calls(table) >= before + calls
    });
    deployment.standin.set_store_fault(StoreFault::None);
    Instant::now()
}

/// Adds a route whose paths start with its name.
fn add_route(deployment: &Deployment, name: &str) {
    deployment.standin.reconfigure(|it| {
        let mut route = it["routes"][1].clone();
        route["name"] = json!(name);
        route["pathPrefix"] = json!(format!("/{name}/"));
        it["routes"].as_array_mut().unwrap().push(route);
    });
}

/// Adds a route after an outage and returns the status of a call to it at the time at which it must be in
/// force.
fn status_of_a_new_route_after(calls: u64) -> u16 {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let available_at = silence_store(&deployment, "op", calls);
    add_route(&deployment, "new");
    std::thread::sleep(CONTACT_BOUND.saturating_sub(available_at.elapsed()));
    Caller::new(Method::GET, "/new/x", "n1").call(gateway).status
}

/// Guards against a failure in which a gateway waited for a lost feed and refused a request by a configuration
/// that had been replaced 3.1 s before.
#[test]
fn a_configuration_is_in_force_in_time_though_a_feed_was_lost() {
    assert_eq!(status_of_a_new_route_after(1), 200);
}

#[test]
fn a_configuration_is_in_force_in_time_though_every_call_of_an_outage_was_lost() {
    assert_eq!(status_of_a_new_route_after(3), 200);
}

#[test]
fn a_runner_that_left_gets_no_requests_in_time_though_a_feed_was_lost() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let available_at = silence_store(&deployment, "servers", 1);
    let leaving = SocketAddr::new(machine_address(gateway, 1), 8001);
    deployment.standin.change_runner(leaving, |it| it.is_leaving = true);
    std::thread::sleep(CONTACT_BOUND.saturating_sub(available_at.elapsed()));
    for number in 0..20 {
        let id = format!("d{number}");
        assert_eq!(Caller::new(Method::GET, "/get/x", &id).call(gateway).status, 200);
        assert_eq!(deployment.standin.runs(&id)[0].runner, "l2");
    }
}

/// A gateway without contact to the store cannot know that a route or key does not exist. Callers treat 404 and
/// 401 as final, although another gateway may know of the route or key.
#[test]
fn a_gateway_without_store_contact_refuses_unknown_routes_and_keys_as_retryable() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let no_route = Caller::new(Method::GET, "/nowhere/x", "r1");
    let mut no_key = Caller::new(Method::GET, "/get/x", "k1");
    no_key.key = "new".into();
    assert_eq!((no_route.call(gateway).status, no_key.call(gateway).status), (404, 401));
    deployment.standin.set_store_fault(StoreFault::NoResponse);
    wait_until("the gateway notices the outage", || no_route.call(gateway).status == 503);
    for caller in [&no_route, &no_key] {
        let answer = caller.call(gateway);
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
    }
    let known = Caller::new(Method::GET, "/get/x", "g1").call(gateway);
    assert_eq!(known.status, 200, "requests that the configuration allows are still served");
    deployment.standin.set_store_fault(StoreFault::None);
    wait_until("the gateway has contact to the store again", || {
        no_route.call(gateway).status == 404
    });
    assert_eq!(no_key.call(gateway).status, 401);
}

#[test]
fn tables_are_read_again_after_the_store_lost_its_history() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    deployment.standin.set_store_fault(StoreFault::NoResponse);
    deployment.standin.reconfigure(|it| it["routes"][1]["pathPrefix"] = serde_json::json!("/new/"));
    deployment.standin.discard_history();
    deployment.standin.set_store_fault(StoreFault::None);
    wait_until("the new route is in force", || {
        Caller::new(Method::GET, "/new/x", "h1").call(gateway).status == 200
    });
    assert_eq!(Caller::new(Method::GET, "/get/x", "h2").call(gateway).status, 404);
}

/// Returns the times of the log lines on calls for a table that match, in milliseconds.
fn log_times(log: &str, table: &str, matches: impl Fn(&Value) -> bool) -> Vec<u64> {
    let lines = log.lines().filter_map(|it| serde_json::from_str::<Value>(it).ok());
    let lines = lines.filter(|it| it["table"] == table && matches(it));
    lines.filter_map(|it| it["ts_ms"].as_u64()).collect()
}

/// Guards against a failure in which requests were handled by a configuration that had been replaced.
///
/// The store came back from an outage without its history. The first answered call said so, and the gateway
/// counted it as one more failed call in a row: it paused for up to 1.2 s before it read the table. Together
/// with the lost call and the pause before it, a gateway could be without contact for longer than the contact
/// bound.
#[test]
fn a_table_whose_history_is_lost_is_read_immediately_after_a_long_outage() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    deployment.standin.set_store_fault(StoreFault::Busy);
    let is_failed_call = |it: &Value| it["message"] == "store not heard";
    for table in ["Operator", "Runners"] {
        wait_until("many calls in a row have failed", || {
            log_times(&deployment.log(gateway.ip()), table, is_failed_call).len() >= 6
        });
    }
    deployment.standin.reconfigure(|it| it["routes"][1]["pathPrefix"] = json!("/new/"));
    deployment.standin.discard_history();
    deployment.standin.set_store_fault(StoreFault::None);
    wait_until("both tables are read", || {
        let log = deployment.log(gateway.ip());
        let reads = |table| log_times(&log, table, |it| it["call"] == "list").len();
        reads("Operator") >= 2 && reads("Runners") >= 2
    });
    let log = deployment.log(gateway.ip());
    for table in ["Operator", "Runners"] {
        let is_gone = |it: &Value| it["reason"].as_str().is_some_and(|it| it.contains("history"));
        let gone_at = *log_times(&log, table, is_gone).last().expect("an answer that says so");
        let read_at = *log_times(&log, table, |it| it["call"] == "list").last().unwrap();
        assert!(read_at - gone_at <= MAX_READ_DELAY_MS, "{table}: after {} ms", read_at - gone_at);
    }
    assert_eq!(Caller::new(Method::GET, "/new/x", "n1").call(gateway).status, 200);
}

/// When a configuration was replaced.
struct Replacement {
    at: Instant,
    unix_ms: u64,
}

/// Delays the answers of the store, replaces the configuration right after an answer was made, and loses all
/// later calls. Returns once the gateway has the answer; `None` if it had given up on that call before.
fn replace_after_a_delayed_answer(
    deployment: &Deployment,
    gateway: SocketAddr,
    route: &str,
) -> Option<Replacement> {
    let outcomes = || {
        let log = deployment.log(gateway.ip());
        let lines = log.lines().filter_map(|it| serde_json::from_str::<Value>(it).ok());
        let is_outcome = |it: &Value| it["table"] == "Operator" && it["call"] == "feed";
        lines.filter(is_outcome).collect::<Vec<Value>>()
    };
    deployment.standin.set_store_fault(StoreFault::DelayedResponses);
    let late_answers = || deployment.standin.late_answers("op");
    // The call of the first one may have been sent before answers were delayed.
    let before = late_answers();
    wait_until("an answer has been made", || late_answers() > before + 1);
    deployment.standin.set_store_fault(StoreFault::NoResponse);
    add_route(deployment, route);
    let replacement = Replacement { at: Instant::now(), unix_ms: unix_millis() };
    let earlier_calls = outcomes().len();
    wait_until("the call has ended", || outcomes().len() > earlier_calls);
    let outcome = &outcomes()[earlier_calls];
    if outcome["message"] == "store answered" {
        assert_eq!(outcome["rows"], 0, "the answer was made before the configuration was replaced");
        return Some(replacement);
    }
    let reason = outcome["reason"].as_str().unwrap_or_default();
    assert!(reason.contains("no answer in time"), "{outcome}");
    None
}

/// Up to which time a gateway knew its configuration when it refused a request by it, in Unix time.
fn known_until_ms(deployment: &Deployment, request: &str) -> u64 {
    let account = deployment.account(request);
    let known_until = account.lines.iter().find_map(|line| match line.decision {
        Decision::Unrouted { age_ms, .. } => Some(line.ts_ms - age_ms?),
        _ => None,
    });
    known_until.expect("a line states the age of the configuration")
}

/// Guards against a failure in which a gateway refused a request with 404 by a configuration that had been
/// replaced.
///
/// The store made an answer without changes and delivered it late. A new configuration was acknowledged right
/// after the answer was made, and the next call was lost. The gateway took the arrival of the answer for the
/// time up to which it knew all changes, and so refused requests as final for longer, by the delay of the
/// answer.
#[test]
fn an_answer_confirms_a_configuration_up_to_the_time_it_was_made() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let played = (0..MAX_PLAYS).find_map(|play| {
        let route = format!("new{play}");
        let replaced = replace_after_a_delayed_answer(&deployment, gateway, &route);
        if replaced.is_none() {
            deployment.standin.set_store_fault(StoreFault::None);
            wait_until("the gateway has the configuration", || {
                Caller::new(Method::GET, &format!("/{route}/x"), "again").call(gateway).status
                    == 200
            });
        }
        Some((replaced?, format!("/{route}/x")))
    });
    let (replaced, path) = played.expect("a delayed answer reaches the gateway in time");
    let known_until = (0..EARLY_REFUSALS).map(|number| {
        let id = format!("early{number}");
        let status = Caller::new(Method::GET, &path, &id).call(gateway).status;
        assert_eq!(status, 404, "the gateway cannot know yet");
        known_until_ms(&deployment, &id)
    });
    // A process that pauses between the two readings of a line states a time that is too late.
    let known_until = known_until.min().unwrap();
    assert!(
        known_until <= replaced.unix_ms + ROUNDING_MS,
        "confirmed for {} ms after it was replaced",
        known_until - replaced.unix_ms
    );
    std::thread::sleep(CONFIRMATION_PERIOD.saturating_sub(replaced.at.elapsed()));
    assert_eq!(Caller::new(Method::GET, &path, "late").call(gateway).status, 503);
}

/// Entries of runners expire while the runners cannot reach the store, and live runners write theirs again soon
/// after it is back.
#[test]
fn runners_whose_entries_expired_in_an_outage_still_serve() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    let machines = [1, 2].map(|it| SocketAddr::new(machine_address(gateway, it), 8001));
    deployment.standin.set_store_fault(StoreFault::Busy);
    // The gateway's feed ends within five seconds, and then the gateway knows of the outage.
    std::thread::sleep(Duration::from_millis(6000));
    machines.iter().for_each(|it| deployment.standin.remove_runner_from_list(*it));
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
        assert_eq!(
            deployment.standin.runs(&id)[0].runner,
            "l1",
            "the other runner did not come back"
        );
    }
}

/// Guards against a failure in which a gateway kept a runner that had left while the gateway was disconnected,
/// and sent it a request 2.9 s later.
#[test]
fn a_single_runner_that_left_during_an_outage_is_gone_at_once() {
    let mut deployment = Deployment::start();
    let gateway = deployment.add_gateway();
    let machine = |it: u8| SocketAddr::new(machine_address(gateway, it), 8001);
    deployment
        .standin
        .add_runner(machine(3), platform_standin::RunnerStandin::plain("l3", "ledger", "a"));
    deployment.wait_until_ready(gateway);
    wait_until("the gateway knows all three", || {
        deployment.log(gateway.ip()).contains(r#""runner":"l3""#)
    });
    deployment.standin.set_store_fault(StoreFault::Busy);
    std::thread::sleep(Duration::from_millis(6000));
    deployment.standin.remove_runner_from_list(machine(1));
    deployment.standin.set_store_fault(StoreFault::None);
    // The pause after a failed call is at most 1.4 s.
    std::thread::sleep(Duration::from_millis(1700));
    for number in 0..20 {
        let id = format!("g{number}");
        assert_eq!(Caller::new(Method::GET, "/get/x", &id).call(gateway).status, 200);
        assert_ne!(deployment.standin.runs(&id)[0].runner, "l1");
    }
}

/// Guards against a failure in which the transfer of a configuration of 1,489 routes took longer than the
/// timeout of a listing and was repeated from the start, so that restarted gateways were not ready forty
/// seconds later.
#[test]
fn a_configuration_that_arrives_slowly_is_read_completely() {
    let mut deployment = Deployment::start();
    deployment.standin.set_store_fault(StoreFault::SlowTransfer);
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    assert_eq!(Caller::new(Method::GET, "/get/x", "slow").call(gateway).status, 200);
}
