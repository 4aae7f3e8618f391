//! Response bodies that are sent while they are produced.

use std::io;

use async_channel::Sender;
use futures_util::TryStreamExt;
use http_types::Body;

/// The writing end of a streamed body. Dropping it without a call of [`finish`](Self::finish) aborts the body, so that
/// the HTTP library of the reader detects that it is incomplete.
pub struct BodySender {
    parts: Sender<io::Result<Vec<u8>>>,
    finished: bool,
}

/// Creates a body that buffers at most `max_parts` unread parts; the writer waits if the reader is slower.
pub fn stream_body(max_parts: usize) -> (BodySender, Body) {
    let (sender, receiver) = async_channel::bounded(max_parts);
    let reader = Box::pin(receiver).into_async_read();
    (BodySender { parts: sender, finished: false }, Body::from_reader(reader, None))
}

impl BodySender {
    /// Sends a part; `false` if the reader has disconnected.
    pub async fn send(&self, part: Vec<u8>) -> bool {
        part.is_empty() || self.parts.send(Ok(part)).await.is_ok()
    }

    /// Marks the body as complete.
    pub fn finish(mut self) {
        self.finished = true;
    }

    /// Whether the reader has disconnected.
    pub fn is_closed(&self) -> bool {
        self.parts.is_closed()
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        if !self.finished {
            // `force_send`, as a full channel accepts no error. Closing the channel without an error would look like
            // the end of a complete body.
            let error =
                io::Error::new(io::ErrorKind::ConnectionAborted, "the response was cut off");
            let _ = self.parts.force_send(Err(error));
        }
    }
}
