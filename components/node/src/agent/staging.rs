//! Keeps verified chunks in memory, as instances have no disk.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use fleet::{Manifest, VersionId};

/// The chunks of one version.
struct StagedVersion {
    manifest: Arc<Manifest>,
    chunks: Vec<Option<Arc<Vec<u8>>>>,
}

/// The result of adding a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PutResult {
    /// The chunk is stored.
    Staged,
    /// The digest of the chunk differs from the manifest.
    Corrupt,
    /// The version is not staged, or no longer.
    UnknownVersion,
}

/// The chunks that this agent holds. Only verified chunks are stored.
#[derive(Clone, Default)]
pub(crate) struct Staging(Arc<Mutex<HashMap<VersionId, StagedVersion>>>);

impl Staging {
    /// Adds a version without chunks. Does nothing if the version is staged already.
    pub(crate) fn add_version(&self, manifest: &Arc<Manifest>) {
        let mut versions = self.0.lock().expect("the lock is never poisoned");
        versions.entry(manifest.version()).or_insert_with(|| StagedVersion {
            manifest: manifest.clone(),
            chunks: vec![None; manifest.chunks() as usize],
        });
    }

    /// The manifest of a staged version.
    pub(crate) fn manifest(&self, version: VersionId) -> Option<Arc<Manifest>> {
        let versions = self.0.lock().expect("the lock is never poisoned");
        versions.get(&version).map(|it| it.manifest.clone())
    }

    /// Stores a chunk if its digest matches the manifest.
    pub(crate) fn put(&self, version: VersionId, index: u32, bytes: Vec<u8>) -> PutResult {
        let Some(manifest) = self.manifest(version) else {
            return PutResult::UnknownVersion;
        };
        // The digest is computed without holding the lock, which uploads need as well.
        if !manifest.verify(index, &bytes) {
            return PutResult::Corrupt;
        }
        let mut versions = self.0.lock().expect("the lock is never poisoned");
        let Some(staged) = versions.get_mut(&version) else {
            return PutResult::UnknownVersion;
        };
        staged.chunks[index as usize] = Some(Arc::new(bytes));
        PutResult::Staged
    }

    /// Returns a chunk.
    pub(crate) fn get(&self, version: VersionId, index: u32) -> Option<Arc<Vec<u8>>> {
        let versions = self.0.lock().expect("the lock is never poisoned");
        versions.get(&version)?.chunks.get(index as usize)?.clone()
    }

    /// Removes a version with its chunks.
    pub(crate) fn drop_version(&self, version: VersionId) {
        self.0.lock().expect("the lock is never poisoned").remove(&version);
    }

    /// The total size of the stored chunks, in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        let versions = self.0.lock().expect("the lock is never poisoned");
        let chunks = versions.values().flat_map(|it| it.chunks.iter().flatten());
        chunks.map(|chunk| chunk.len() as u64).sum()
    }
}

#[cfg(test)]
mod tests;
