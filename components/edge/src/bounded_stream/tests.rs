//! Tests of bounded streams over an endless one.

use std::time::Duration;

use futures_lite::future::{self, block_on, poll_once};
use futures_lite::io::{repeat, AsyncReadExt, Cursor};

use super::*;

/// Number of bytes that a reader asks for at once.
const READ_BYTES: usize = 64 * 1024;
/// A deadline of a reader.
const DEADLINE: Duration = Duration::from_millis(50);

fn bounded<S>(stream: S, allowed: u64) -> (BoundedStream<S>, Rc<ReadBounds>) {
    let bounds = Rc::new(ReadBounds::new());
    bounds.begin(allowed);
    (BoundedStream::new(stream, bounds.clone()), bounds)
}

/// Reads until the stream ends or fails.
async fn read_all<S: AsyncRead + Unpin>(stream: &mut BoundedStream<S>) -> io::Result<usize> {
    let (mut buffer, mut total) = (vec![0; READ_BYTES], 0);
    loop {
        match stream.read(&mut buffer).await? {
            0 => return Ok(total),
            bytes => total += bytes,
        }
    }
}

#[test]
fn an_endless_stream_does_not_keep_a_timer_from_firing() {
    let (mut stream, bounds) = bounded(repeat(b'x'), u64::MAX);
    let begun = Instant::now();
    let reading = async { Some(read_all(&mut stream).await) };
    let timer = async {
        uptime::sleep(DEADLINE).await;
        None
    };
    assert!(async_io::block_on(future::or(reading, timer)).is_none());
    assert!(begun.elapsed() < 10 * DEADLINE, "took {:?}", begun.elapsed());
    assert!(bounds.bytes_read() > 0);
}

#[test]
fn a_poll_reads_no_more_than_a_turn() {
    let (mut stream, bounds) = bounded(repeat(b'x'), u64::MAX);
    for turn in 1..4 {
        assert!(block_on(poll_once(read_all(&mut stream))).is_none());
        assert_eq!(bounds.bytes_read(), turn * TURN_BYTES as u64);
    }
}

#[test]
fn a_stream_fails_behind_the_allowed_bytes_until_more_are_allowed() {
    let (mut stream, bounds) = bounded(repeat(b'x'), 100);
    for allowed in [100, 150] {
        let error = block_on(read_all(&mut stream)).unwrap_err();
        assert_eq!(error.kind(), io::ErrorKind::InvalidData);
        assert_eq!(bounds.bytes_read(), allowed);
        bounds.extend(50);
    }
}

#[test]
fn a_stream_within_its_bounds_arrives_whole() {
    let bytes = vec![b'x'; 10 * TURN_BYTES + 1];
    let (mut stream, _) = bounded(Cursor::new(bytes.clone()), bytes.len() as u64 + 1);
    assert_eq!(block_on(read_all(&mut stream)).unwrap(), bytes.len());
}

#[test]
fn an_endless_stream_keeps_to_its_pace() {
    let pace = Pace { bytes_per_s: 1_000_000, burst_bytes: 100_000 };
    let (mut stream, bounds) = bounded(repeat(b'x'), u64::MAX);
    bounds.set_pace(pace);
    let begun = Instant::now();
    let reading = async { read_all(&mut stream).await.map(|_| ()) };
    let timer = async {
        uptime::sleep(4 * DEADLINE).await;
        Ok(())
    };
    async_io::block_on(future::or(reading, timer)).unwrap();
    let paced = begun.elapsed().as_secs_f64() * f64::from(pace.bytes_per_s);
    let most = paced + f64::from(pace.burst_bytes) + TURN_BYTES as f64;
    assert!(bounds.bytes_read() > u64::from(pace.burst_bytes), "a burst is not held back");
    assert!(bounds.bytes_read() as f64 <= most, "{} bytes", bounds.bytes_read());
}
