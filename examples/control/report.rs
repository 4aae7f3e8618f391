//! The results of the example.

use serde::Serialize;

/// The results of one run.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Number of daemons.
    pub daemons: usize,
    /// The faults.
    pub faults: String,
    /// Changes that were confirmed to operators as accepted.
    pub accepted: usize,
    /// Changes that could not be planned or were not accepted.
    pub refused: usize,
    /// Changes whose outcome was unknown at first and that were accepted when confirmed again.
    pub unknown_settled: usize,
    /// Median time from the acceptance of a change until a daemon applied it, over daemons and changes.
    pub in_force_p50_s: f64,
    /// The 99th percentile of the same time.
    pub in_force_p99_s: f64,
    /// The maximum of the same time.
    pub in_force_max_s: f64,
    /// Pairs of a change and a daemon that applied neither it nor a later revision.
    pub missed: usize,
    /// Lower revisions that followed higher ones in the log of a daemon.
    pub reverted: usize,
    /// Datagram bytes sent and received, per second and daemon.
    pub bytes_per_s_per_daemon: f64,
    /// Mean processor time of a daemon, in percent of a core.
    pub cpu_percent_per_daemon: f64,
    /// Processor time of the busiest daemon, in percent of a core.
    pub cpu_percent_busiest: f64,
    /// Resident memory of the largest daemon, in megabytes.
    pub rss_mb_per_daemon: f64,
    /// Table writes per second.
    pub table_writes_per_s: f64,
    /// Table reads per second.
    pub table_reads_per_s: f64,
}
