//! Distribution of one version to this instance: which chunk is fetched next, from whom, and when the
//! origin may be asked. Every receiver decides for itself; there is no coordinator.

mod gate;
mod neighbour;
#[cfg(test)]
mod tests;
mod version;

pub use gate::Gate;
pub use neighbour::Neighbour;
pub use version::{
    Fetch, FetchSource, FetchStrategy, NeighbourLimits, OriginShare, Participant, Spread,
    SpreadEffect, SpreadOptions, SpreadPhase,
};
