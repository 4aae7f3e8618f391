//! What an entry and an agent add to a request, against the same client talking to the service.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use lab::{Ending, Lab};

/// Requests sent each way, in turns, so that a machine that slows down slows both.
const REQUESTS: usize = 400;
/// How long a request may take.
const PATIENCE: Duration = Duration::from_secs(5);

/// Microseconds at 50 and 99 in 100, through silverdock and around it.
pub struct Overhead {
    /// Added at 50 in 100.
    pub p50_us: f64,
    /// Added at 99 in 100.
    pub p99_us: f64,
    /// The time through silverdock over the time around it, at 50 in 100.
    pub ratio_p50: f64,
}

/// Measures on a fleet that is otherwise idle.
pub async fn measure(lab: &Lab) -> eyre::Result<Option<Overhead>> {
    let Some(agent) = lab.agents.iter().find(|it| it.service.is_some()) else {
        return Ok(None);
    };
    let direct = agent.upstream_address();
    let entry = lab.entries[0].callers();
    let mut through = Histogram::<u64>::new(3)?;
    let mut around = Histogram::<u64>::new(3)?;
    for number in 0..REQUESTS {
        for (address, spans) in [(entry, &mut through), (direct, &mut around)] {
            if let Some(micros) = time(address, number).await {
                spans.record(micros)?;
            }
        }
    }
    let at = |quantile: f64| {
        let (a, b) = (through.value_at_quantile(quantile), around.value_at_quantile(quantile));
        a as f64 - b as f64
    };
    let ratio_p50 =
        through.value_at_quantile(0.5) as f64 / around.value_at_quantile(0.5).max(1) as f64;
    Ok(Some(Overhead { p50_us: at(0.5), p99_us: at(0.99), ratio_p50 }))
}

async fn time(address: SocketAddr, number: usize) -> Option<u64> {
    let body = format!("{{\"overhead\":{number}}}").into_bytes();
    let start = Instant::now();
    let ending = lab::post(address, "/till/payslip/1", &[], body, PATIENCE).await;
    (ending == Ending::Whole).then(|| start.elapsed().as_micros() as u64)
}
