//! Structured logs and metrics.

mod logs;
mod metrics;

pub use logs::start_logs;
pub use metrics::Metrics;
