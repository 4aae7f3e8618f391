//! Selects where a sidecar fetches the manifest of a version.
//!
//! The origin accepts few connections, so only the first few sidecars in rank request it there at once. The
//! others request it from a sidecar that is known to have the manifest, or from one that serves the version
//! and may have it. They fall back to the origin if none of them had it for a while.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fleet::{InstanceId, Millis};
use reducer::shared_hash;

use crate::event::{ManifestSource, Peer};

/// Number of sidecars that request the manifest from the origin at once.
const MAX_ORIGIN_REQUESTERS: u64 = 3;
/// Delay per rank for each of the other sidecars before it falls back to the origin, in milliseconds.
const DELAY_PER_RANK_MS: u64 = 120;
/// The maximum delay, in milliseconds.
const MAX_DELAY_MS: u64 = 5000;
/// Number of requests to sidecars that only serve the version and may have the manifest.
const MAX_GUESSES: u32 = 3;
/// Number of versions whose searches are kept.
const MAX_SEARCHES: usize = 4;

/// The search for the manifest of one version.
#[derive(Clone, Debug)]
struct Search {
    since: Millis,
    guesses: u32,
    /// A sidecar that is known to have the manifest.
    holder: Option<SocketAddr>,
}

/// The searches for manifests, by version.
#[derive(Clone, Debug, Default)]
pub(crate) struct ManifestSearches {
    searches: BTreeMap<u64, Search>,
}

impl ManifestSearches {
    /// Records that a sidecar has the manifest of a version.
    pub(crate) fn note_holder(&mut self, now: Millis, version: u64, holder: SocketAddr) {
        self.search(now, version).holder = Some(holder);
    }

    /// The source to fetch the manifest of a version from now, if any.
    pub(crate) fn source(
        &mut self,
        now: Millis,
        version: u64,
        me: &InstanceId,
        peers: &[Peer],
    ) -> Option<ManifestSource> {
        let search = self.search(now, version);
        // Each known holder is tried once. If it fails, the next summary provides another one.
        if let Some(holder) = search.holder.take() {
            return Some(ManifestSource::Peer(holder));
        }
        let rank = rank(version, me, peers);
        if rank < MAX_ORIGIN_REQUESTERS {
            return Some(ManifestSource::Origin);
        }
        if search.guesses < MAX_GUESSES {
            search.guesses += 1;
            if let Some(peer) = guess(version, me, search.guesses, peers) {
                return Some(ManifestSource::Peer(peer));
            }
        }
        let delay_ms = (rank * DELAY_PER_RANK_MS).min(MAX_DELAY_MS);
        (now.since(search.since).0 >= delay_ms).then_some(ManifestSource::Origin)
    }

    fn search(&mut self, now: Millis, version: u64) -> &mut Search {
        while self.searches.len() >= MAX_SEARCHES && !self.searches.contains_key(&version) {
            self.searches.pop_first();
        }
        let new_search = Search { since: now, guesses: 0, holder: None };
        self.searches.entry(version).or_insert(new_search)
    }
}

/// The number of sidecars that precede this one in rank.
fn rank(version: u64, me: &InstanceId, peers: &[Peer]) -> u64 {
    let position = |id: &InstanceId| shared_hash(&[&version.to_le_bytes(), id.0.as_bytes()]);
    let own = position(me);
    peers.iter().filter(|it| &it.id != me && position(&it.id) < own).count() as u64
}

/// A sidecar whose runner serves the version; a different one for each attempt.
fn guess(version: u64, me: &InstanceId, tries: u32, peers: &[Peer]) -> Option<SocketAddr> {
    let serving = peers.iter().filter(|it| &it.id != me && it.version == Some(version));
    let order =
        |it: &&Peer| shared_hash(&[me.0.as_bytes(), &tries.to_le_bytes(), it.id.0.as_bytes()]);
    serving.min_by_key(order).map(|it| it.address)
}
