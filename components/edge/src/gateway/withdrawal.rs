//! Withdraws requests that have not started in time from runners with an old version.

use std::time::Duration;

use fleet::InstanceId;

use super::core::Core;

/// A request that has not started is withdrawn from the runner this long before the version's deadline, in
/// milliseconds, because the runner receives the withdrawal a little later.
const WITHDRAWAL_MARGIN_MS: u64 = 100;
/// Interval between two checks of the deadline, in milliseconds. A newer version may be announced meanwhile.
const DEADLINE_CHECK_MS: u64 = 250;

/// Waits until a request that has not started at a runner must be withdrawn, because of the version that the
/// runner holds.
pub async fn wait_for_withdrawal(core: &Core, runner: &InstanceId) {
    let mut earliest = None;
    loop {
        let now = core.clock.now();
        let deadline = core.read(|gateway| gateway.start_deadline_at(now, runner));
        earliest = earliest.into_iter().chain(deadline).min();
        let left = earliest.map(|it| it.minus(WITHDRAWAL_MARGIN_MS).since(now).0);
        if left == Some(0) {
            return;
        }
        let wait_ms = left.unwrap_or(u64::MAX).min(DEADLINE_CHECK_MS);
        uptime::sleep(Duration::from_millis(wait_ms)).await;
    }
}
