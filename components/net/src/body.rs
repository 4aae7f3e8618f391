//! Response bodies that are written while they are produced.

use std::io;

use async_channel::Sender;
use futures_util::TryStreamExt;
use http_types::Body;

/// The writing end of a streamed body. Dropping it without `finish` cuts the body, so that the
/// reader's HTTP library sees that it is not whole.
pub struct BodySender {
    parts: Sender<io::Result<Vec<u8>>>,
    finished: bool,
}

/// Makes a body that holds at most `parts` unread parts; the writer waits for a slow reader.
pub fn stream_body(parts: usize) -> (BodySender, Body) {
    let (sender, receiver) = async_channel::bounded(parts);
    let reader = Box::pin(receiver).into_async_read();
    (BodySender { parts: sender, finished: false }, Body::from_reader(reader, None))
}

impl BodySender {
    /// Writes a part; `false` when the reader is gone.
    pub async fn send(&self, part: Vec<u8>) -> bool {
        part.is_empty() || self.parts.send(Ok(part)).await.is_ok()
    }

    /// Ends the body as whole.
    pub fn finish(mut self) {
        self.finished = true;
    }

    /// Whether the reader is gone.
    pub fn is_closed(&self) -> bool {
        self.parts.is_closed()
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        if !self.finished {
            // A full channel cannot take the error; closing alone would look like a whole body.
            let cut = io::Error::new(io::ErrorKind::ConnectionAborted, "the answer was cut");
            let _ = self.parts.force_send(Err(cut));
        }
    }
}
