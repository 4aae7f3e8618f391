//! The schedule of load reports to gateways.

use fleet::Millis;

/// Interval of reports to gateways in the same data hall while the load stays about the same, in
/// milliseconds.
const NEAR_INTERVAL_MS: u64 = 140;
/// Interval of reports to gateways in other data halls, in milliseconds. These gateways send most requests to
/// runners nearby, receive the load with each answer to a reservation request, and use a report for a second.
/// The number of reports grows with gateways times sidecars, so they are sent less often to the gateways that
/// need them least.
const FAR_INTERVAL_MS: u64 = 420;
/// Time per gateway in a round of reports, in milliseconds, for gateways in the same data hall and in other
/// halls. Rounds get longer with the number of gateways, as long as reports stay valid.
const PER_NEAR_GATEWAY_MS: u64 = 25;
const PER_FAR_GATEWAY_MS: u64 = 37;
/// Maximum interval between two reports to a gateway, in milliseconds. A gateway uses a report for a second.
const MAX_INTERVAL_MS: u64 = 800;

/// The number of gateways that receive reports of a sidecar.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Subscribers {
    /// Gateways in the same data hall.
    pub near: usize,
    /// Gateways in other data halls.
    pub far: usize,
}

impl Subscribers {
    fn near_interval_ms(self) -> u64 {
        (self.near as u64 * PER_NEAR_GATEWAY_MS).clamp(NEAR_INTERVAL_MS, MAX_INTERVAL_MS)
    }

    fn far_interval_ms(self) -> u64 {
        (self.far as u64 * PER_FAR_GATEWAY_MS).clamp(FAR_INTERVAL_MS, MAX_INTERVAL_MS)
    }
}

/// The gateways that receive a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// No gateway.
    Nobody,
    /// The gateways in the same data hall.
    Hall,
    /// All gateways.
    Everyone,
}

/// When the latest reports were sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reports {
    hall_sent_at: Option<Millis>,
    everyone_sent_at: Option<Millis>,
}

impl Reports {
    /// The gateways to send a report to now. `changed` tells whether the runner has started or stopped
    /// accepting requests since the last report; that is reported to all gateways at once.
    pub fn recipients(
        &mut self,
        now: Millis,
        changed: bool,
        subscribers: Subscribers,
    ) -> Recipients {
        if changed || is_due(now, self.everyone_sent_at, subscribers.far_interval_ms()) {
            (self.hall_sent_at, self.everyone_sent_at) = (Some(now), Some(now));
            return Recipients::Everyone;
        }
        if is_due(now, self.hall_sent_at, subscribers.near_interval_ms()) {
            self.hall_sent_at = Some(now);
            return Recipients::Hall;
        }
        Recipients::Nobody
    }
}

fn is_due(now: Millis, last_sent_at: Option<Millis>, interval_ms: u64) -> bool {
    last_sent_at.is_none_or(|at| now.since(at).0 >= interval_ms)
}
