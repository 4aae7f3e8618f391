//! Logs as JSON lines on standard error.

use std::time::{SystemTime, UNIX_EPOCH};

use errors::{Code, Error, Result};
use log::kv::{self, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, Value};

/// Starts logging for the process: one JSON object per line on standard error.
pub fn start_logs(instance: &str, level: &str) -> Result<()> {
    let level: LevelFilter =
        level.parse().map_err(|_| Error::new(Code::BadSettings, "unknown log level"))?;
    let instance = instance.to_owned();
    fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            out.finish(format_args!("{}", render(&instance, &message.to_string(), record)))
        })
        .chain(std::io::stderr())
        .apply()
        .map_err(|error| Error::new(Code::Internal, error.to_string()))
}

/// Renders a log line with time, level, instance, module and message, followed by the key-value pairs of the record.
pub(crate) fn render(instance: &str, message: &str, record: &Record<'_>) -> Value {
    let mut line = Map::new();
    line.insert("ts_ms".into(), unix_millis().into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("instance".into(), instance.into());
    line.insert("module".into(), record.target().into());
    line.insert("message".into(), message.into());
    let _ = record.key_values().visit(&mut FieldCopier(&mut line));
    Value::Object(line)
}

/// Returns the Unix time, in milliseconds.
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

/// Copies the key-value pairs of a record into the line.
struct FieldCopier<'a>(&'a mut Map<String, Value>);

impl<'kvs> VisitSource<'kvs> for FieldCopier<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let value = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
