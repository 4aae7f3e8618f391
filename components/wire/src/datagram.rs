//! Encoding and authentication of UDP datagrams.

use errors::{Code, Error, Result};

use crate::keys::{KeyRing, Tag, TAG_BYTES};
use crate::Datagram;

/// The largest datagram that is sent, in bytes. It fits into a standard Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Domain separator of the authentication codes: the code of a frame is not valid for a datagram under the same key.
const DOMAIN_SEPARATOR: &[u8] = b"datagram";

/// Encodes a datagram and appends its authentication code.
pub fn seal_datagram(keys: &KeyRing, datagram: &Datagram) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(datagram).expect("every type in a datagram can be encoded");
    let tag = keys.sign(&[DOMAIN_SEPARATOR, &bytes]);
    bytes.extend_from_slice(&tag);
    bytes
}

/// Verifies the authentication code and decodes the datagram.
pub fn open_datagram(keys: &KeyRing, bytes: &[u8]) -> Result<Datagram> {
    let Some(body_len) = bytes.len().checked_sub(TAG_BYTES) else {
        return Err(Error::new(
            Code::BadFrame,
            "the datagram is shorter than an authentication code",
        ));
    };
    let (body, tag) = bytes.split_at(body_len);
    let tag: Tag = tag.try_into().expect("the split leaves exactly one tag");
    if !keys.verify(&[DOMAIN_SEPARATOR, body], &tag) {
        return Err(Error::new(
            Code::BadAuthentication,
            "the authentication code of the datagram is wrong",
        ));
    }
    postcard::from_bytes(body)
        .map_err(|_| Error::new(Code::BadFrame, "the datagram cannot be decoded"))
}

#[cfg(test)]
mod tests;
