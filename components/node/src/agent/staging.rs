//! Verified chunks in memory. Instances have no disk.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use fleet::{Manifest, VersionId};

/// The chunks of one version.
struct Staged {
    manifest: Arc<Manifest>,
    chunks: Vec<Option<Arc<Vec<u8>>>>,
}

/// What became of a chunk that was to be put in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Put {
    /// It is in.
    Staged,
    /// It is not the chunk the manifest names.
    Corrupt,
    /// Nobody wants the version any more.
    Unwanted,
}

/// Every chunk that this agent holds. Only verified chunks are put in.
#[derive(Clone, Default)]
pub(crate) struct Staging(Arc<Mutex<HashMap<VersionId, Staged>>>);

impl Staging {
    /// Makes room for a version.
    pub(crate) fn open(&self, manifest: &Arc<Manifest>) {
        let mut versions = self.0.lock().expect("the lock is never poisoned");
        versions.entry(manifest.version()).or_insert_with(|| Staged {
            manifest: manifest.clone(),
            chunks: vec![None; manifest.chunks() as usize],
        });
    }

    /// The manifest of a version.
    pub(crate) fn manifest(&self, version: VersionId) -> Option<Arc<Manifest>> {
        let versions = self.0.lock().expect("the lock is never poisoned");
        versions.get(&version).map(|it| it.manifest.clone())
    }

    /// Puts a chunk in if it is the one the manifest names.
    pub(crate) fn put(&self, version: VersionId, index: u32, bytes: Vec<u8>) -> Put {
        let Some(manifest) = self.manifest(version) else {
            return Put::Unwanted;
        };
        // Digests are computed without the lock, which uploads need as well.
        if !manifest.verify(index, &bytes) {
            return Put::Corrupt;
        }
        let mut versions = self.0.lock().expect("the lock is never poisoned");
        let Some(staged) = versions.get_mut(&version) else {
            return Put::Unwanted;
        };
        staged.chunks[index as usize] = Some(Arc::new(bytes));
        Put::Staged
    }

    /// Reads a chunk.
    pub(crate) fn get(&self, version: VersionId, index: u32) -> Option<Arc<Vec<u8>>> {
        let versions = self.0.lock().expect("the lock is never poisoned");
        versions.get(&version)?.chunks.get(index as usize)?.clone()
    }

    /// Lets go of a version.
    pub(crate) fn drop_version(&self, version: VersionId) {
        self.0.lock().expect("the lock is never poisoned").remove(&version);
    }

    /// The bytes held.
    pub(crate) fn bytes(&self) -> u64 {
        let versions = self.0.lock().expect("the lock is never poisoned");
        let chunks = versions.values().flat_map(|it| it.chunks.iter().flatten());
        chunks.map(|chunk| chunk.len() as u64).sum()
    }
}

#[cfg(test)]
mod tests;
