//! An upstream that turns requests away and asks for rest.
//!
//! Upstreams of the users' platform got up to 37 requests a second each within the rest that they had asked for. The same
//! fault stood here: an agent hands its upstream's 503 on and sends the next request at once, whatever `Retry-After` says.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::block_on;
use fleet::ServiceName;
use lab::{Ending, Lab, LabOptions};
use settings::Kind;

/// How long anything may take before a test is given up as hung.
const HANG: Duration = Duration::from_secs(60);
/// How long the upstream wants to be left alone.
const REST: Duration = Duration::from_millis(1500);
/// How long after its answer requests may still be on their way.
const TRANSIT: Duration = Duration::from_millis(500);
/// How many requests may reach it in one such time.
const MOST_DURING_REST: usize = 2;
/// How long it sheds.
const SPAN: Duration = Duration::from_millis(4000);
/// Callers at a time, so that both upstreams are used.
const CALLERS: u32 = 6;
/// The pause between two calls.
const PAUSE: Duration = Duration::from_millis(5);

fn start() -> Lab {
    let executor = Arc::new(Executor::new());
    Lab::run_threads(&executor);
    let kind = Kind {
        name: "till".into(),
        path: "/till/".into(),
        service: Some(ServiceName("ledger".into())),
        repeatable: true,
        priority: 5,
        max_wait_ms: 1000,
    };
    let options = LabOptions {
        engines: 0,
        services: vec![("ledger".into(), 2)],
        kinds: vec![kind],
        ..LabOptions::default()
    };
    let lab = block_on(Lab::start(&executor, options)).unwrap();
    block_on(lab.wait_ready(HANG)).unwrap();
    lab
}

#[test]
fn an_upstream_that_asks_for_rest_is_left_alone_by_its_agent() {
    let lab = start();
    let shedding = lab.agents[0].service.clone().expect("a plain service");
    let call = |number: u32| {
        let entry = lab.entries[number as usize % lab.entries.len()].callers();
        block_on(lab::post(entry, "/till/x", &[], number.to_le_bytes().to_vec(), HANG))
    };
    shedding.set_shedding(Some(REST));
    let begun = Instant::now();
    let number = AtomicU32::new(0);
    let call_on = || {
        while begun.elapsed() < SPAN {
            call(number.fetch_add(1, Ordering::Relaxed));
            std::thread::sleep(PAUSE);
        }
    };
    std::thread::scope(|scope| (0..CALLERS).for_each(|_| drop(scope.spawn(call_on))));
    let all = shedding.turned_away();
    assert!(!all.is_empty(), "it was asked");
    let during =
        |at: Instant| all.iter().filter(|it| (at + TRANSIT..at + REST).contains(it)).count();
    let most = all.iter().map(|at| during(*at)).max().unwrap_or(0);
    assert!(most <= MOST_DURING_REST, "{most} requests reached it within {REST:?} of rest");
    shedding.set_shedding(None);
    std::thread::sleep(REST);
    let before = shedding.runs().len();
    std::thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                for _ in 0..20 {
                    assert_eq!(call(number.fetch_add(1, Ordering::Relaxed)), Ending::Whole);
                }
            });
        }
    });
    assert!(shedding.runs().len() > before, "it serves again");
}
