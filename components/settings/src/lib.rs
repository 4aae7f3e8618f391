//! Settings files in INI format. A file is validated as a whole, and all of its faults are reported together.

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
