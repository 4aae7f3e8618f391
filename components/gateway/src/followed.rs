//! Selects the sidecars that a gateway follows: it subscribes to them and receives their reports.
//!
//! The cost of following all sidecars is the number of gateways times the number of sidecars. Each
//! gateway therefore follows a subset whose size does not grow with the fleet: the sidecars with
//! the greatest weight for the gateway's name. The selection stays stable as other sidecars come
//! and go, and differs between gateways.

/// Maximum number of followed sidecars while the number of gateways is uncertain, and when there
/// are many gateways.
const MAX_FOLLOWED: usize = 64;
/// Number of those in the gateway's own data hall, if it has so many.
const MAX_FOLLOWED_IN_HALL: usize = 40;
/// Minimum number of followed sidecars, if the fleet has so many: with fewer there would be little
/// choice.
const MIN_FOLLOWED: usize = 16;
/// Range of the mean number of gateways that follow each sidecar. Each follower costs the sidecar
/// reports.
const FOLLOWERS_PER_SIDECAR: std::ops::RangeInclusive<usize> = 12..=32;

/// How many sidecars a gateway follows. `gateways` is the number of gateways, if it is certain. If
/// there are few gateways, each follows more sidecars, so that no sidecar is left without a
/// follower.
pub fn most(sidecars: usize, gateways: Option<usize>) -> usize {
    let Some(gateways) = gateways.filter(|it| *it > 0) else {
        return MAX_FOLLOWED;
    };
    let share = |followers: usize| (followers * sidecars).div_ceil(gateways);
    share(*FOLLOWERS_PER_SIDECAR.end())
        .clamp(MIN_FOLLOWED, MAX_FOLLOWED)
        .max(share(*FOLLOWERS_PER_SIDECAR.start()))
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
    let (mut local, mut remote): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(|it| it.is_near);
    let local_quota = most * MAX_FOLLOWED_IN_HALL / MAX_FOLLOWED;
    // Capacity that one side does not need is given to the other.
    let local_count = local.len().min(local_quota.max(most.saturating_sub(remote.len())));
    let remote_count = remote.len().min(most - local_count);
    keep_heaviest(&mut local, local_count);
    keep_heaviest(&mut remote, remote_count);
    local.into_iter().chain(remote).map(|it| it.sidecar).collect()
}

fn keep_heaviest<T>(candidates: &mut Vec<Candidate<T>>, count: usize) {
    if count < candidates.len() {
        candidates.select_nth_unstable_by_key(count, |it| std::cmp::Reverse(it.weight));
        candidates.truncate(count);
    }
}
