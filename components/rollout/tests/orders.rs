//! Orders to runners that still process requests.

mod support;

use fleet::Millis;
use support::*;

/// How long requests at a runner may delay its order, in milliseconds.
const MAX_DRAIN_MS: u64 = 1500;

/// A sidecar whose runner processes `running` requests and is about to be ordered to load version 2.
fn fleet_with_due_order(running: u32) -> Fleet {
    let mut fleet = Fleet::new(1, Some(1), 0);
    fleet.runners[0].running = running;
    fleet.run(3000);
    fleet.announce(2);
    while !fleet.sidecars[0].is_leaving(Millis(fleet.now)) {
        fleet.run(STEP_MS);
    }
    fleet
}

/// Guards against streams that a version ends. The order aborted the last two requests at a runner, one of them had been
/// aborted by another order already, and its caller got half an answer.
#[test]
fn order_does_not_abort_the_last_requests_at_the_runner() {
    for running in [1, 2] {
        let mut fleet = fleet_with_due_order(running);
        fleet.run(MAX_DRAIN_MS - 200);
        assert_eq!(fleet.orders, [], "ordered while {running} requests run");
        fleet.runners[0].running = 0;
        fleet.run(300);
        assert_eq!(fleet.orders.len(), 1, "the runner is idle and gets its order");
    }
}

/// A pending order lets no request start, so the version is in time although requests go on.
#[test]
fn requests_that_run_for_long_do_not_delay_the_order() {
    let mut fleet = fleet_with_due_order(1);
    fleet.run(MAX_DRAIN_MS + 300);
    assert_eq!(fleet.orders.len(), 1);
}

#[test]
fn order_precedes_the_deadline_although_requests_run() {
    let mut fleet = Fleet::new(1, Some(1), 0);
    fleet.runners[0].running = 2;
    fleet.origin_unavailable_until = fleet.now + 3000 + VERSION_MS - 3000;
    fleet.run(3000);
    fleet.announce(2);
    let deadline = fleet.now + VERSION_MS;
    fleet.run(VERSION_MS);
    let [(0, 2, at)] = fleet.orders[..] else {
        panic!("{:?}", fleet.orders);
    };
    assert!(at < deadline, "ordered at {at}, the deadline is {deadline}");
    assert_eq!(fleet.retired, [], "the order for the newer version is enough");
}

/// Guards against callers that are told to come back too early. The runner still completed a request, and its sidecar
/// reported that it serves at once.
#[test]
fn time_until_the_runner_serves_does_not_pass_while_a_request_delays_the_load() {
    let mut fleet = fleet_with_due_order(1);
    fleet.run(MAX_DRAIN_MS + 300);
    assert_eq!(fleet.orders.len(), 1);
    let warm_ms = plan().warm_ms as u32;
    for _ in 0..20 {
        fleet.run(100);
        let serves_in = fleet.sidecars[0].serves_in_ms(Millis(fleet.now));
        assert!(serves_in >= Some(warm_ms), "{serves_in:?} while the request runs");
    }
    fleet.runners[0].running = 0;
    fleet.run(LOAD_MS + 200);
    assert_eq!(fleet.sidecars[0].serves_in_ms(Millis(fleet.now)), Some(0));
}
