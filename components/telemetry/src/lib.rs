//! Structured logs and metrics.

mod crashes;
mod logs;
mod metrics;
mod rate_limited;
mod token_bucket;

pub use crashes::{record_crash, record_crash_change};
pub use logs::{start_logs, unix_millis};
pub use metrics::{MeasuredDuration, Metrics};
pub use rate_limited::{dropped_lines, start_rate_limited_logs, RateLimitedLogs, REQUEST_TARGET};
