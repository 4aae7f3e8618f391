//! The verified chunks that a sidecar holds in memory.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use fleet::{Bitmap, Manifest};

/// Versions that are kept: the wanted one and the one before, for sidecars that are late.
const KEPT_VERSIONS: usize = 2;

/// The chunks of one version.
struct Version {
    manifest: Arc<Manifest>,
    chunks: Vec<Option<Bytes>>,
}

/// Chunks by version.
#[derive(Default)]
pub struct Chunks {
    versions: BTreeMap<u64, Version>,
}

impl Chunks {
    /// Starts a version and removes versions that are too old. A manifest that is read again replaces the
    /// previous one; chunks that are already verified stay.
    pub fn begin(&mut self, version: u64, manifest: Arc<Manifest>) {
        let chunks = vec![None; manifest.chunks() as usize];
        let known = self
            .versions
            .entry(version)
            .or_insert_with(|| Version { manifest: manifest.clone(), chunks });
        if known.manifest.chunks() == manifest.chunks() {
            known.manifest = manifest;
        }
        while self.versions.len() > KEPT_VERSIONS {
            self.versions.pop_first();
        }
    }

    /// The manifest of a version.
    pub fn manifest(&self, version: u64) -> Option<Arc<Manifest>> {
        self.versions.get(&version).map(|it| it.manifest.clone())
    }

    /// Stores a chunk if its digest is correct. Returns whether it is.
    pub fn insert(&mut self, version: u64, index: u32, bytes: Bytes) -> bool {
        let Some(kept) = self.versions.get_mut(&version) else {
            return false;
        };
        if !platform::weights::verify(&kept.manifest, index, &bytes) {
            return false;
        }
        if let Some(place) = kept.chunks.get_mut(index as usize) {
            *place = Some(bytes);
        }
        true
    }

    /// The chunks of a version that are stored.
    pub fn held(&self, version: u64) -> Bitmap {
        let Some(kept) = self.versions.get(&version) else {
            return Bitmap::default();
        };
        let mut held = Bitmap::new(kept.manifest.chunks());
        let indexes = (0..).zip(&kept.chunks).filter(|(_, chunk)| chunk.is_some());
        indexes.for_each(|(index, _)| held.insert(index));
        held
    }

    /// A chunk.
    pub fn get(&self, version: u64, index: u32) -> Option<Bytes> {
        self.versions.get(&version)?.chunks.get(index as usize)?.clone()
    }
}
