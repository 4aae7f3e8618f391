//! Logs that never hold a process up: bounded in number, written by a thread of their own.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use errors::{Code, Error, Result};
use log::{Level, LevelFilter, Record};
use serde_json::json;

use crate::allowance::{Allowance, LineKind};
use crate::logs::{render, unix_millis};

/// The target of lines that are JSON already.
pub const REQUEST_TARGET: &str = "request";
/// Lines that wait for the writer.
const QUEUE: usize = 512;
/// How often the log says how many lines were dropped.
const TELL_DROPPED_EVERY: Duration = Duration::from_secs(1);

/// How many lines were dropped, for want of allowance or of a reader.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// The logs of the process, to change how much they say.
pub struct BoundedLogs {
    allowance: Arc<Mutex<Allowance>>,
}

impl BoundedLogs {
    /// Changes the lowest level that is written and the most lines a second: both, or neither on an error.
    pub fn set(&self, level: &str, lines_per_s: u32) -> Result<()> {
        let level = read_level(level)?;
        let poisoned = |_| Error::new(Code::Internal, "the allowance of lines is lost");
        self.allowance.lock().map_err(poisoned)?.set(lines_per_s);
        log::set_max_level(level);
        Ok(())
    }
}

fn read_level(level: &str) -> Result<LevelFilter> {
    level.parse().map_err(|_| Error::new(Code::BadSettings, "unknown log level"))
}

/// Starts logging for the process: JSON lines on standard output, at most `lines_per_s` a second. A
/// reader that stops reading costs lines and nothing else.
pub fn start_bounded_logs(instance: &str, level: &str, lines_per_s: u32) -> Result<BoundedLogs> {
    let level = read_level(level)?;
    let (sender, receiver) = sync_channel(QUEUE);
    let name = instance.to_owned();
    thread::Builder::new()
        .name("log-writer".into())
        .spawn(move || write(&name, &receiver))
        .map_err(|error| Error::new(Code::Internal, error.to_string()))?;
    let allowance = Arc::new(Mutex::new(Allowance::new(Instant::now(), lines_per_s)));
    let logs = BoundedLogs { allowance: allowance.clone() };
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
        .chain(fern::Output::call(move |record| pass_on(record, &sender, &allowance)))
        .apply()
        .map_err(|error| Error::new(Code::Internal, error.to_string()))?;
    log::set_max_level(level);
    Ok(logs)
}

fn pass_on(record: &Record<'_>, sender: &SyncSender<String>, allowance: &Mutex<Allowance>) {
    let kind = kind(record);
    let allowed = allowance.lock().is_ok_and(|mut it| it.take(Instant::now(), kind));
    let sent = allowed
        && !matches!(sender.try_send(record.args().to_string()), Err(TrySendError::Full(_)));
    if !sent {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// What a line tells of.
fn kind(record: &Record<'_>) -> LineKind {
    match (record.target(), record.level()) {
        (REQUEST_TARGET, Level::Error | Level::Warn) => LineKind::FailedRequest,
        (REQUEST_TARGET, _) => LineKind::Request,
        _ => LineKind::Process,
    }
}

/// Writes lines for as long as the process runs, as many at once as wait, and says what was dropped.
fn write(instance: &str, receiver: &Receiver<String>) {
    let mut told = 0;
    let mut told_at = Instant::now();
    while let Ok(first) = receiver.recv() {
        let mut text = first + "\n";
        for line in receiver.try_iter() {
            text.push_str(&line);
            text.push('\n');
        }
        let dropped = dropped_lines();
        if dropped > told && told_at.elapsed() >= TELL_DROPPED_EVERY {
            told_at = Instant::now();
            let line = json!({
                "ts_ms": unix_millis(), "level": "WARN", "instance": instance,
                "message": "lines dropped", "lines": dropped - told,
            });
            text.push_str(&format!("{line}\n"));
            told = dropped;
        }
        let _ = std::io::stdout().write_all(text.as_bytes());
    }
}
