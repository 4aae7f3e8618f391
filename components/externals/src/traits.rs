//! Interfaces of the platform's services and of upstreams.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use errors::Result;
use fleet::{Instance, ModelName, RequestId, Revision, Role, VersionId};
use serde::{Deserialize, Serialize};

/// A row of the transactional table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The content.
    pub value: Vec<u8>,
    /// The entity tag. It changes with every write and identifies the state that a write is based on.
    pub tag: String,
}

/// The precondition of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The row does not exist.
    Absent,
    /// The row exists and has this tag.
    Tag(String),
}

/// The transactional table.
///
/// `write` fails with `RowChanged` if the precondition does not hold, with `PlatformBusy` or `Unreachable` if nothing
/// was written, and with `PlatformUnavailable` if the response was lost; the row must then be read to find out whether
/// the write took effect.
#[async_trait]
pub trait TableService: Send + Sync {
    /// Reads a row.
    async fn read(&self, key: &str) -> Result<Option<Row>>;
    /// Writes a row if the precondition holds, and returns its new tag.
    async fn write(&self, key: &str, value: &[u8], expected: &Precondition) -> Result<String>;
}

/// The object store.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Reads an object. Fails with `NotFound` if it does not exist.
    async fn get(&self, key: &str) -> Result<Vec<u8>>;
    /// Writes a complete object.
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

/// The list of live and leaving instances. It may be out of date.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// Reads the complete list.
    async fn list(&self) -> Result<Vec<Instance>>;
}

/// An order to a model engine, fenced by its epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The revision that the order is based on. An engine that checks epochs rejects one lower than it has seen.
    pub epoch: Revision,
    /// The model name that callers use.
    pub model: ModelName,
    /// The version to load, or none to unload the model.
    pub version: Option<VersionId>,
    /// The model that an adapter belongs to.
    pub adapter_of: Option<ModelName>,
    /// The role in which the engine runs the model.
    pub role: Role,
    /// The address from which the engine reads the weights.
    pub weights: SocketAddr,
    /// The size of the weights, in bytes.
    pub bytes: u64,
}

/// The load that an engine reports. It may be out of date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of requests waiting to join the batch.
    pub waiting: u32,
}

/// A request to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamCall {
    /// The request id.
    pub request: RequestId,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
    /// Requests with a higher priority are run first.
    pub priority: u8,
    /// Milliseconds left until the request's deadline.
    pub time_left_ms: u64,
}

/// The body of a response, read in parts.
#[async_trait]
pub trait AnswerBody: Send {
    /// Returns the next part, or `None` at the end of a complete body. Fails with `CutShort` if the body ends early.
    async fn next(&mut self) -> Result<Option<Vec<u8>>>;
}

/// The response of an upstream.
pub struct UpstreamResponse {
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: String,
    /// The backoff that the upstream requests, in milliseconds, if it rejected the call because it is overloaded.
    pub retry_after_ms: Option<u64>,
    /// The body.
    pub body: Box<dyn AnswerBody>,
}

/// A model engine.
#[async_trait]
pub trait ModelEngine: Send + Sync {
    /// Sends an order and returns when it has taken effect. Fails with `OldEpoch` if the engine has seen a higher
    /// epoch.
    async fn order(&self, order: &EngineOrder) -> Result<()>;
    /// Forwards a request. Fails with `Unreachable` if nothing was sent.
    async fn call(&self, call: UpstreamCall) -> Result<UpstreamResponse>;
    /// Cancels a request.
    async fn cancel(&self, request: RequestId) -> Result<()>;
    /// Reads the load that the engine reports.
    async fn load(&self) -> Result<EngineLoad>;
}

/// A plain service.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Forwards a request. Fails with `Unreachable` if nothing was sent.
    async fn call(&self, call: UpstreamCall) -> Result<UpstreamResponse>;
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
