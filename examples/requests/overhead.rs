//! Measures the latency that an entry and an agent add, compared with direct requests to the service.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use lab::{Lab, Outcome};

/// Number of requests sent on each path, alternating so that a slowdown of the machine affects both.
const REQUESTS: usize = 400;
/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Added latency at the median and the 99th percentile.
pub struct Overhead {
    /// Difference of the medians, in microseconds.
    pub p50_us: f64,
    /// Difference of the 99th percentiles, in microseconds.
    pub p99_us: f64,
    /// Median latency through silverdock divided by the median latency of direct requests.
    pub ratio_p50: f64,
}

/// Measures the overhead on a fleet that is otherwise idle.
pub async fn measure(lab: &Lab) -> eyre::Result<Option<Overhead>> {
    let Some(agent) = lab.agents.iter().find(|it| it.service.is_some()) else {
        return Ok(None);
    };
    let direct = agent.upstream_address();
    let entry = lab.entries[0].callers();
    let mut routed_histogram = Histogram::<u64>::new(3)?;
    let mut direct_histogram = Histogram::<u64>::new(3)?;
    for number in 0..REQUESTS {
        for (address, histogram) in
            [(entry, &mut routed_histogram), (direct, &mut direct_histogram)]
        {
            if let Some(micros) = measure_request(address, number).await {
                histogram.record(micros)?;
            }
        }
    }
    let difference = |quantile: f64| {
        let (routed, direct_value) = (
            routed_histogram.value_at_quantile(quantile),
            direct_histogram.value_at_quantile(quantile),
        );
        routed as f64 - direct_value as f64
    };
    let ratio_p50 = routed_histogram.value_at_quantile(0.5) as f64
        / direct_histogram.value_at_quantile(0.5).max(1) as f64;
    Ok(Some(Overhead { p50_us: difference(0.5), p99_us: difference(0.99), ratio_p50 }))
}

async fn measure_request(address: SocketAddr, number: usize) -> Option<u64> {
    let body = format!("{{\"overhead\":{number}}}").into_bytes();
    let start = Instant::now();
    let outcome = lab::post(address, "/till/payslip/1", &[], body, REQUEST_TIMEOUT).await;
    (outcome == Outcome::Complete).then(|| start.elapsed().as_micros() as u64)
}
