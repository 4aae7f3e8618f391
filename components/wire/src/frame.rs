//! Frames over TCP: a message, an optional payload and an authentication code.
//!
//! Layout: `u32` length of the message, `u32` length of the payload (both little-endian), the
//! message in `postcard`, the payload, 32 bytes of code. The code covers a session value that both
//! sides chose and the number of the frame, so frames can be neither replayed nor reordered.

use errors::{Code, Error, Result};
use fleet::{InstanceId, MAX_CHUNK_BYTES};
use futures_lite::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::keys::{KeyRing, Tag, TAG_BYTES};
use crate::Message;

/// The largest message, in bytes, without its payload.
const MAX_MESSAGE_BYTES: u32 = 64 * 1024;
/// The largest first frame, in bytes; a stranger can cost us no more memory than this.
const MAX_HELLO_BYTES: u32 = 1024;
/// The length of the two lengths at the head of a frame.
const HEAD_BYTES: usize = 8;
/// The length of the value each side contributes to a session.
const NONCE_BYTES: usize = 16;
/// Keeps frames and datagrams apart under the same key.
const DOMAIN: &[u8] = b"frame";
/// Marks frames from the side that dialled.
const FROM_DIALLER: u8 = 0;
/// Marks frames from the side that accepted.
const FROM_ACCEPTOR: u8 = 1;

/// A message with its payload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The message.
    pub message: Message,
    /// The large body beside it; empty for most messages.
    pub payload: Vec<u8>,
}

/// What the codes of one direction of a session are bound to.
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

/// Reads and checks frames.
pub struct FrameReader<R> {
    stream: R,
    direction: Direction,
    max_message: u32,
    max_payload: u32,
}

/// Writes frames.
pub struct FrameWriter<W> {
    stream: W,
    direction: Direction,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Reads the next frame; `None` when the other side closed between two frames.
    pub async fn read(&mut self) -> Result<Option<Frame>> {
        let mut head = [0; HEAD_BYTES];
        if !read_head(&mut self.stream, &mut head).await? {
            return Ok(None);
        }
        let (message_len, payload_len) = self.check_lengths(head)?;
        let mut body = vec![0; message_len + payload_len + TAG_BYTES];
        self.stream.read_exact(&mut body).await.map_err(lost)?;
        let (content, tag) = body.split_at(message_len + payload_len);
        let (message, payload) = content.split_at(message_len);
        let tag: Tag = tag.try_into().expect("the split leaves exactly one tag");
        let context = self.direction.context();
        if !self.direction.keys.verify(&[DOMAIN, &context, message, payload], &tag) {
            return Err(Error::new(Code::BadAuthentication, "the frame's code is wrong"));
        }
        self.direction.sequence += 1;
        // Its code is right, so a daemon of another build said it; the session goes on.
        let message = postcard::from_bytes(message).unwrap_or(Message::Unreadable);
        Ok(Some(Frame { message, payload: payload.to_vec() }))
    }

    /// Reads the next frame and takes the end of the stream for a failure.
    pub async fn expect(&mut self) -> Result<Frame> {
        let frame = self.read().await?;
        frame.ok_or_else(|| Error::new(Code::ConnectionLost, "the daemon closed the connection"))
    }

    fn check_lengths(&self, head: [u8; HEAD_BYTES]) -> Result<(usize, usize)> {
        let message = u32::from_le_bytes(head[..4].try_into().expect("four bytes"));
        let payload = u32::from_le_bytes(head[4..].try_into().expect("four bytes"));
        if message > self.max_message || payload > self.max_payload {
            return Err(Error::new(Code::FrameTooLarge, "the frame is larger than the bound"));
        }
        Ok((message as usize, payload as usize))
    }

    /// Lifts the bounds once the other side has shown that it knows the key.
    fn trust(&mut self) {
        self.max_message = MAX_MESSAGE_BYTES;
        self.max_payload = MAX_CHUNK_BYTES;
    }
}

impl<W: AsyncWrite + Unpin> FrameWriter<W> {
    /// Writes a message without payload.
    pub async fn send(&mut self, message: &Message) -> Result<()> {
        self.send_with(message, &[]).await
    }

    /// Writes a message with its payload.
    pub async fn send_with(&mut self, message: &Message, payload: &[u8]) -> Result<()> {
        let message =
            postcard::to_stdvec(message).expect("a message has no type that cannot be encoded");
        self.send_encoded(&message, payload).await
    }

    async fn send_encoded(&mut self, message: &[u8], payload: &[u8]) -> Result<()> {
        let context = self.direction.context();
        let tag = self.direction.keys.sign(&[DOMAIN, &context, message, payload]);
        let mut head = Vec::with_capacity(HEAD_BYTES + message.len());
        head.extend_from_slice(&(message.len() as u32).to_le_bytes());
        head.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        head.extend_from_slice(message);
        if payload.is_empty() {
            head.extend_from_slice(&tag);
            self.stream.write_all(&head).await.map_err(lost)?;
        } else {
            self.stream.write_all(&head).await.map_err(lost)?;
            self.stream.write_all(payload).await.map_err(lost)?;
            self.stream.write_all(&tag).await.map_err(lost)?;
        }
        self.stream.flush().await.map_err(lost)?;
        self.direction.sequence += 1;
        Ok(())
    }
}

/// Opens a session on a connection that this side dialled.
pub async fn dial_session<S>(
    keys: &KeyRing,
    from: &InstanceId,
    nonce: [u8; NONCE_BYTES],
    stream: S,
) -> Result<(FrameReader<S>, FrameWriter<S>)>
where
    S: AsyncRead + AsyncWrite + Unpin + Clone,
{
    let session = exchange(stream.clone(), nonce, FROM_DIALLER).await?;
    let (mut reader, mut writer) = pair(keys, session, FROM_DIALLER, stream);
    writer.send(&Message::Hello { from: from.clone() }).await?;
    reader.trust();
    Ok((reader, writer))
}

/// Opens a session on a connection that the other side dialled, and learns who it is.
pub async fn accept_session<S>(
    keys: &KeyRing,
    nonce: [u8; NONCE_BYTES],
    stream: S,
) -> Result<(InstanceId, FrameReader<S>, FrameWriter<S>)>
where
    S: AsyncRead + AsyncWrite + Unpin + Clone,
{
    let session = exchange(stream.clone(), nonce, FROM_ACCEPTOR).await?;
    let (mut reader, writer) = pair(keys, session, FROM_ACCEPTOR, stream);
    let Message::Hello { from } = reader.expect().await?.message else {
        return Err(Error::new(Code::BadFrame, "the first message must be a hello"));
    };
    reader.trust();
    Ok((from, reader, writer))
}

/// Swaps the two nonces and joins them, the dialler's first.
async fn exchange<S: AsyncRead + AsyncWrite + Unpin>(
    mut stream: S,
    nonce: [u8; NONCE_BYTES],
    side: u8,
) -> Result<[u8; NONCE_BYTES * 2]> {
    stream.write_all(&nonce).await.map_err(lost)?;
    stream.flush().await.map_err(lost)?;
    let mut theirs = [0; NONCE_BYTES];
    stream.read_exact(&mut theirs).await.map_err(lost)?;
    let (first, second) = if side == FROM_DIALLER { (nonce, theirs) } else { (theirs, nonce) };
    let mut session = [0; NONCE_BYTES * 2];
    session[..NONCE_BYTES].copy_from_slice(&first);
    session[NONCE_BYTES..].copy_from_slice(&second);
    Ok(session)
}

fn pair<S: Clone>(
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

/// Fills the head of a frame; `false` when the stream ended before its first byte.
async fn read_head<R: AsyncRead + Unpin>(
    stream: &mut R,
    head: &mut [u8; HEAD_BYTES],
) -> Result<bool> {
    let first = stream.read(&mut head[..1]).await.map_err(lost)?;
    if first == 0 {
        return Ok(false);
    }
    stream.read_exact(&mut head[1..]).await.map_err(lost)?;
    Ok(true)
}

fn lost(error: std::io::Error) -> Error {
    Error::new(Code::ConnectionLost, error.to_string())
}

#[cfg(test)]
mod tests;
