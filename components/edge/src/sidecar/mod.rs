//! The driver of a sidecar.

mod chunks;
mod core;
mod directory;
mod draws;
mod node;
mod peers;
mod runner;
mod streams;

pub use self::node::SidecarNode;
