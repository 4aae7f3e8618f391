//! Settings files in INI, read once at start and checked whole: every fault is reported at once.

mod fault;
mod file;
mod settings;

pub use fault::{Fault, Faults};
pub use settings::{
    AgentSettings, EntrySettings, Kind, LinkSettings, NodeSettings, PlatformSettings,
    ProfileSettings, RoleSettings, Settings,
};
