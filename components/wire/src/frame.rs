//! Frames over TCP: a message, an optional payload and an authentication code.
//!
//! Layout: `u32` length of the message, `u32` length of the payload (both little-endian), the message in `postcard`,
//! the payload, 32 bytes of authentication code. The code also covers the nonces that both sides chose for the session,
//! the sending side and the sequence number of the frame, so frames can be neither replayed nor reordered.

use errors::{Code, Error, Result};
use fleet::{InstanceId, MAX_CHUNK_BYTES};
use futures_lite::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::keys::{KeyRing, Tag, TAG_BYTES};
use crate::Message;

/// The largest message that an authenticated peer may send, in bytes, without its payload.
const MAX_MESSAGE_BYTES: u32 = 64 * 1024;
/// The largest first message, in bytes. It bounds the memory that an unauthenticated peer can make this side allocate.
const MAX_HELLO_BYTES: u32 = 1024;
/// The size of the header of a frame, which holds two lengths, in bytes.
const HEADER_BYTES: usize = 8;
/// The length of the nonce that each side contributes to a session, in bytes.
const NONCE_BYTES: usize = 16;
/// Domain separator of the authentication codes: the code of a datagram is not valid for a frame under the same key.
const DOMAIN_SEPARATOR: &[u8] = b"frame";
/// Marks frames from the side that opened the connection.
const FROM_DIALLER: u8 = 0;
/// Marks frames from the side that accepted the connection.
const FROM_ACCEPTOR: u8 = 1;

/// A message with its payload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The message.
    pub message: Message,
    /// Bulk data that belongs to the message, such as a chunk; empty for most messages.
    pub payload: Vec<u8>,
}

/// The state that the authentication codes of one direction of a session cover.
struct Direction {
    keys: KeyRing,
    session: [u8; NONCE_BYTES * 2],
    side: u8,
    sequence: u64,
}

impl Direction {
    fn context(&self) -> [u8; NONCE_BYTES * 2 + 9] {
        let mut context = [0; NONCE_BYTES * 2 + 9];
        context[..NONCE_BYTES * 2].copy_from_slice(&self.session);
        context[NONCE_BYTES * 2] = self.side;
        context[NONCE_BYTES * 2 + 1..].copy_from_slice(&self.sequence.to_le_bytes());
        context
    }
}

/// Reads frames and verifies their authentication codes.
pub struct FrameReader<R> {
    stream: R,
    direction: Direction,
    max_message: u32,
    max_payload: u32,
}

/// Writes frames with their authentication codes.
pub struct FrameWriter<W> {
    stream: W,
    direction: Direction,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Reads the next frame; `None` if the peer closed the connection between two frames.
    pub async fn read(&mut self) -> Result<Option<Frame>> {
        let mut header = [0; HEADER_BYTES];
        if !read_header(&mut self.stream, &mut header).await? {
            return Ok(None);
        }
        let (message_len, payload_len) = self.check_lengths(header)?;
        let mut body = vec![0; message_len + payload_len + TAG_BYTES];
        self.stream.read_exact(&mut body).await.map_err(connection_lost)?;
        let (content, tag) = body.split_at(message_len + payload_len);
        let (message, payload) = content.split_at(message_len);
        let tag: Tag = tag.try_into().expect("the split leaves exactly one tag");
        let context = self.direction.context();
        if !self.direction.keys.verify(&[DOMAIN_SEPARATOR, &context, message, payload], &tag) {
            return Err(Error::new(
                Code::BadAuthentication,
                "the authentication code of the frame is wrong",
            ));
        }
        self.direction.sequence += 1;
        // The authentication code is valid, so a daemon of a newer build sent the message. The session continues.
        let message = postcard::from_bytes(message).unwrap_or(Message::Unreadable);
        Ok(Some(Frame { message, payload: payload.to_vec() }))
    }

    /// Reads the next frame; the end of the stream is an error.
    pub async fn read_required(&mut self) -> Result<Frame> {
        let frame = self.read().await?;
        frame.ok_or_else(|| {
            Error::new(Code::ConnectionLost, "the other daemon closed the connection")
        })
    }

    fn check_lengths(&self, header: [u8; HEADER_BYTES]) -> Result<(usize, usize)> {
        let message = u32::from_le_bytes(header[..4].try_into().expect("four bytes"));
        let payload = u32::from_le_bytes(header[4..].try_into().expect("four bytes"));
        if message > self.max_message || payload > self.max_payload {
            return Err(Error::new(Code::FrameTooLarge, "the frame is larger than the limit"));
        }
        Ok((message as usize, payload as usize))
    }

    /// Raises the size limits after the handshake. The accepting side does so when the peer has proved that it knows
    /// the cluster key, the dialling side when it has sent its `Hello`.
    fn raise_limits(&mut self) {
        self.max_message = MAX_MESSAGE_BYTES;
        self.max_payload = MAX_CHUNK_BYTES;
    }
}

impl<W: AsyncWrite + Unpin> FrameWriter<W> {
    /// Writes a message without a payload.
    pub async fn send(&mut self, message: &Message) -> Result<()> {
        self.send_with(message, &[]).await
    }

    /// Writes a message with its payload.
    pub async fn send_with(&mut self, message: &Message, payload: &[u8]) -> Result<()> {
        let message = postcard::to_stdvec(message).expect("every type in a message can be encoded");
        self.send_encoded(&message, payload).await
    }

    async fn send_encoded(&mut self, message: &[u8], payload: &[u8]) -> Result<()> {
        let context = self.direction.context();
        let tag = self.direction.keys.sign(&[DOMAIN_SEPARATOR, &context, message, payload]);
        let mut header = Vec::with_capacity(HEADER_BYTES + message.len());
        header.extend_from_slice(&(message.len() as u32).to_le_bytes());
        header.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        header.extend_from_slice(message);
        if payload.is_empty() {
            header.extend_from_slice(&tag);
            self.stream.write_all(&header).await.map_err(connection_lost)?;
        } else {
            self.stream.write_all(&header).await.map_err(connection_lost)?;
            self.stream.write_all(payload).await.map_err(connection_lost)?;
            self.stream.write_all(&tag).await.map_err(connection_lost)?;
        }
        self.stream.flush().await.map_err(connection_lost)?;
        self.direction.sequence += 1;
        Ok(())
    }
}

/// Establishes a session on a connection that this side opened.
pub async fn dial_session<S>(
    keys: &KeyRing,
    from: &InstanceId,
    nonce: [u8; NONCE_BYTES],
    stream: S,
) -> Result<(FrameReader<S>, FrameWriter<S>)>
where
    S: AsyncRead + AsyncWrite + Unpin + Clone,
{
    let session = exchange_nonces(stream.clone(), nonce, FROM_DIALLER).await?;
    let (mut reader, mut writer) = session_halves(keys, session, FROM_DIALLER, stream);
    writer.send(&Message::Hello { from: from.clone() }).await?;
    reader.raise_limits();
    Ok((reader, writer))
}

/// Establishes a session on an accepted connection and returns the id of the peer.
pub async fn accept_session<S>(
    keys: &KeyRing,
    nonce: [u8; NONCE_BYTES],
    stream: S,
) -> Result<(InstanceId, FrameReader<S>, FrameWriter<S>)>
where
    S: AsyncRead + AsyncWrite + Unpin + Clone,
{
    let session = exchange_nonces(stream.clone(), nonce, FROM_ACCEPTOR).await?;
    let (mut reader, writer) = session_halves(keys, session, FROM_ACCEPTOR, stream);
    let Message::Hello { from } = reader.read_required().await?.message else {
        return Err(Error::new(Code::BadFrame, "the first message must be a Hello"));
    };
    reader.raise_limits();
    Ok((from, reader, writer))
}

/// Exchanges the nonces and concatenates them, that of the dialling side first.
async fn exchange_nonces<S: AsyncRead + AsyncWrite + Unpin>(
    mut stream: S,
    nonce: [u8; NONCE_BYTES],
    side: u8,
) -> Result<[u8; NONCE_BYTES * 2]> {
    stream.write_all(&nonce).await.map_err(connection_lost)?;
    stream.flush().await.map_err(connection_lost)?;
    let mut peer_nonce = [0; NONCE_BYTES];
    stream.read_exact(&mut peer_nonce).await.map_err(connection_lost)?;
    let (first, second) =
        if side == FROM_DIALLER { (nonce, peer_nonce) } else { (peer_nonce, nonce) };
    let mut session = [0; NONCE_BYTES * 2];
    session[..NONCE_BYTES].copy_from_slice(&first);
    session[NONCE_BYTES..].copy_from_slice(&second);
    Ok(session)
}

fn session_halves<S: Clone>(
    keys: &KeyRing,
    session: [u8; NONCE_BYTES * 2],
    side: u8,
    stream: S,
) -> (FrameReader<S>, FrameWriter<S>) {
    let direction = |side| Direction { keys: keys.clone(), session, side, sequence: 0 };
    let reader = FrameReader {
        stream: stream.clone(),
        direction: direction(FROM_ACCEPTOR - side),
        max_message: MAX_HELLO_BYTES,
        max_payload: 0,
    };
    let writer = FrameWriter { stream, direction: direction(side) };
    (reader, writer)
}

/// Reads the header of a frame; `false` if the stream ended before its first byte.
async fn read_header<R: AsyncRead + Unpin>(
    stream: &mut R,
    header: &mut [u8; HEADER_BYTES],
) -> Result<bool> {
    let first = stream.read(&mut header[..1]).await.map_err(connection_lost)?;
    if first == 0 {
        return Ok(false);
    }
    stream.read_exact(&mut header[1..]).await.map_err(connection_lost)?;
    Ok(true)
}

fn connection_lost(error: std::io::Error) -> Error {
    Error::new(Code::ConnectionLost, error.to_string())
}

#[cfg(test)]
mod tests;
