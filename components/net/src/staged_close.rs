//! Closes connections so that no bytes that were sent are lost to a reset (RFC 9112, section 9.6).

use std::time::Duration;

use futures_lite::future;
use futures_lite::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// How long a caller may take to close its side.
const CALLER_CLOSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Size of the buffer for discarded bytes.
const BUFFER_BYTES: usize = 8192;

/// Shuts down the write side, and closes the connection once the caller has closed its side or its time is over.
/// What arrives meanwhile is discarded: unread bytes would reset the connection, and the caller would lose
/// the answer before it.
pub async fn close_in_stages(mut stream: impl AsyncRead + AsyncWrite + Unpin) {
    let closing = async {
        if stream.close().await.is_err() {
            return;
        }
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(1..) = stream.read(&mut buffer).await {}
    };
    // A caller that keeps its side open has had the time to read the answer.
    future::or(closing, uptime::sleep(CALLER_CLOSE_TIMEOUT)).await;
}

/// Closes a connection that is idle, and whose caller has read all answers. Returns whether a request arrived on it
/// nevertheless. The request stays unread and the connection is reset, which tells the caller that it may send the
/// request again.
pub async fn close_idle(mut stream: impl AsyncRead + AsyncWrite + Unpin) -> bool {
    let closing = async {
        // No request is shorter than this.
        let mut first = [0];
        stream.close().await.is_ok() && matches!(stream.read(&mut first).await, Ok(1..))
    };
    let no_request = async {
        uptime::sleep(CALLER_CLOSE_TIMEOUT).await;
        false
    };
    future::or(closing, no_request).await
}
