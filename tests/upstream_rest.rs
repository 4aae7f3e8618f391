//! Test of an upstream that rejects requests with 503 and `Retry-After`.
//!
//! The failure: an agent forwarded the 503 of its upstream and sent the next request at once, ignoring
//! `Retry-After`. Upstreams received up to 37 requests a second each during the backoff that they had asked
//! for.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::block_on;
use fleet::ServiceName;
use lab::{Lab, LabOptions, Outcome};
use settings::RequestKind;

/// Timeout of any single wait; a test that exceeds it fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Rest period that the upstream asks for in `Retry-After`.
const BACKOFF: Duration = Duration::from_millis(1500);
/// How long after a rejection requests may still be in transit and are not counted.
const TRANSIT: Duration = Duration::from_millis(500);
/// Maximum number of requests that may reach the upstream in one backoff.
const MAX_DURING_BACKOFF: usize = 2;
/// How long the upstream rejects requests.
const SHEDDING_PERIOD: Duration = Duration::from_millis(4000);
/// Number of concurrent callers, enough to use both upstreams.
const CALLER_COUNT: u32 = 6;
/// Pause of a caller between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(5);

fn start() -> Lab {
    let executor = Arc::new(Executor::new());
    Lab::run_threads(&executor);
    let kind = RequestKind {
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
    block_on(lab.wait_ready(TEST_TIMEOUT)).unwrap();
    lab
}

#[test]
fn an_agent_sends_no_requests_during_the_rest_period_that_its_upstream_asks_for() {
    let lab = start();
    let shedding = lab.agents[0].service.clone().expect("a plain service");
    let call = |number: u32| {
        let entry = lab.entries[number as usize % lab.entries.len()].callers();
        block_on(lab::post(entry, "/till/x", &[], number.to_le_bytes().to_vec(), TEST_TIMEOUT))
    };
    shedding.set_shedding(Some(BACKOFF));
    let begun = Instant::now();
    let number = AtomicU32::new(0);
    let call_repeatedly = || {
        while begun.elapsed() < SHEDDING_PERIOD {
            call(number.fetch_add(1, Ordering::Relaxed));
            std::thread::sleep(CALL_PAUSE);
        }
    };
    std::thread::scope(|scope| (0..CALLER_COUNT).for_each(|_| drop(scope.spawn(call_repeatedly))));
    let rejected = shedding.rejected_at();
    assert!(!rejected.is_empty(), "it was asked");
    let count_during_rest = |at: Instant| {
        rejected.iter().filter(|it| (at + TRANSIT..at + BACKOFF).contains(it)).count()
    };
    let max_requests = rejected.iter().map(|at| count_during_rest(*at)).max().unwrap_or(0);
    assert!(
        max_requests <= MAX_DURING_BACKOFF,
        "{max_requests} requests reached it within {BACKOFF:?} of rest"
    );
    shedding.set_shedding(None);
    std::thread::sleep(BACKOFF);
    let before = shedding.runs().len();
    std::thread::scope(|scope| {
        for _ in 0..CALLER_COUNT {
            scope.spawn(|| {
                for _ in 0..20 {
                    assert_eq!(call(number.fetch_add(1, Ordering::Relaxed)), Outcome::Complete);
                }
            });
        }
    });
    assert!(shedding.runs().len() > before, "it serves again");
}
