//! The transactional table.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use http_types::{Method, Request, Response, StatusCode};
use net::{Caller, Handler, Reply};

use crate::faults::{empty, Allowance, Faults};

/// Calls a second that the table handles.
const WRITES_PER_S: u32 = 100;
const READS_PER_S: u32 = 2000;

/// One row with the number of its last write.
#[derive(Clone)]
struct StoredRow {
    value: Vec<u8>,
    tag: u64,
}

/// The table. Rows are written with `If-Match` or `If-None-Match: *`.
pub struct Table {
    /// Its switches.
    pub faults: Arc<Faults>,
    rows: Mutex<BTreeMap<String, StoredRow>>,
    writes_allowed: Allowance,
    reads_allowed: Allowance,
    writes: AtomicU64,
    reads: AtomicU64,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            faults: Arc::default(),
            rows: Mutex::default(),
            writes_allowed: Allowance::new(WRITES_PER_S),
            reads_allowed: Allowance::new(READS_PER_S),
            writes: AtomicU64::new(0),
            reads: AtomicU64::new(0),
        }
    }
}

impl Table {
    /// How many writes were asked for.
    pub fn writes(&self) -> u64 {
        self.writes.load(Ordering::Relaxed)
    }

    /// How many reads were asked for.
    pub fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    fn read(&self, key: &str) -> Response {
        self.reads.fetch_add(1, Ordering::Relaxed);
        if !self.reads_allowed.take() {
            return empty(StatusCode::TooManyRequests);
        }
        let rows = self.rows.lock().expect("the lock is never poisoned");
        match rows.get(key) {
            Some(row) => tagged(StatusCode::Ok, row.tag, &row.value),
            None => empty(StatusCode::NotFound),
        }
    }

    fn write(&self, key: &str, request: &Request, value: Vec<u8>) -> Response {
        self.writes.fetch_add(1, Ordering::Relaxed);
        if !self.writes_allowed.take() {
            return empty(StatusCode::TooManyRequests);
        }
        let mut rows = self.rows.lock().expect("the lock is never poisoned");
        let current = rows.get(key).map(|row| row.tag);
        if !holds(request, current) {
            return empty(StatusCode::PreconditionFailed);
        }
        let tag = current.unwrap_or(0) + 1;
        rows.insert(key.to_owned(), StoredRow { value, tag });
        tagged(StatusCode::Ok, tag, &[])
    }
}

/// Whether the condition in the request's head holds.
fn holds(request: &Request, current: Option<u64>) -> bool {
    if let Some(wanted) = request.header("if-match") {
        return current.is_some_and(|tag| wanted.last().as_str() == quote(tag));
    }
    request.header("if-none-match").is_none() || current.is_none()
}

fn quote(tag: u64) -> String {
    format!("\"{tag}\"")
}

fn tagged(status: StatusCode, tag: u64, value: &[u8]) -> Response {
    let mut response = Response::new(status);
    response.insert_header("etag", quote(tag));
    response.set_body(value);
    response
}

#[async_trait]
impl Handler for Table {
    async fn handle(&self, mut request: Request, _caller: Caller) -> Reply {
        self.faults.wait().await;
        if self.faults.is_down() {
            return Reply::HangUp;
        }
        let path = request.url().path().to_owned();
        let Some(key) = path.strip_prefix("/rows/") else {
            return Reply::Answer(empty(StatusCode::NotFound));
        };
        let response = match request.method() {
            Method::Get => self.read(key),
            Method::Put => {
                let Ok(value) = request.body_bytes().await else {
                    return Reply::HangUp;
                };
                self.write(key, &request, value)
            }
            _ => empty(StatusCode::MethodNotAllowed),
        };
        self.faults.deliver(response)
    }
}
