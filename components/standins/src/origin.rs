//! A stand-in for the origin of weights, with a bandwidth limit.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use http_types::{Method, Request, Response, StatusCode};
use net::{stream_body, BodySender, Caller, Handler, Pacer, Reply, Tasks};

use crate::faults::{empty_response, Faults, PercentSampler, RateLimiter};

/// Size of the pieces in which weights are sent, in bytes. Concurrent reads share the link piece by piece.
const PIECE_BYTES: usize = 4 * 1024;
/// Maximum number of pieces of a body that are buffered for a slow reader.
const MAX_BUFFERED_PIECES: usize = 4;
/// Rate limit of the store in front of the origin, in reads per second.
const MAX_READS_PER_S: u32 = 2000;

/// An origin that keeps the weights of each version in memory and serves ranges of them.
pub struct Origin {
    /// Fault injection for this service.
    pub faults: Arc<Faults>,
    tasks: Tasks,
    link: Arc<Pacer>,
    read_limiter: RateLimiter,
    contents: Mutex<HashMap<String, Arc<Vec<u8>>>>,
    sent_bytes: Arc<AtomicU64>,
    corruption: PercentSampler,
}

impl Origin {
    /// Creates an origin with a bandwidth of `bytes_per_s`.
    pub fn new(tasks: &Tasks, bytes_per_s: u64) -> Self {
        Self {
            faults: Arc::default(),
            tasks: tasks.clone(),
            link: Arc::new(Pacer::new(bytes_per_s)),
            read_limiter: RateLimiter::new(MAX_READS_PER_S),
            contents: Mutex::default(),
            sent_bytes: Arc::default(),
            corruption: PercentSampler::default(),
        }
    }

    /// Returns the number of bytes of weights that were sent.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Flips one bit in this percentage of the responses.
    pub fn set_corrupt_percent(&self, percent: u64) {
        self.corruption.set_percent(percent);
    }

    fn read(&self, name: &str, request: &Request) -> Response {
        if !self.read_limiter.try_take() {
            return empty_response(StatusCode::TooManyRequests);
        }
        let contents = self.contents.lock().expect("the lock is never poisoned");
        let Some(content) = contents.get(name).cloned() else {
            return empty_response(StatusCode::NotFound);
        };
        let Some((start, end)) = parse_range(request, content.len()) else {
            return empty_response(StatusCode::RequestedRangeNotSatisfiable);
        };
        let (sender, body) = stream_body(MAX_BUFFERED_PIECES);
        let mut range = content[start..end].to_vec();
        if self.corruption.pick() {
            let middle = range.len() / 2;
            range[middle] ^= 1;
        }
        let sending = send_paced(sender, range, self.link.clone(), self.sent_bytes.clone());
        self.tasks.spawn(sending);
        let mut response = empty_response(StatusCode::PartialContent);
        response
            .insert_header("content-range", format!("bytes {start}-{}/{}", end - 1, content.len()));
        response.set_body(body);
        response
    }
}

async fn send_paced(
    sender: BodySender,
    content: Vec<u8>,
    link: Arc<Pacer>,
    sent_bytes: Arc<AtomicU64>,
) {
    for piece in content.chunks(PIECE_BYTES) {
        link.wait_for_bandwidth(piece.len()).await;
        sent_bytes.fetch_add(piece.len() as u64, Ordering::Relaxed);
        if !sender.send(piece.to_vec()).await {
            return;
        }
    }
    sender.finish();
}

/// Returns the start and the exclusive end of the requested range, or `None` if the range is invalid.
fn parse_range(request: &Request, len: usize) -> Option<(usize, usize)> {
    let Some(header) = request.header("range") else {
        return Some((0, len));
    };
    let (start, last) = header.last().as_str().strip_prefix("bytes=")?.split_once('-')?;
    let start: usize = start.parse().ok()?;
    let last: usize = last.parse().ok()?;
    (start <= last && last < len).then_some((start, last + 1))
}

#[async_trait]
impl Handler for Origin {
    async fn handle(&self, mut request: Request, _caller: Caller) -> Reply {
        self.faults.apply_delay().await;
        if self.faults.is_down() {
            return Reply::CloseConnection;
        }
        let path = request.url().path().to_owned();
        let Some(name) = path.strip_prefix("/weights/") else {
            return Reply::Answer(empty_response(StatusCode::NotFound));
        };
        let response = match request.method() {
            Method::Get => self.read(name, &request),
            Method::Put => {
                let Ok(content) = request.body_bytes().await else {
                    return Reply::CloseConnection;
                };
                let mut contents = self.contents.lock().expect("the lock is never poisoned");
                contents.insert(name.to_owned(), Arc::new(content));
                empty_response(StatusCode::Created)
            }
            _ => empty_response(StatusCode::MethodNotAllowed),
        };
        self.faults.respond(response)
    }
}
