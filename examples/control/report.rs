//! What the example found.

use serde::Serialize;

/// The figures of one run.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Daemons that ran.
    pub daemons: usize,
    /// The faults.
    pub faults: String,
    /// Changes that operators were told are accepted.
    pub accepted: usize,
    /// Changes refused with a code that says that nothing was written.
    pub refused: usize,
    /// Changes whose outcome was unknown at first and settled by confirming again.
    pub unknown_settled: usize,
    /// From the acceptance until a daemon had the revision in force, over daemons and changes.
    pub in_force_p50_s: f64,
    /// The same, 99 in 100.
    pub in_force_p99_s: f64,
    /// The longest.
    pub in_force_max_s: f64,
    /// Pairs of a change and a daemon that never had it or a later one in force.
    pub missed: usize,
    /// Lower revisions that followed higher ones in a daemon's log.
    pub reverted: usize,
    /// Bytes of datagrams sent and received, a second and daemon.
    pub bytes_per_s_per_daemon: f64,
    /// Processor time in percent of a core, a daemon.
    pub cpu_percent_per_daemon: f64,
    /// The same of the busiest daemon.
    pub cpu_percent_busiest: f64,
    /// Resident memory of the largest daemon, in megabytes.
    pub rss_mb_per_daemon: f64,
    /// Writes to the table a second.
    pub table_writes_per_s: f64,
    /// Reads of the table a second.
    pub table_reads_per_s: f64,
}
