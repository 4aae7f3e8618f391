//! Sealing and opening of UDP datagrams.

use errors::{Code, Error, Result};

use crate::keys::{KeyRing, Tag, TAG_BYTES};
use crate::Datagram;

/// The largest datagram sent, in bytes; it fits an ordinary Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Keeps datagrams and frames apart under the same key.
const DOMAIN: &[u8] = b"datagram";

/// Encodes a datagram and appends its authentication code.
pub fn seal_datagram(keys: &KeyRing, datagram: &Datagram) -> Vec<u8> {
    let mut bytes =
        postcard::to_stdvec(datagram).expect("a datagram has no type that cannot be encoded");
    let tag = keys.sign(&[DOMAIN, &bytes]);
    bytes.extend_from_slice(&tag);
    bytes
}

/// Checks the authentication code and decodes the datagram.
pub fn open_datagram(keys: &KeyRing, bytes: &[u8]) -> Result<Datagram> {
    let Some(split) = bytes.len().checked_sub(TAG_BYTES) else {
        return Err(Error::new(Code::BadFrame, "the datagram is too short"));
    };
    let (body, tag) = bytes.split_at(split);
    let tag: Tag = tag.try_into().expect("the split leaves exactly one tag");
    if !keys.verify(&[DOMAIN, body], &tag) {
        return Err(Error::new(Code::BadAuthentication, "the datagram's code is wrong"));
    }
    postcard::from_bytes(body).map_err(|_| Error::new(Code::BadFrame, "the datagram is unreadable"))
}

#[cfg(test)]
mod tests;
