//! Reads what daemons cost and what their logs say.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use async_io::block_on;
use http_types::{Method, Request, Url};
use net::{read_body, send, Deadline};
use serde_json::Value;

use crate::daemons::Daemon;

/// How long a page may take.
const PAGE_TIME: Duration = Duration::from_secs(10);
/// The largest page, in bytes.
const PAGE_BYTES: usize = 1 << 20;
/// Ticks of the processor clock in a second, as Linux reports them to programs.
const TICKS_PER_S: f64 = 100.0;
/// Pages of memory, in bytes.
const MEMORY_PAGE: f64 = 4096.0;

/// What one daemon has cost since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Bytes of datagrams sent and received.
    pub control_bytes: f64,
    /// Resident memory, in bytes.
    pub rss_bytes: f64,
}

/// Reads the cost of a daemon.
pub fn cost(daemon: &Daemon) -> eyre::Result<Cost> {
    let process = daemon.child.id();
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The name of the program may hold spaces; the numbers follow its closing bracket.
    let numbers = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = numbers.split_whitespace().map(|it| it.parse().unwrap_or(0.0)).collect();
    let memory = std::fs::read_to_string(format!("/proc/{process}/statm"))?;
    let pages: f64 = memory.split_whitespace().nth(1).unwrap_or("0").parse()?;
    Ok(Cost {
        cpu_s: (fields[11] + fields[12]) / TICKS_PER_S,
        control_bytes: control_bytes(daemon)?,
        rss_bytes: pages * MEMORY_PAGE,
    })
}

fn control_bytes(daemon: &Daemon) -> eyre::Result<f64> {
    let text = page(daemon, "/metrics")?;
    let lines = text.lines().filter(|line| line.starts_with("silverdock_control_bytes_total"));
    let numbers = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    Ok(numbers.sum())
}

/// Whether a daemon says that it is ready.
pub fn is_ready(daemon: &Daemon) -> bool {
    page(daemon, "/readyz").is_ok_and(|text| text.starts_with("ready"))
}

fn page(daemon: &Daemon, path: &str) -> eyre::Result<String> {
    let url = Url::parse(&format!("http://{}{path}", daemon.operators))?;
    let deadline = Deadline::after(PAGE_TIME);
    let answer = block_on(async {
        let response = send(daemon.operators, Request::new(Method::Get, url), deadline).await?;
        read_body(response, PAGE_BYTES, deadline).await
    })?;
    Ok(String::from_utf8_lossy(&answer.body).into_owned())
}

/// When each revision came into force in one run of a daemon, in milliseconds of the Unix epoch,
/// and how often a lower one followed a higher one.
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
