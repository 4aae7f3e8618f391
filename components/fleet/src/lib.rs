//! Types that describe the fleet: instances, versions, intents, plans and configuration.

mod ablation;
mod announced_versions;
mod backoff;
mod bitmap;
mod bucket;
mod configuration;
mod evacuation;
mod homes;
mod id;
mod incarnation;
mod instance;
mod intent;
mod manifest;
mod plan;
mod rate_limit;
mod report;
mod store_position;

pub use ablation::{Ablation, Mechanism, UnknownMechanism};
pub use announced_versions::{AnnouncedVersion, Announcement, Announcements};
pub use backoff::{backoff_ms, Backoff, UNREADABLE_BACKOFF_MS};
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
pub use incarnation::{IncarnationChange, IncarnationReport};
pub use instance::{Instance, ListedState, Location, Process};
pub use intent::Intent;
pub use manifest::{Manifest, MAX_CHUNKS, MAX_CHUNK_BYTES, MIN_CHUNK_BYTES};
pub use plan::{Plan, Source, Step};
pub use rate_limit::{AdvertisedLimit, Rate, RateLimit, ReportedLimit};
pub use report::{DeploymentStatus, MemberStatus, PlanReply, RolloutStatus, Status};
pub use store_position::StorePosition;
