//! Where a sidecar asks for the manifest of a version.
//!
//! The origin takes few connections, so only the first few in rank ask it at once. The others ask a
//! sidecar that is known to have the manifest, or one that serves the version and may have it, and turn
//! to the origin when nobody had it for a while.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fleet::{InstanceId, Millis};
use reducer::shared_hash;

use crate::event::{ManifestSource, Peer};

/// How many sidecars ask the origin at once.
const FIRST_ASKERS: u64 = 3;
/// How long each of the others waits for the one before it in rank, in milliseconds.
const RANK_PATIENCE: u64 = 120;
/// The longest such wait, in milliseconds.
const MAX_PATIENCE: u64 = 5000;
/// How often a sidecar that merely serves the version is asked.
const MAX_GUESSES: u32 = 3;
/// Versions that are remembered.
const KEPT_VERSIONS: usize = 4;

/// The search for the manifest of one version.
#[derive(Clone, Debug)]
struct Search {
    since: Millis,
    guesses: u32,
    /// A sidecar that has the manifest.
    holder: Option<SocketAddr>,
}

/// The search for manifests, by version.
#[derive(Clone, Debug, Default)]
pub(crate) struct Manifests {
    searches: BTreeMap<u64, Search>,
}

impl Manifests {
    /// Notes that a sidecar has the manifest of a version.
    pub(crate) fn note_holder(&mut self, now: Millis, version: u64, holder: SocketAddr) {
        self.search(now, version).holder = Some(holder);
    }

    /// Where to ask for the manifest of a version now, if anywhere.
    pub(crate) fn source(
        &mut self,
        now: Millis,
        version: u64,
        me: &InstanceId,
        peers: &[Peer],
    ) -> Option<ManifestSource> {
        let search = self.search(now, version);
        // A holder is asked once: if it fails, the next summary names another one.
        if let Some(holder) = search.holder.take() {
            return Some(ManifestSource::Peer(holder));
        }
        let rank = rank(version, me, peers);
        if rank < FIRST_ASKERS {
            return Some(ManifestSource::Origin);
        }
        if search.guesses < MAX_GUESSES {
            search.guesses += 1;
            if let Some(peer) = guess(version, me, search.guesses, peers) {
                return Some(ManifestSource::Peer(peer));
            }
        }
        let patience = (rank * RANK_PATIENCE).min(MAX_PATIENCE);
        (now.since(search.since).0 >= patience).then_some(ManifestSource::Origin)
    }

    fn search(&mut self, now: Millis, version: u64) -> &mut Search {
        while self.searches.len() >= KEPT_VERSIONS && !self.searches.contains_key(&version) {
            self.searches.pop_first();
        }
        let fresh = Search { since: now, guesses: 0, holder: None };
        self.searches.entry(version).or_insert(fresh)
    }
}

/// How many sidecars come before this one.
fn rank(version: u64, me: &InstanceId, peers: &[Peer]) -> u64 {
    let place = |id: &InstanceId| shared_hash(&[&version.to_le_bytes(), id.0.as_bytes()]);
    let mine = place(me);
    peers.iter().filter(|it| &it.id != me && place(&it.id) < mine).count() as u64
}

/// A sidecar whose runner serves the version, another one with each try.
fn guess(version: u64, me: &InstanceId, tries: u32, peers: &[Peer]) -> Option<SocketAddr> {
    let serving = peers.iter().filter(|it| &it.id != me && it.version == Some(version));
    let toss =
        |it: &&Peer| shared_hash(&[me.0.as_bytes(), &tries.to_le_bytes(), it.id.0.as_bytes()]);
    serving.min_by_key(toss).map(|it| it.address)
}
