//! The platform's services over HTTP: conditional requests and ranges as in RFC 9110.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use errors::{Code, Error, Result};
use fleet::{Instance, VersionId, MAX_CHUNK_BYTES};
use http_types::{Method, Request, Url};
use net::{read_body, send, Answer, Deadline};

use crate::traits::{Expected, InstanceList, ObjectStore, Row, TableService, WeightStore};

/// How long a call to the table or a list may take.
const SMALL_CALL: Duration = Duration::from_secs(3);
/// How long a call that moves weights may take.
const LARGE_CALL: Duration = Duration::from_secs(120);
/// The largest answer that is not weights, in bytes.
const SMALL_BODY: usize = 16 << 20;

/// The table service.
pub struct HttpTable(pub SocketAddr);
/// The object store.
pub struct HttpObjects(pub SocketAddr);
/// The origin of weights.
pub struct HttpWeights(pub SocketAddr);
/// The instance list.
pub struct HttpInstances(pub SocketAddr);

#[async_trait]
impl TableService for HttpTable {
    async fn read(&self, key: &str) -> Result<Option<Row>> {
        let request = build(self.0, Method::Get, &format!("/rows/{key}"))?;
        let answer = exchange(self.0, request, SMALL_CALL, SMALL_BODY).await?;
        match answer.status {
            200 => Ok(Some(Row { value: answer.body, tag: answer.tag.unwrap_or_default() })),
            404 => Ok(None),
            status => Err(refusal(status)),
        }
    }

    async fn write(&self, key: &str, value: &[u8], expected: &Expected) -> Result<String> {
        let mut request = build(self.0, Method::Put, &format!("/rows/{key}"))?;
        match expected {
            Expected::Absent => request.insert_header("if-none-match", "*"),
            Expected::Tag(tag) => request.insert_header("if-match", tag.as_str()),
        };
        request.set_body(value);
        let answer = exchange(self.0, request, SMALL_CALL, SMALL_BODY).await?;
        match answer.status {
            200 | 201 | 204 => Ok(answer.tag.unwrap_or_default()),
            status => Err(refusal(status)),
        }
    }
}

#[async_trait]
impl ObjectStore for HttpObjects {
    async fn get(&self, key: &str) -> Result<Vec<u8>> {
        let request = build(self.0, Method::Get, &format!("/objects/{key}"))?;
        accept(exchange(self.0, request, SMALL_CALL, SMALL_BODY).await?)
    }

    async fn put(&self, key: &str, value: Vec<u8>) -> Result<()> {
        let mut request = build(self.0, Method::Put, &format!("/objects/{key}"))?;
        request.set_body(value);
        accept(exchange(self.0, request, SMALL_CALL, SMALL_BODY).await?).map(drop)
    }
}

#[async_trait]
impl WeightStore for HttpWeights {
    async fn read(&self, version: VersionId, offset: u64, len: u32) -> Result<Vec<u8>> {
        let mut request = build(self.0, Method::Get, &format!("/weights/{version}"))?;
        let last = offset + u64::from(len) - 1;
        request.insert_header("range", format!("bytes={offset}-{last}"));
        let limit = MAX_CHUNK_BYTES as usize;
        accept(exchange(self.0, request, LARGE_CALL, limit).await?)
    }

    async fn publish(&self, version: VersionId, content: Vec<u8>) -> Result<()> {
        let mut request = build(self.0, Method::Put, &format!("/weights/{version}"))?;
        request.set_body(content);
        accept(exchange(self.0, request, LARGE_CALL, SMALL_BODY).await?).map(drop)
    }
}

#[async_trait]
impl InstanceList for HttpInstances {
    async fn list(&self) -> Result<Vec<Instance>> {
        let request = build(self.0, Method::Get, "/instances")?;
        let body = accept(exchange(self.0, request, SMALL_CALL, SMALL_BODY).await?)?;
        serde_json::from_slice(&body)
            .map_err(|error| Error::new(Code::PlatformRefused, format!("instance list: {error}")))
    }
}

pub(crate) fn build(address: SocketAddr, method: Method, path: &str) -> Result<Request> {
    let url = Url::parse(&format!("http://{address}{path}"))
        .map_err(|error| Error::new(Code::BadRequest, format!("{path}: {error}")))?;
    Ok(Request::new(method, url))
}

async fn exchange(
    address: SocketAddr,
    request: Request,
    time: Duration,
    limit: usize,
) -> Result<Answer> {
    let deadline = Deadline::after(time);
    let answer =
        async { read_body(send(address, request, deadline).await?, limit, deadline).await };
    answer.await.map_err(|error| match error.code {
        Code::Unreachable | Code::TooLarge => error,
        // The call may have taken effect, so it is never reported as refused.
        _ => Error::new(Code::PlatformUnavailable, error.detail),
    })
}

fn accept(answer: Answer) -> Result<Vec<u8>> {
    match answer.status {
        200..=299 => Ok(answer.body),
        status => Err(refusal(status)),
    }
}

fn refusal(status: u16) -> Error {
    let code = match status {
        404 => Code::NotFound,
        412 => Code::RowChanged,
        429 | 503 => Code::PlatformBusy,
        400..=499 => Code::PlatformRefused,
        _ => Code::PlatformUnavailable,
    };
    Error::new(code, format!("the platform answered {status}"))
}
