//! The verified chunks that a sidecar holds in memory.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use fleet::{Bitmap, Manifest};

/// Versions that are kept: the wanted one and the one before, for sidecars that are late.
const MAX_VERSIONS: usize = 2;

/// The chunks of one version.
struct VersionChunks {
    manifest: Arc<Manifest>,
    chunks: Vec<Option<Bytes>>,
}

/// Chunks by version.
#[derive(Default)]
pub struct ChunkStore {
    versions: BTreeMap<u64, VersionChunks>,
}

impl ChunkStore {
    /// Starts a version and removes versions that are too old. A manifest that is read again replaces the
    /// previous one; chunks that are already verified stay if it has as many.
    pub fn begin_version(&mut self, version: u64, manifest: Arc<Manifest>) {
        let chunks = manifest.chunks();
        match self.versions.get_mut(&version).filter(|it| it.manifest.chunks() == chunks) {
            Some(known) => known.manifest = manifest,
            None => {
                let chunks = vec![None; chunks as usize];
                self.versions.insert(version, VersionChunks { manifest, chunks });
            }
        }
        while self.versions.len() > MAX_VERSIONS {
            self.versions.pop_first();
        }
    }

    /// The manifest of a version.
    pub fn manifest(&self, version: u64) -> Option<Arc<Manifest>> {
        self.versions.get(&version).map(|it| it.manifest.clone())
    }

    /// Stores a chunk if its digest is correct. Returns whether it is.
    pub fn insert(&mut self, version: u64, index: u32, bytes: Bytes) -> bool {
        let Some(version_chunks) = self.versions.get_mut(&version) else {
            return false;
        };
        if !platform::weights::verify(&version_chunks.manifest, index, &bytes) {
            return false;
        }
        if let Some(entry) = version_chunks.chunks.get_mut(index as usize) {
            *entry = Some(bytes);
        }
        true
    }

    /// The chunks of a version that are stored.
    pub fn stored(&self, version: u64) -> Bitmap {
        let Some(version_chunks) = self.versions.get(&version) else {
            return Bitmap::default();
        };
        let mut stored = Bitmap::new(version_chunks.manifest.chunks());
        let indexes = (0..).zip(&version_chunks.chunks).filter(|(_, chunk)| chunk.is_some());
        indexes.for_each(|(index, _)| stored.insert(index));
        stored
    }

    /// A chunk.
    pub fn get(&self, version: u64, index: u32) -> Option<Bytes> {
        self.versions.get(&version)?.chunks.get(index as usize)?.clone()
    }
}
