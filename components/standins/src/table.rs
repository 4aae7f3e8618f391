//! A stand-in for the transactional table.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use http_types::{Method, Request, Response, StatusCode};
use net::{Caller, Handler, Reply};

use crate::faults::{empty_response, Faults, RateLimiter};

/// Rate limit of the table, in writes per second.
const MAX_WRITES_PER_S: u32 = 100;
/// Rate limit of the table, in reads per second.
const MAX_READS_PER_S: u32 = 2000;

/// A row with the number of its last write, which is its entity tag.
#[derive(Clone)]
struct StoredRow {
    value: Vec<u8>,
    tag: u64,
}

/// A table that keeps its rows in memory. Writes are conditional, with `If-Match` or `If-None-Match: *`.
pub struct Table {
    /// Fault injection for this service.
    pub faults: Arc<Faults>,
    rows: Mutex<BTreeMap<String, StoredRow>>,
    write_limiter: RateLimiter,
    read_limiter: RateLimiter,
    writes: AtomicU64,
    reads: AtomicU64,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            faults: Arc::default(),
            rows: Mutex::default(),
            write_limiter: RateLimiter::new(MAX_WRITES_PER_S),
            read_limiter: RateLimiter::new(MAX_READS_PER_S),
            writes: AtomicU64::new(0),
            reads: AtomicU64::new(0),
        }
    }
}

impl Table {
    /// Returns the number of write requests, including rejected ones.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Returns the number of read requests, including rejected ones.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    fn read(&self, key: &str) -> Response {
        self.reads.fetch_add(1, Ordering::Relaxed);
        if !self.read_limiter.try_take() {
            return empty_response(StatusCode::TooManyRequests);
        }
        let rows = self.rows.lock().expect("the lock is never poisoned");
        match rows.get(key) {
            Some(row) => tagged_response(StatusCode::Ok, row.tag, &row.value),
            None => empty_response(StatusCode::NotFound),
        }
    }

    fn write(&self, key: &str, request: &Request, value: Vec<u8>) -> Response {
        self.writes.fetch_add(1, Ordering::Relaxed);
        if !self.write_limiter.try_take() {
            return empty_response(StatusCode::TooManyRequests);
        }
        let mut rows = self.rows.lock().expect("the lock is never poisoned");
        let current = rows.get(key).map(|row| row.tag);
        if !precondition_holds(request, current) {
            return empty_response(StatusCode::PreconditionFailed);
        }
        let tag = current.unwrap_or(0) + 1;
        rows.insert(key.to_owned(), StoredRow { value, tag });
        tagged_response(StatusCode::Ok, tag, &[])
    }
}

/// Returns whether the precondition in the request's headers holds.
fn precondition_holds(request: &Request, current: Option<u64>) -> bool {
    if let Some(expected) = request.header("if-match") {
        return current.is_some_and(|tag| expected.last().as_str() == format_etag(tag));
    }
    request.header("if-none-match").is_none() || current.is_none()
}

fn format_etag(tag: u64) -> String {
    format!("\"{tag}\"")
}

fn tagged_response(status: StatusCode, tag: u64, value: &[u8]) -> Response {
    let mut response = Response::new(status);
    response.insert_header("etag", format_etag(tag));
    response.set_body(value);
    response
}

#[async_trait]
impl Handler for Table {
    async fn handle(&self, mut request: Request, _caller: Caller) -> Reply {
        self.faults.apply_delay().await;
        if self.faults.is_down() {
            return Reply::CloseConnection;
        }
        let path = request.url().path().to_owned();
        let Some(key) = path.strip_prefix("/rows/") else {
            return Reply::Answer(empty_response(StatusCode::NotFound));
        };
        let response = match request.method() {
            Method::Get => self.read(key),
            Method::Put => {
                let Ok(value) = request.body_bytes().await else {
                    return Reply::CloseConnection;
                };
                self.write(key, &request, value)
            }
            _ => empty_response(StatusCode::MethodNotAllowed),
        };
        self.faults.respond(response)
    }
}
