//! Types that describe the fleet: instances, versions, intents, plans and configuration.

mod ablation;
mod bitmap;
mod bucket;
mod configuration;
mod evacuation;
mod homes;
mod id;
mod instance;
mod intent;
mod life;
mod manifest;
mod named;
mod plan;
mod rate_limit;
mod report;
mod rest;
mod store_place;

pub use ablation::{Ablation, Mechanism, UnknownMechanism};
pub use bitmap::Bitmap;
pub use bucket::Bucket;
pub use configuration::{
    Change, ChangeRecord, Configuration, Deployment, Placement, Release, Role,
};
pub use evacuation::{Evacuation, EvacuationChange, EvacuationList, Evacuations};
pub use homes::HomeRegions;
pub use id::{
    Hall, Incarnation, InstanceId, Millis, ModelName, PlanId, Region, RequestId, Revision,
    ServiceName, VersionId, WorkspaceId,
};
pub use instance::{Instance, ListedState, Place, Process};
pub use intent::Intent;
pub use life::{LifeChange, LifeWord};
pub use manifest::{Manifest, MAX_CHUNKS, MAX_CHUNK_BYTES, MIN_CHUNK_BYTES};
pub use named::{NamedVersion, VersionName, VersionNames};
pub use plan::{Plan, Source, Step};
pub use rate_limit::{Rate, RateLimit, RateWord, ToldLimit};
pub use report::{DeploymentStatus, MemberStatus, PlanReply, RolloutStatus, Status};
pub use rest::{rest_ms, Rest, UNREADABLE_REST_MS};
pub use store_place::StorePlace;
