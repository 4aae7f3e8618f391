//! The manifest of a version of weights.

use errors::{Code, Error, Result};
use serde::{Deserialize, Serialize};

use crate::VersionId;

/// The maximum number of chunks per version. It keeps a summary of the chunks within one datagram.
pub const MAX_CHUNKS: u32 = 8192;
/// The minimum chunk size in bytes.
pub const MIN_CHUNK_BYTES: u32 = 4 * 1024;
/// The maximum chunk size in bytes.
pub const MAX_CHUNK_BYTES: u32 = 64 * 1024 * 1024;
/// The number of chunks a file is split into, unless a limit on the chunk size requires another number.
const DEFAULT_CHUNK_COUNT: u64 = 512;

/// Describes the content of a version: its size, its chunks and their digests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The display name of the file, for example `tips-v7`.
    pub label: String,
    /// The size of the file in bytes.
    pub bytes: u64,
    /// The size of each chunk except the last, in bytes.
    pub chunk_bytes: u32,
    /// The BLAKE3 digest of each chunk.
    pub digests: Vec<VersionId>,
}

impl Manifest {
    /// Creates a manifest with the default chunk size.
    pub fn describe(label: &str, content: &[u8]) -> Result<Self> {
        Self::describe_with(label, content, default_chunk_bytes(content.len() as u64))
    }

    /// Creates a manifest with chunks of `chunk_bytes` bytes.
    pub fn describe_with(label: &str, content: &[u8], chunk_bytes: u32) -> Result<Self> {
        if content.is_empty() || chunk_bytes == 0 {
            return Err(Error::new(Code::BadIntent, "a file of weights cannot be empty"));
        }
        let digests = content
            .chunks(chunk_bytes as usize)
            .map(|chunk| VersionId(*blake3::hash(chunk).as_bytes()))
            .collect();
        let manifest =
            Self { label: label.to_owned(), bytes: content.len() as u64, chunk_bytes, digests };
        manifest.check()?;
        Ok(manifest)
    }

    /// The ID of the version: the digest of this manifest.
    pub fn version(&self) -> VersionId {
        VersionId(*blake3::hash(&self.encode()).as_bytes())
    }

    /// The encoding that is kept in the object store.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a manifest has no type that cannot be encoded")
    }

    /// Decodes a manifest and checks that its digest is `version`.
    pub fn decode(version: VersionId, bytes: &[u8]) -> Result<Self> {
        if blake3::hash(bytes).as_bytes() != &version.0 {
            return Err(Error::new(Code::ChunkCorrupt, "the manifest's digest differs"));
        }
        let manifest: Self = postcard::from_bytes(bytes)
            .map_err(|_| Error::new(Code::ChunkCorrupt, "the manifest cannot be read"))?;
        manifest.check()?;
        Ok(manifest)
    }

    /// The number of chunks.
    pub fn chunks(&self) -> u32 {
        self.digests.len() as u32
    }

    /// The offset and length of a chunk in bytes.
    pub fn range(&self, index: u32) -> (u64, u32) {
        let start = u64::from(index) * u64::from(self.chunk_bytes);
        let len = u64::from(self.chunk_bytes).min(self.bytes.saturating_sub(start));
        (start, len as u32)
    }

    /// Returns whether `bytes` is the content of a chunk.
    pub fn verify(&self, index: u32, bytes: &[u8]) -> bool {
        let Some(digest) = self.digests.get(index as usize) else {
            return false;
        };
        bytes.len() == self.range(index).1 as usize && blake3::hash(bytes).as_bytes() == &digest.0
    }

    /// Fails if the sizes contradict each other or exceed their limits. A manifest from another process is not trusted.
    pub fn check(&self) -> Result<()> {
        let expected = self.bytes.div_ceil(u64::from(self.chunk_bytes.max(1)));
        if self.chunk_bytes == 0 || expected != self.digests.len() as u64 || self.bytes == 0 {
            return Err(Error::new(Code::ChunkCorrupt, "the manifest's sizes do not agree"));
        }
        if self.chunks() > MAX_CHUNKS || self.chunk_bytes > MAX_CHUNK_BYTES {
            return Err(Error::new(
                Code::TooLarge,
                "the manifest has too many or too large chunks",
            ));
        }
        Ok(())
    }
}

fn default_chunk_bytes(bytes: u64) -> u32 {
    let wanted = (bytes / DEFAULT_CHUNK_COUNT).next_power_of_two();
    wanted.clamp(u64::from(MIN_CHUNK_BYTES), u64::from(MAX_CHUNK_BYTES)) as u32
}

#[cfg(test)]
mod tests;
