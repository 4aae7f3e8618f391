//! Home regions: where the requests of a route or of a workspace may be served.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::id::Region;

/// The regions in which a request may be served. Each choice hands on a copy, so copies share the names.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HomeRegions(Option<Arc<BTreeSet<Region>>>);

impl HomeRegions {
    /// Every region.
    pub fn anywhere() -> Self {
        Self(None)
    }

    /// These regions only. Without any the request is not bound.
    pub fn only(regions: impl IntoIterator<Item = Region>) -> Self {
        let regions: BTreeSet<Region> = regions.into_iter().collect();
        Self((!regions.is_empty()).then(|| Arc::new(regions)))
    }

    /// The regions that are in both.
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(mine), Some(theirs)) => {
                Self(Some(Arc::new(mine.intersection(theirs).cloned().collect())))
            }
            (Some(regions), None) | (None, Some(regions)) => Self(Some(regions.clone())),
            (None, None) => Self(None),
        }
    }

    /// Whether a request may be served in a region.
    pub fn allow(&self, region: &Region) -> bool {
        self.0.as_ref().is_none_or(|it| it.contains(region))
    }

    /// Whether some region is excluded.
    pub fn is_bound(&self) -> bool {
        self.0.is_some()
    }

    /// The regions, none where the request is not bound.
    pub fn regions(&self) -> impl Iterator<Item = &Region> {
        self.0.iter().flat_map(|it| it.iter())
    }
}
