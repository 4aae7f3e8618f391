//! The driver of a sidecar.

mod chunks;
mod core;
mod draws;
mod node;
mod peers;
mod runner;

pub use self::node::SidecarNode;
