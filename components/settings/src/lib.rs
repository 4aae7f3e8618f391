//! Settings files in INI, read once at start and checked whole: every fault is reported at once.

mod deployment;
mod fault;
mod file;
mod reload;
mod settings;

pub use deployment::{
    BoundSettings, ColdSettings, DeploymentNode, DeploymentRole, DeploymentSettings,
    GatewaySettings, SidecarSettings, StoreSettings,
};
pub use fault::{Fault, Faults};
pub use reload::{Changed, Reload};
pub use settings::{
    AgentSettings, EntrySettings, Kind, LinkSettings, NodeSettings, PlatformSettings,
    ProfileSettings, RoleSettings, Settings,
};
