//! Rate-limited logging that never blocks the process: a separate thread writes the lines.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use errors::{Code, Error, Result};
use log::{Level, LevelFilter, Record};
use serde_json::json;

use crate::logs::{render, unix_millis};
use crate::token_bucket::{LineKind, TokenBucket};

/// The log target of records whose message already is a line of JSON.
pub const REQUEST_TARGET: &str = "request";
/// Maximum number of lines that wait for the writer thread.
const MAX_QUEUED_LINES: usize = 512;
/// Minimum interval between two log lines that report the number of dropped lines.
const DROPPED_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Number of lines dropped because the rate limit was reached or the queue was full.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// A handle that changes the level and the rate limit of the logs.
pub struct RateLimitedLogs {
    bucket: Arc<Mutex<TokenBucket>>,
}

impl RateLimitedLogs {
    /// Changes the least severe level that is written and the maximum number of lines per second. On an error, neither
    /// is changed.
    pub fn set(&self, level: &str, lines_per_s: u32) -> Result<()> {
        let level = parse_level(level)?;
        let poisoned =
            |_| Error::new(Code::Internal, "the lock of the log rate limiter is poisoned");
        self.bucket.lock().map_err(poisoned)?.set_rate(lines_per_s);
        log::set_max_level(level);
        Ok(())
    }
}

fn parse_level(level: &str) -> Result<LevelFilter> {
    level.parse().map_err(|_| Error::new(Code::BadSettings, "unknown log level"))
}

/// Starts logging for the process: JSON lines on standard output, at most `lines_per_s` per second. If standard output
/// blocks because its reader has stopped, lines are dropped and the process continues.
pub fn start_rate_limited_logs(
    instance: &str,
    level: &str,
    lines_per_s: u32,
) -> Result<RateLimitedLogs> {
    let level = parse_level(level)?;
    let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
    let name = instance.to_owned();
    thread::Builder::new()
        .name("log-writer".into())
        .spawn(move || write_lines(&name, &receiver))
        .map_err(|error| Error::new(Code::Internal, error.to_string()))?;
    let bucket = Arc::new(Mutex::new(TokenBucket::new(Instant::now(), lines_per_s)));
    let logs = RateLimitedLogs { bucket: bucket.clone() };
    let instance = instance.to_owned();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            if record.target() == REQUEST_TARGET {
                out.finish(format_args!("{message}"));
            } else {
                let line = render(&instance, &message.to_string(), record);
                out.finish(format_args!("{line}"));
            }
        })
        .chain(fern::Output::call(move |record| enqueue(record, &sender, &bucket)))
        .apply()
        .map_err(|error| Error::new(Code::Internal, error.to_string()))?;
    log::set_max_level(level);
    Ok(logs)
}

fn enqueue(record: &Record<'_>, sender: &SyncSender<String>, bucket: &Mutex<TokenBucket>) {
    let kind = line_kind(record);
    let allowed = bucket.lock().is_ok_and(|mut it| it.try_take(Instant::now(), kind));
    let enqueued = allowed
        && !matches!(sender.try_send(record.args().to_string()), Err(TrySendError::Full(_)));
    if !enqueued {
        DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
    }
}

/// Classifies a log record by its target and level.
fn line_kind(record: &Record<'_>) -> LineKind {
    match (record.target(), record.level()) {
        (REQUEST_TARGET, Level::Error | Level::Warn) => LineKind::FailedRequest,
        (REQUEST_TARGET, _) => LineKind::Request,
        _ => LineKind::Process,
    }
}

/// Writes all queued lines at once, for as long as the process runs, and reports how many lines were dropped.
fn write_lines(instance: &str, receiver: &Receiver<String>) {
    let mut reported = 0;
    let mut reported_at = Instant::now();
    while let Ok(first) = receiver.recv() {
        let mut text = first + "\n";
        for line in receiver.try_iter() {
            text.push_str(&line);
            text.push('\n');
        }
        let dropped = dropped_lines();
        if dropped > reported && reported_at.elapsed() >= DROPPED_REPORT_INTERVAL {
            reported_at = Instant::now();
            let line = json!({
                "ts_ms": unix_millis(), "level": "WARN", "instance": instance,
                "message": "lines dropped", "lines": dropped - reported,
            });
            text.push_str(&format!("{line}\n"));
            reported = dropped;
        }
        let _ = std::io::stdout().write_all(text.as_bytes());
    }
}
