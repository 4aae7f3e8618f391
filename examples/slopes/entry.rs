//! Entry: the time of the decisions for one request and of a tick, by the number of upstreams.

use fleet::{Incarnation, Instance, Millis, Process, RequestId, ServiceName};
use quarantine::SubjectDigest;
use reducer::{
    Arrival, AttemptId, ControlEvent, Entry, EntryEvent, EntryOptions, Estimate, RoutingStrategy,
    Target,
};
use wire::Load;

use crate::control::{instance, record};
use crate::table::{micros, print_header, print_row};

/// Numbers of upstreams of the target.
const UPSTREAM_COUNTS: [usize; 4] = [12, 100, 300, 600];

fn entry(upstreams: usize) -> Entry {
    let estimate = Estimate { origin_bytes_per_s: 1.0, link_bytes_per_s: 1.0, copies: 1 };
    let options = EntryOptions {
        queue_limit: 256,
        retry_share: 0.1,
        control_bytes_per_s: 3000,
        estimate,
        choice: RoutingStrategy::Weighted,
    };
    let mut entry = Entry::new(record(&instance(0, Process::Entry)), options);
    let process = Process::Service(ServiceName("till".into()));
    let list: Vec<Instance> = (1..=upstreams).map(|n| instance(n, process.clone())).collect();
    entry.reduce(Millis(0), 1, EntryEvent::Control(ControlEvent::TableRead(None)));
    entry.reduce(Millis(0), 1, EntryEvent::Control(ControlEvent::Listed(list)));
    entry
}

/// Measures and prints the table.
pub fn measure() {
    print_header("entry", &["upstreams", "request us", "tick us"]);
    for size in UPSTREAM_COUNTS {
        let mut entry = entry(size);
        let request = micros(2000, |n| {
            let request = RequestId { entry: Incarnation(1), serial: u64::from(n) };
            let arrival = Arrival {
                request,
                subjects: SubjectDigest(u64::from(n)).into(),
                target: Target::Service("till".into()),
                workspace: "w".into(),
                prefix: u64::from(n),
                deadline: Millis(1_000_000),
                max_wait_ms: 250,
                repeatable: true,
                priority: 1,
                key: None,
            };
            entry.reduce(Millis(10), 1, EntryEvent::Arrived(Box::new(arrival)));
            let attempt = AttemptId { request, number: 1 };
            let load = Load { running: 1, limit: 16, uploads: 0 };
            entry.reduce(Millis(10), 1, EntryEvent::AttemptCompleted { attempt, load });
        });
        let tick = micros(2000, |n| {
            entry.reduce(Millis(20 + u64::from(n) * 50), 1, EntryEvent::Tick);
        });
        print_row(&[size as f64, request, tick]);
    }
}
