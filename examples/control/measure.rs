//! Reads the cost of daemons and evaluates their logs.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use async_io::block_on;
use http_types::{Method, Request, Url};
use net::{read_body, send, Deadline};
use serde_json::Value;

use crate::daemons::Daemon;

/// Timeout of an HTTP request for metrics or readiness.
const HTTP_TIMEOUT: Duration = Duration::from_secs(10);
/// Limit of the response body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Clock ticks per second. Linux reports processor time in `/proc/PID/stat` in ticks.
const CLOCK_TICKS_PER_S: f64 = 100.0;
/// Size of a memory page, in bytes.
const MEMORY_PAGE_BYTES: f64 = 4096.0;

/// Resources that a daemon has used since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Datagram bytes sent and received.
    pub control_bytes: f64,
    /// Resident memory, in bytes.
    pub rss_bytes: f64,
}

/// Reads the resource use of a daemon.
pub fn cost(daemon: &Daemon) -> eyre::Result<Cost> {
    let process = daemon.child.id();
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The program name may contain spaces, so the fields are read after its closing parenthesis.
    let numbers = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = numbers.split_whitespace().map(|it| it.parse().unwrap_or(0.0)).collect();
    let memory = std::fs::read_to_string(format!("/proc/{process}/statm"))?;
    let pages: f64 = memory.split_whitespace().nth(1).unwrap_or("0").parse()?;
    Ok(Cost {
        cpu_s: (fields[11] + fields[12]) / CLOCK_TICKS_PER_S,
        control_bytes: control_bytes(daemon)?,
        rss_bytes: pages * MEMORY_PAGE_BYTES,
    })
}

fn control_bytes(daemon: &Daemon) -> eyre::Result<f64> {
    let text = http_get(daemon, "/metrics")?;
    let lines = text.lines().filter(|line| line.starts_with("silverdock_control_bytes_total"));
    let numbers = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    Ok(numbers.sum())
}

/// Whether a daemon reports that it is ready.
pub fn is_ready(daemon: &Daemon) -> bool {
    http_get(daemon, "/readyz").is_ok_and(|text| text.starts_with("ready"))
}

fn http_get(daemon: &Daemon, path: &str) -> eyre::Result<String> {
    let url = Url::parse(&format!("http://{}{path}", daemon.operators))?;
    let deadline = Deadline::after(HTTP_TIMEOUT);
    let answer = block_on(async {
        let response = send(daemon.operators, Request::new(Method::Get, url), deadline).await?;
        read_body(response, MAX_BODY_BYTES, deadline).await
    })?;
    Ok(String::from_utf8_lossy(&answer.body).into_owned())
}

/// Reads the log of one daemon process. Returns when each revision was applied, in milliseconds of the Unix
/// epoch, and how often a lower revision followed a higher one.
pub fn read_log(path: &Path) -> eyre::Result<(BTreeMap<u64, u64>, usize)> {
    let mut applied = BTreeMap::new();
    let mut highest = 0;
    let mut reverted = 0;
    for line in std::fs::read_to_string(path)?.lines() {
        let record: Value = serde_json::from_str(line).unwrap_or(Value::Null);
        let (Some(revision), Some(at)) = (record["revision"].as_u64(), record["ts_ms"].as_u64())
        else {
            continue;
        };
        if record["message"] != "configuration in force" {
            continue;
        }
        reverted += usize::from(revision < highest);
        highest = highest.max(revision);
        applied.entry(revision).or_insert(at);
    }
    Ok((applied, reverted))
}
