//! The cluster keys. Two are valid while the key is being rotated.

use std::sync::{Arc, RwLock};

use errors::{Code, Error, Result};

/// The length of an authentication code, in bytes.
pub const TAG_BYTES: usize = 32;
/// An authentication code.
pub type Tag = [u8; TAG_BYTES];

/// The shortest accepted key, in characters.
const MIN_KEY_CHARS: usize = 16;
/// The largest number of keys that are valid at the same time.
const MAX_KEYS: usize = 2;
/// The context string of the key derivation. It separates the keys of silverdock from other uses of the same text.
const KEY_CONTEXT: &str = "silverdock 2026 cluster key v1";

/// The cluster keys. The first one signs; all of them verify.
#[derive(Clone)]
pub struct KeyRing {
    keys: Arc<RwLock<Vec<Tag>>>,
}

impl KeyRing {
    /// Parses the text of a key file: one or two lines, the signing key first.
    pub fn parse(text: &str) -> Result<Self> {
        Ok(Self { keys: Arc::new(RwLock::new(parse_keys(text)?)) })
    }

    /// Replaces the keys by those of a changed key file, in all clones of this ring.
    pub fn replace(&self, text: &str) -> Result<()> {
        let keys = parse_keys(text)?;
        *self.keys.write().expect("the key lock is never poisoned") = keys;
        Ok(())
    }

    /// Computes the authentication code of a message given in parts.
    pub fn sign(&self, parts: &[&[u8]]) -> Tag {
        let keys = self.keys.read().expect("the key lock is never poisoned");
        keyed_digest(&keys[0], parts)
    }

    /// Whether the authentication code was computed with one of the valid keys.
    pub fn verify(&self, parts: &[&[u8]], tag: &Tag) -> bool {
        let keys = self.keys.read().expect("the key lock is never poisoned");
        // `blake3::Hash` compares in constant time.
        keys.iter()
            .any(|key| blake3::Hash::from(keyed_digest(key, parts)) == blake3::Hash::from(*tag))
    }
}

// A derived implementation would write the keys into logs.
impl std::fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyRing(..)")
    }
}

fn parse_keys(text: &str) -> Result<Vec<Tag>> {
    let lines: Vec<&str> = text.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
    let too_short = lines.iter().any(|line| line.len() < MIN_KEY_CHARS);
    if lines.is_empty() || lines.len() > MAX_KEYS || too_short {
        let expected = "a key file holds one or two lines of at least 16 characters";
        return Err(Error::new(Code::BadSettings, expected));
    }
    Ok(lines.iter().map(|line| blake3::derive_key(KEY_CONTEXT, line.as_bytes())).collect())
}

fn keyed_digest(key: &Tag, parts: &[&[u8]]) -> Tag {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        // The length of each part is hashed, so that the same bytes split differently give another code.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

#[cfg(test)]
mod tests;
