//! Home regions: the regions in which the requests of a route or a workspace may be served.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::id::Region;

/// The regions in which a request may be served. It is cloned for every routing decision, so clones share the
/// set.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HomeRegions(Option<Arc<BTreeSet<Region>>>);

impl HomeRegions {
    /// Allows every region.
    pub fn anywhere() -> Self {
        Self(None)
    }

    /// Allows only these regions. An empty set allows every region.
    pub fn only(regions: impl IntoIterator<Item = Region>) -> Self {
        let regions: BTreeSet<Region> = regions.into_iter().collect();
        Self((!regions.is_empty()).then(|| Arc::new(regions)))
    }

    /// The intersection of two sets.
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(mine), Some(theirs)) => {
                Self(Some(Arc::new(mine.intersection(theirs).cloned().collect())))
            }
            (Some(regions), None) | (None, Some(regions)) => Self(Some(regions.clone())),
            (None, None) => Self(None),
        }
    }

    /// Returns whether a request may be served in a region.
    pub fn allow(&self, region: &Region) -> bool {
        self.0.as_ref().is_none_or(|it| it.contains(region))
    }

    /// Returns whether the regions are restricted.
    pub fn is_bound(&self) -> bool {
        self.0.is_some()
    }

    /// The allowed regions. Empty if the regions are not restricted.
    pub fn regions(&self) -> impl Iterator<Item = &Region> {
        self.0.iter().flat_map(|it| it.iter())
    }
}
