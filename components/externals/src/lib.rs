//! Traits for the platform's services and the upstreams, one for each service, and HTTP clients that implement them.
//!
//! Another platform is supported by implementing the traits; the code that makes decisions does not depend on an
//! implementation.

mod http_platform;
mod http_upstream;
mod traits;

pub use http_platform::{HttpInstances, HttpObjects, HttpTable, HttpWeights};
pub use http_upstream::HttpUpstream;
pub use traits::{
    AnswerBody, EngineLoad, EngineOrder, InstanceList, ModelEngine, ObjectStore, PlainService,
    Platform, Precondition, Row, TableService, UpstreamCall, UpstreamResponse, WeightStore,
};
