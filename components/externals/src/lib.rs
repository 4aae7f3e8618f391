//! The platform behind narrow traits, one for each service, and adapters that speak HTTP.
//!
//! The traits are the seam at which another platform is connected: no decision knows which
//! implementation stands behind them.

mod http_platform;
mod http_upstream;
mod traits;

pub use http_platform::{HttpInstances, HttpObjects, HttpTable, HttpWeights};
pub use http_upstream::HttpUpstream;
pub use traits::{
    AnswerBody, EngineLoad, EngineOrder, Expected, InstanceList, ModelEngine, ObjectStore,
    PlainService, Platform, Row, TableService, UpstreamAnswer, UpstreamCall, WeightStore,
};
