//! Logs the state of a gateway at intervals.
//!
//! Lines on single changes are soon thousands of request lines back; the end of a log still contains one of
//! these lines.

use std::time::Duration;

use async_io::Timer;

use super::core::Core;

/// The time between two lines: a log that covers a few seconds contains at least one, and they are few
/// compared with the other lines of a busy gateway.
const LOG_INTERVAL: Duration = Duration::from_millis(2000);

/// Logs the state at intervals for as long as the task runs.
pub async fn log_state(core: Core) {
    loop {
        Timer::after(LOG_INTERVAL).await;
        let configuration = core.catalog().map_or(0, |it| it.version);
        let operator_age_ms = core.tables.operator.age_ms();
        let runners_age_ms = core.tables.runners.age_ms();
        let runners = core.read(|gateway| gateway.pool().len());
        let now = core.clock.now();
        let silent_halls = core.read(|gateway| gateway.pool().silent.count(now));
        let tight_homes = core.read(|gateway| gateway.tight_homes(now));
        let (gateways, sureness) =
            core.read(|it| (it.members().count(now), it.members().certainty(now).name()));
        let (cold, responsible) = core.read(|it| it.cold_runners(now));
        let (leaving, resting) = core.read(|gateway| gateway.pool().count_notices(now));
        let limited = core.read(|gateway| gateway.pool().count_limited());
        let (suspected, quarantined) = core.read(|gateway| gateway.crash_counts());
        let (under_way, waiting) = core.read(|gateway| gateway.load());
        log::info!(
            configuration = configuration,
            operator_age_ms = operator_age_ms,
            runners_age_ms = runners_age_ms,
            runners = runners,
            leaving = leaving,
            resting = resting,
            limited = limited,
            silent_halls = silent_halls,
            under_way = under_way,
            waiting = waiting,
            suspected = suspected,
            quarantined = quarantined,
            tight_homes = tight_homes,
            gateways = gateways,
            sureness = sureness,
            cold_plain_runners = cold,
            responsible_for = responsible;
            "state"
        );
    }
}
