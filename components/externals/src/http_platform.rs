//! HTTP clients for the platform's services, with conditional requests and range requests as in RFC 9110.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use errors::{Code, Error, Result};
use fleet::{Instance, VersionId, MAX_CHUNK_BYTES};
use http_types::{Method, Request, Url};
use net::{read_body, send, Deadline, HttpResponse};

use crate::traits::{InstanceList, ObjectStore, Precondition, Row, TableService, WeightStore};

/// Timeout of a call that does not transfer weights.
const SMALL_CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a call that transfers weights.
const WEIGHTS_CALL_TIMEOUT: Duration = Duration::from_secs(120);
/// Maximum size of a response body that is not weights, in bytes.
const MAX_SMALL_BODY_BYTES: usize = 16 << 20;

/// Client of the table service.
pub struct HttpTable(pub SocketAddr);
/// Client of the object store.
pub struct HttpObjects(pub SocketAddr);
/// Client of the origin of weights.
pub struct HttpWeights(pub SocketAddr);
/// Client of the instance list.
pub struct HttpInstances(pub SocketAddr);

#[async_trait]
impl TableService for HttpTable {
    async fn read(&self, key: &str) -> Result<Option<Row>> {
        let request = build_request(self.0, Method::Get, &format!("/rows/{key}"))?;
        let response = exchange(self.0, request, SMALL_CALL_TIMEOUT, MAX_SMALL_BODY_BYTES).await?;
        match response.status {
            200 => read_row(response).map(Some),
            404 => Ok(None),
            status => Err(status_error(status)),
        }
    }

    async fn write(&self, key: &str, value: &[u8], expected: &Precondition) -> Result<String> {
        let mut request = build_request(self.0, Method::Put, &format!("/rows/{key}"))?;
        match expected {
            Precondition::Absent => request.insert_header("if-none-match", "*"),
            Precondition::Tag(etag) => request.insert_header("if-match", etag.as_str()),
        };
        request.set_body(value);
        let response = exchange(self.0, request, SMALL_CALL_TIMEOUT, MAX_SMALL_BODY_BYTES).await?;
        match response.status {
            200 | 201 | 204 => Ok(response.etag.unwrap_or_default()),
            status => Err(status_error(status)),
        }
    }
}

#[async_trait]
impl ObjectStore for HttpObjects {
    async fn get(&self, key: &str) -> Result<Vec<u8>> {
        let request = build_request(self.0, Method::Get, &format!("/objects/{key}"))?;
        success_body(exchange(self.0, request, SMALL_CALL_TIMEOUT, MAX_SMALL_BODY_BYTES).await?)
    }

    async fn put(&self, key: &str, value: Vec<u8>) -> Result<()> {
        let mut request = build_request(self.0, Method::Put, &format!("/objects/{key}"))?;
        request.set_body(value);
        success_body(exchange(self.0, request, SMALL_CALL_TIMEOUT, MAX_SMALL_BODY_BYTES).await?)
            .map(drop)
    }
}

#[async_trait]
impl WeightStore for HttpWeights {
    async fn read(&self, version: VersionId, offset: u64, len: u32) -> Result<Vec<u8>> {
        let mut request = build_request(self.0, Method::Get, &format!("/weights/{version}"))?;
        let last = offset + u64::from(len) - 1;
        request.insert_header("range", format!("bytes={offset}-{last}"));
        let max_body_bytes = MAX_CHUNK_BYTES as usize;
        success_body(exchange(self.0, request, WEIGHTS_CALL_TIMEOUT, max_body_bytes).await?)
    }

    async fn publish(&self, version: VersionId, content: Vec<u8>) -> Result<()> {
        let mut request = build_request(self.0, Method::Put, &format!("/weights/{version}"))?;
        request.set_body(content);
        success_body(exchange(self.0, request, WEIGHTS_CALL_TIMEOUT, MAX_SMALL_BODY_BYTES).await?)
            .map(drop)
    }
}

#[async_trait]
impl InstanceList for HttpInstances {
    async fn list(&self) -> Result<Vec<Instance>> {
        let request = build_request(self.0, Method::Get, "/instances")?;
        let body = success_body(
            exchange(self.0, request, SMALL_CALL_TIMEOUT, MAX_SMALL_BODY_BYTES).await?,
        )?;
        serde_json::from_slice(&body).map_err(|error| {
            Error::new(Code::PlatformRefused, format!("cannot parse the instance list: {error}"))
        })
    }
}

pub(crate) fn build_request(address: SocketAddr, method: Method, path: &str) -> Result<Request> {
    let url = Url::parse(&format!("http://{address}{path}"))
        .map_err(|error| Error::new(Code::BadRequest, format!("{path}: {error}")))?;
    Ok(Request::new(method, url))
}

async fn exchange(
    address: SocketAddr,
    request: Request,
    timeout: Duration,
    max_body_bytes: usize,
) -> Result<HttpResponse> {
    let deadline = Deadline::after(timeout);
    let response = async {
        read_body(send(address, request, deadline).await?, max_body_bytes, deadline).await
    };
    response.await.map_err(|error| match error.code {
        Code::Unreachable | Code::TooLarge => error,
        // The call may have taken effect, so its failure must not be reported as a rejection.
        _ => Error::new(Code::PlatformUnavailable, error.detail),
    })
}

/// Takes a row from a response. Without its tag, no write could refer to it.
fn read_row(response: HttpResponse) -> Result<Row> {
    let missing = || Error::new(Code::PlatformUnavailable, "the row has no tag");
    Ok(Row { tag: response.etag.ok_or_else(missing)?, value: response.body })
}

fn success_body(response: HttpResponse) -> Result<Vec<u8>> {
    match response.status {
        200..=299 => Ok(response.body),
        status => Err(status_error(status)),
    }
}

fn status_error(status: u16) -> Error {
    let code = match status {
        404 => Code::NotFound,
        412 => Code::RowChanged,
        429 | 503 => Code::PlatformBusy,
        400..=499 => Code::PlatformRefused,
        _ => Code::PlatformUnavailable,
    };
    Error::new(code, format!("the platform responded with status {status}"))
}
