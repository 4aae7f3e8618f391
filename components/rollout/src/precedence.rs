//! Decides which of two successive versions is completed first.
//!
//! It applies when a second version is announced while the origin is still sending the first. The origin's
//! link carries one of them at a time, and each has a deadline after which runners without it may not start
//! requests. The order with the shorter idle time of the runners is selected.

use fleet::Millis;

/// Minimum gain in idle time for the fleet to switch to the other order, in milliseconds. Sidecars learn of
/// each other's chunks up to half a second late, and sidecars that switch at different times fetch both
/// versions at once.
const MIN_GAIN_MS: u64 = 250;

/// Time from the last chunk that leaves the origin until half of the runners serve the version, in
/// milliseconds. It includes the distribution of the chunk, draining and orders.
const DISTRIBUTION_DELAY_MS: u64 = 2000;

/// The remaining work for a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RemainingWork {
    /// The time from which runners without the version may not start requests.
    pub(crate) deadline: Millis,
    /// Time the origin's link still needs for the version, in milliseconds.
    pub(crate) origin_ms: u64,
}

/// Idle time of the runners if the older version is completed first, in milliseconds.
fn idle_with_older(now: Millis, older: RemainingWork, newer: RemainingWork) -> u64 {
    let older_complete_at = now.plus(older.origin_ms + DISTRIBUTION_DELAY_MS);
    let newer_complete_at = older_complete_at.plus(newer.origin_ms);
    let idle_for_older = older_complete_at.since(older.deadline.max(now)).0;
    // After the deadline of the newer version, the older one is useless.
    let idle_for_newer = newer_complete_at.since(newer.deadline.max(older_complete_at)).0;
    idle_for_older + idle_for_newer
}

/// Idle time of the runners if the older version is abandoned, in milliseconds.
fn idle_without_older(now: Millis, older: RemainingWork, newer: RemainingWork) -> u64 {
    now.plus(newer.origin_ms + DISTRIBUTION_DELAY_MS).since(older.deadline.max(now)).0
}

/// Returns whether the older version is abandoned for the newer one, judged by the idle time of the runners.
pub(crate) fn abandons_older(now: Millis, older: RemainingWork, newer: RemainingWork) -> bool {
    let idle_with_older_ms = idle_with_older(now, older, newer);
    idle_with_older_ms > idle_without_older(now, older, newer) + MIN_GAIN_MS
}

/// Returns whether the older version is completed although a newer one was just announced. If both orders are
/// equally good, it is completed if most of it has left the origin: the origin may become unavailable at any
/// time, and then only the version that is nearly complete can be served.
pub(crate) fn completes_older(now: Millis, older: RemainingWork, newer: RemainingWork) -> bool {
    !abandons_older(now, older, newer) && 2 * older.origin_ms <= newer.origin_ms
}

#[cfg(test)]
mod tests;
