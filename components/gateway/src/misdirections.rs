//! Remembers which list entries are wrong: their address rejected a request as meant for another runner.
//!
//! A corrected entry is used at once. An entry that another writer puts back again and again is used ever more rarely,
//! until a runner serves under it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fleet::{InstanceId, Millis};

/// The shortest time without requests after the second rejection in a row, in milliseconds.
const MIN_PAUSE_MS: u64 = 2000;
/// Maximum number of doublings of that time.
const MAX_DOUBLINGS: u32 = 8;
/// How long a rejection is remembered after the time without requests, in milliseconds: longer than an entry needs to
/// be listed and tried again.
const MEMORY_MS: u64 = 120_000;

/// The rejections at one address for one runner since it last served.
#[derive(Clone, Copy, Debug, Default)]
struct Rejections {
    count: u32,
    /// Until when the entry is not used.
    until: Millis,
}

/// The rejections of all entries, by runner and address. They outlive the entries.
#[derive(Clone, Debug, Default)]
pub(crate) struct Misdirections {
    by_entry: BTreeMap<(InstanceId, SocketAddr), Rejections>,
}

impl Misdirections {
    /// Records that a request for a runner was rejected at this address. Returns until when the entry is not used.
    pub(crate) fn note(&mut self, now: Millis, id: &InstanceId, address: SocketAddr) -> Millis {
        self.by_entry.retain(|_, it| now.since(it.until).0 <= MEMORY_MS);
        let rejections = self.by_entry.entry((id.clone(), address)).or_default();
        // Requests that were sent together are rejected together.
        if now >= rejections.until {
            rejections.until = now.plus(pause_ms(rejections.count));
            rejections.count += 1;
        }
        rejections.until
    }

    /// Records that the runner served at this address.
    pub(crate) fn forget(&mut self, id: &InstanceId, address: SocketAddr) {
        if !self.by_entry.is_empty() {
            self.by_entry.remove(&(id.clone(), address));
        }
    }

    /// Until when an entry is not used.
    pub(crate) fn until(&self, id: &InstanceId, address: SocketAddr) -> Millis {
        self.by_entry.get(&(id.clone(), address)).map_or(Millis(0), |it| it.until)
    }
}

/// The time without requests after a rejection that `earlier` ones preceded.
fn pause_ms(earlier: u32) -> u64 {
    match earlier.checked_sub(1) {
        Some(doublings) => MIN_PAUSE_MS << doublings.min(MAX_DOUBLINGS),
        None => 0,
    }
}
