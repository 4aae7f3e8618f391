//! What silverdock asks of the platform.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use errors::Result;
use fleet::{Instance, ModelName, RequestId, Revision, Role, VersionId};
use serde::{Deserialize, Serialize};

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The content.
    pub value: Vec<u8>,
    /// Changes with every write; names the state a write is based on.
    pub tag: String,
}

/// What a write expects to find.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expected {
    /// No row.
    Absent,
    /// The row with this tag.
    Tag(String),
}

/// The transactional table. Errors of `write`: `RowChanged` when the expectation does not hold,
/// `PlatformBusy` or `Unreachable` when nothing was written, and `PlatformUnavailable` when the
/// answer was lost, so that the row must be read to learn what happened.
#[async_trait]
pub trait TableService: Send + Sync {
    /// Reads a row.
    async fn read(&self, key: &str) -> Result<Option<Row>>;
    /// Writes a row if it is as expected; returns its new tag.
    async fn write(&self, key: &str, value: &[u8], expected: &Expected) -> Result<String>;
}

/// The object store.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Reads an object; `NotFound` if there is none.
    async fn get(&self, key: &str) -> Result<Vec<u8>>;
    /// Writes an object whole.
    async fn put(&self, key: &str, value: Vec<u8>) -> Result<()>;
}

/// The origin of weights.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Reads a range of a version's bytes.
    async fn read(&self, version: VersionId, offset: u64, len: u32) -> Result<Vec<u8>>;
    /// Stores the bytes of a version.
    async fn publish(&self, version: VersionId, content: Vec<u8>) -> Result<()>;
}

/// The list of live and leaving instances. It lags.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// Reads the whole list.
    async fn list(&self) -> Result<Vec<Instance>>;
}

/// An order to a model engine, fenced by its epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The revision behind the order; an engine that checks refuses lower ones than it has seen.
    pub epoch: Revision,
    /// The name callers use.
    pub model: ModelName,
    /// The version to load, or none to unload the model.
    pub version: Option<VersionId>,
    /// The model that an adapter belongs to.
    pub adapter_of: Option<ModelName>,
    /// What the engine shall do with it.
    pub role: Role,
    /// Where the engine reads the weights.
    pub weights: SocketAddr,
    /// How many bytes to read.
    pub bytes: u64,
}

/// What an engine reports of its load. It lags.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
}

/// A request as it goes to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamCall {
    /// The request's identity.
    pub request: RequestId,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
    /// Higher goes first.
    pub priority: u8,
    /// Milliseconds left.
    pub budget_ms: u64,
}

/// The body of an answer, read part by part.
#[async_trait]
pub trait AnswerBody: Send {
    /// The next part, or `None` once the body is whole. A body that ends early is an error with
    /// `CutShort`.
    async fn next(&mut self) -> Result<Option<Vec<u8>>>;
}

/// The answer of an upstream.
pub struct UpstreamAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The type of the body.
    pub content_type: String,
    /// How long it wants to be left alone, in milliseconds, where it turned the call away for a time.
    pub rest_ms: Option<u64>,
    /// The body.
    pub body: Box<dyn AnswerBody>,
}

/// A model engine.
#[async_trait]
pub trait ModelEngine: Send + Sync {
    /// Gives an order; returns when it has taken effect. `OldEpoch` when it is fenced off.
    async fn order(&self, order: &EngineOrder) -> Result<()>;
    /// Passes a request on. `Unreachable` when nothing was sent.
    async fn call(&self, call: UpstreamCall) -> Result<UpstreamAnswer>;
    /// Stops a request.
    async fn cancel(&self, request: RequestId) -> Result<()>;
    /// Reads the load it reports.
    async fn load(&self) -> Result<EngineLoad>;
}

/// A plain service.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Passes a request on. `Unreachable` when nothing was sent.
    async fn call(&self, call: UpstreamCall) -> Result<UpstreamAnswer>;
}

/// The services of the platform that every daemon uses.
#[derive(Clone)]
pub struct Platform {
    /// The transactional table.
    pub table: Arc<dyn TableService>,
    /// The object store.
    pub objects: Arc<dyn ObjectStore>,
    /// The origin of weights.
    pub weights: Arc<dyn WeightStore>,
    /// The list of instances.
    pub instances: Arc<dyn InstanceList>,
}
