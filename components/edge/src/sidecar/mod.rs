//! The driver of a sidecar.

mod chunk_store;
mod core;
mod directory;
mod fetches;
mod node;
mod peer_connections;
mod peers;
mod runner;

pub use self::node::SidecarNode;
