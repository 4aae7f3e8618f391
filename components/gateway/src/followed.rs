//! Selects the sidecars that a gateway follows: it subscribes to them and receives their reports.
//!
//! The cost of following all sidecars is the number of gateways times the number of sidecars. Each
//! gateway therefore follows a subset whose size does not grow with the fleet: the sidecars with
//! the greatest weight for the gateway's name. The selection stays stable as other sidecars come
//! and go, and differs between gateways.

/// Maximum number of followed sidecars while the number of gateways is uncertain, and when there
/// are many gateways.
const MOST: usize = 64;
/// Number of those in the gateway's own data hall, if it has so many.
const MOST_NEAR: usize = 40;
/// Minimum number of followed sidecars, if the fleet has so many: with fewer there would be little
/// choice.
const LEAST: usize = 16;
/// Range of the mean number of gateways that follow each sidecar. Each follower costs the sidecar
/// reports.
const FOLLOWERS: std::ops::RangeInclusive<usize> = 12..=32;

/// How many sidecars a gateway follows. `gateways` is the number of gateways, if it is certain. If
/// there are few gateways, each follows more sidecars, so that no sidecar is left without a
/// follower.
pub fn most(sidecars: usize, gateways: Option<usize>) -> usize {
    let Some(gateways) = gateways.filter(|it| *it > 0) else {
        return MOST;
    };
    let share = |followers: usize| (followers * sidecars).div_ceil(gateways);
    share(*FOLLOWERS.end()).clamp(LEAST, MOST).max(share(*FOLLOWERS.start()))
}

/// A sidecar that may be followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<T> {
    /// The sidecar.
    pub sidecar: T,
    /// Weight of the sidecar for this gateway.
    pub weight: u64,
    /// Whether it is in the gateway's data hall.
    pub is_near: bool,
}

/// Selects at most `most` sidecars to follow.
pub fn choose<T>(candidates: Vec<Candidate<T>>, most: usize) -> Vec<T> {
    let (mut near, mut far): (Vec<_>, Vec<_>) = candidates.into_iter().partition(|it| it.is_near);
    let for_near = most * MOST_NEAR / MOST;
    // Capacity that one side does not need is given to the other.
    let near_count = near.len().min(for_near.max(most.saturating_sub(far.len())));
    let far_count = far.len().min(most - near_count);
    keep_heaviest(&mut near, near_count);
    keep_heaviest(&mut far, far_count);
    near.into_iter().chain(far).map(|it| it.sidecar).collect()
}

fn keep_heaviest<T>(candidates: &mut Vec<Candidate<T>>, count: usize) {
    if count < candidates.len() {
        candidates.select_nth_unstable_by_key(count, |it| std::cmp::Reverse(it.weight));
        candidates.truncate(count);
    }
}
