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
pub use reload::{ChangedKey, Reload};
pub use settings::{
    AgentSettings, EntrySettings, LinkSettings, NodeSettings, PlatformSettings, ProfileSettings,
    RequestKind, RoleSettings, Settings,
};
