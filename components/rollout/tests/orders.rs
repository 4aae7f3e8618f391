//! Orders to runners that still process requests.

mod support;

use fleet::Millis;
use rollout::*;
use support::*;

/// How long requests at a runner may delay its order, in milliseconds.
const MAX_DRAIN_MS: u64 = 1500;

/// The number of the pinned request in the tests.
const PINNED: u64 = 7;

/// A sidecar whose runner processes `running` requests and serves version 1.
fn serving_fleet(running: u32) -> Fleet {
    let mut fleet = Fleet::new(1, Some(1), 0);
    fleet.runners[0].running = running;
    fleet.run(3000);
    fleet
}

/// A sidecar whose runner processes `running` requests and is about to be ordered to load version 2.
fn fleet_with_due_order(running: u32) -> Fleet {
    let mut fleet = serving_fleet(running);
    announce_until_due(&mut fleet);
    fleet
}

/// The same, and one of the requests is pinned for this time.
fn fleet_with_pinned_request(running: u32, pinned_ms: u64) -> Fleet {
    let mut fleet = serving_fleet(running);
    pin(&mut fleet, PINNED, pinned_ms);
    announce_until_due(&mut fleet);
    fleet
}

fn announce_until_due(fleet: &mut Fleet) {
    fleet.announce(2);
    while !fleet.sidecars[0].is_leaving(Millis(fleet.now)) {
        fleet.run(STEP_MS);
    }
}

/// Requests a reservation for a pinned request.
fn pin(fleet: &mut Fleet, number: u64, pinned_ms: u64) {
    let reservation = ReservationRequest {
        asker: address(100),
        number,
        request: String::new(),
        prompt_tokens: 100,
        rank: 0,
        target_left_ms: 500,
        max_wait_ms: 500,
        pinned_ms: Some(pinned_ms),
    };
    fleet.deliver(0, Event::ReservationRequested(reservation));
}

fn end_pin(fleet: &mut Fleet, number: u64) {
    fleet.deliver(0, Event::PinEnded { asker: address(100), number });
}

/// Guards against streams that a version ends. The order aborted the last two requests at a runner, one of them had been
/// aborted by another order already, and its caller got half an answer.
#[test]
fn order_does_not_abort_a_pinned_request() {
    for running in [1, 2] {
        let mut fleet = fleet_with_pinned_request(running, 60_000);
        fleet.run(MAX_DRAIN_MS - 200);
        assert_eq!(fleet.orders, [], "ordered while {running} requests run");
        fleet.runners[0].running = 0;
        fleet.run(300);
        assert_eq!(fleet.orders.len(), 1, "the runner is idle and gets its order");
        assert_eq!(fleet.aborted, 0);
    }
}

/// A runner that waits for requests that other runners can resume stands idle.
#[test]
fn order_does_not_wait_for_requests_that_can_be_moved() {
    for running in [1, 2] {
        let mut fleet = fleet_with_due_order(running);
        fleet.run(200);
        assert_eq!(fleet.orders.len(), 1, "not ordered while {running} requests run");
        assert_eq!(fleet.aborted, running);
    }
}

#[test]
fn order_does_not_wait_for_a_pinned_request_that_has_ended() {
    let mut fleet = fleet_with_pinned_request(2, 60_000);
    fleet.runners[0].running = 1;
    end_pin(&mut fleet, PINNED);
    fleet.run(300);
    assert_eq!((fleet.orders.len(), fleet.aborted), (1, 1));
}

#[test]
fn order_waits_for_each_pinned_request() {
    let mut fleet = serving_fleet(2);
    pin(&mut fleet, PINNED, 60_000);
    pin(&mut fleet, PINNED + 1, 60_000);
    announce_until_due(&mut fleet);
    end_pin(&mut fleet, PINNED);
    fleet.run(300);
    assert_eq!(fleet.orders, [], "one pinned request has not ended");
    end_pin(&mut fleet, PINNED + 1);
    fleet.run(300);
    assert_eq!(fleet.orders.len(), 1);
}

#[test]
fn order_does_not_abort_a_pinned_request_that_waited_for_its_slot() {
    let mut fleet = serving_fleet(plan().slots);
    pin(&mut fleet, PINNED, 60_000);
    fleet.runners[0].running = 1;
    fleet.run(200);
    announce_until_due(&mut fleet);
    fleet.run(MAX_DRAIN_MS - 200);
    assert_eq!(fleet.orders, []);
}

/// Guards against a slot that is granted to a caller who has left, and holds back the order.
#[test]
fn order_does_not_wait_for_a_pinned_request_that_ended_in_the_queue() {
    let mut fleet = serving_fleet(plan().slots);
    pin(&mut fleet, PINNED, 60_000);
    end_pin(&mut fleet, PINNED);
    fleet.runners[0].running = 2;
    fleet.run(200);
    announce_until_due(&mut fleet);
    fleet.run(200);
    assert_eq!((fleet.orders.len(), fleet.aborted), (1, 2));
}

/// The message that the request has ended may be lost.
#[test]
fn order_does_not_wait_for_a_pinned_request_past_its_time_limit() {
    let mut fleet = serving_fleet(2);
    pin(&mut fleet, PINNED, 500);
    fleet.run(500);
    announce_until_due(&mut fleet);
    fleet.run(200);
    assert_eq!((fleet.orders.len(), fleet.aborted), (1, 2));
}

/// The message that the request has ended may be lost.
#[test]
fn order_does_not_wait_for_a_pinned_request_if_the_runner_has_been_idle() {
    let mut fleet = serving_fleet(1);
    pin(&mut fleet, PINNED, 60_000);
    fleet.run(1000);
    fleet.runners[0].running = 0;
    fleet.run(200);
    fleet.runners[0].running = 2;
    fleet.run(200);
    announce_until_due(&mut fleet);
    fleet.run(200);
    assert_eq!((fleet.orders.len(), fleet.aborted), (1, 2));
}

/// A granted request may arrive at the runner after a report that the runner is idle.
#[test]
fn order_does_not_abort_a_pinned_request_that_arrives_late() {
    let mut fleet = serving_fleet(0);
    pin(&mut fleet, PINNED, 60_000);
    fleet.run(200);
    fleet.runners[0].running = 1;
    announce_until_due(&mut fleet);
    fleet.run(MAX_DRAIN_MS - 400);
    assert_eq!(fleet.orders, []);
    assert_eq!(fleet.aborted, 0);
}

/// A pending order lets no request start, so the version is in time although requests go on.
#[test]
fn requests_that_run_for_long_do_not_delay_the_order() {
    let mut fleet = fleet_with_pinned_request(1, 60_000);
    fleet.run(MAX_DRAIN_MS + 300);
    assert_eq!((fleet.orders.len(), fleet.aborted), (1, 0));
}

#[test]
fn order_precedes_the_deadline_although_requests_run() {
    let mut fleet = Fleet::new(1, Some(1), 0);
    fleet.runners[0].running = 2;
    fleet.origin_unavailable_until = fleet.now + 3000 + VERSION_MS - 3000;
    fleet.run(3000);
    pin(&mut fleet, PINNED, 60_000);
    fleet.announce(2);
    let deadline = fleet.now + VERSION_MS;
    fleet.run(VERSION_MS);
    let [(0, 2, at)] = fleet.orders[..] else {
        panic!("{:?}", fleet.orders);
    };
    assert!(at < deadline, "ordered at {at}, the deadline is {deadline}");
    assert_eq!(fleet.retired, [], "the order for the newer version is enough");
    assert_eq!(fleet.aborted, 0);
}

/// Guards against callers that are told to come back too early. The runner still completed a request, and its sidecar
/// reported that it serves at once.
#[test]
fn time_until_the_runner_serves_does_not_pass_while_a_request_delays_the_load() {
    let mut fleet = fleet_with_pinned_request(1, 60_000);
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
