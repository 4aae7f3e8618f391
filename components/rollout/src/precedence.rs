//! Which of two versions that were named in a row is finished first.
//!
//! It answers the load of a fleet whose second version is named while the first one still leaves the origin.
//! The origin's link carries one of them at a time, and each has a bound behind which runners that lack it may
//! start nothing. The order is the one that leaves runners idle for the shorter time.

use fleet::Millis;

/// How much less time an order must cost for the fleet to leave the other one, in milliseconds. Sidecars see
/// each other's chunks up to half a second late, and those that change their minds at different moments draw
/// both versions at once.
const CLEAR_GAIN: u64 = 250;

/// How long it takes from the last chunk that leaves the origin until half of the runners serve, in
/// milliseconds: until the chunk is everywhere, and for drains and orders.
const SPREAD_DELAY: u64 = 2000;

/// How far a version has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Remainder {
    /// From when on runners that lack it may start nothing.
    pub(crate) bound: Millis,
    /// How long the origin's link still takes for it, in milliseconds.
    pub(crate) origin_ms: u64,
}

/// For how long runners start nothing if the older version is finished first, in milliseconds.
fn idle_with_older(now: Millis, older: Remainder, newer: Remainder) -> u64 {
    let older_whole = now.plus(older.origin_ms + SPREAD_DELAY);
    let newer_whole = older_whole.plus(newer.origin_ms);
    let for_older = older_whole.since(older.bound.max(now)).0;
    // Once the newer one's bound has passed, the older one is of no use.
    let for_newer = newer_whole.since(newer.bound.max(older_whole)).0;
    for_older + for_newer
}

/// For how long runners start nothing if the older version is left, in milliseconds.
fn idle_without_older(now: Millis, older: Remainder, newer: Remainder) -> u64 {
    now.plus(newer.origin_ms + SPREAD_DELAY).since(older.bound.max(now)).0
}

/// Whether the older version is left for the newer one, by how long runners would start nothing.
pub(crate) fn leaves_older(now: Millis, older: Remainder, newer: Remainder) -> bool {
    let with = idle_with_older(now, older, newer);
    with > idle_without_older(now, older, newer) + CLEAR_GAIN
}

/// Whether the older version is finished although a newer one has just been named. Where both orders are as
/// good, it is if most of it has left the origin: that may go out at any moment, and then the version that is
/// nearly whole is the only one that can be served.
pub(crate) fn finishes_older(now: Millis, older: Remainder, newer: Remainder) -> bool {
    !leaves_older(now, older, newer) && 2 * older.origin_ms <= newer.origin_ms
}

#[cfg(test)]
mod tests;
