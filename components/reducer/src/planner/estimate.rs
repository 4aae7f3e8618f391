//! Lower bound of the time in which a version can reach its instances.

/// Link rates for the estimate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Rate of the origin's link, in bytes per second.
    pub origin_bytes_per_s: f64,
    /// Rate of an instance's link in each direction, in bytes per second.
    pub link_bytes_per_s: f64,
    /// Number of copies that may be fetched from the origin.
    pub copies: u32,
}

impl Estimate {
    /// Lower bound of the time in which `bytes` can reach `receivers` instances: the origin must send each
    /// byte once, each receiver must receive every byte, and all uplinks together must carry every copy.
    pub fn bound_seconds(&self, bytes: u64, receivers: u32) -> f64 {
        let (bytes, receivers) = (bytes as f64, f64::from(receivers));
        if receivers == 0.0 {
            return 0.0;
        }
        let total_rate = self.origin_bytes_per_s + receivers * self.link_bytes_per_s;
        let by_origin = bytes / self.origin_bytes_per_s;
        let by_receiver = bytes / self.link_bytes_per_s;
        by_origin.max(by_receiver).max(receivers * bytes / total_rate)
    }
}
