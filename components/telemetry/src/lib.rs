//! Structured logs and metrics.

mod bounded;
mod crashes;
mod logs;
mod metrics;
mod token_bucket;

pub use bounded::{dropped_lines, start_bounded_logs, BoundedLogs, REQUEST_TARGET};
pub use crashes::{note_crash, note_crash_change};
pub use logs::{start_logs, unix_millis};
pub use metrics::{Metrics, Span};
