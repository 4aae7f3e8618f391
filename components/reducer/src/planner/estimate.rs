//! The least time in which a version can reach its instances.

/// Link rates for the estimate, in bytes a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The origin's link.
    pub origin_bytes_per_s: f64,
    /// An instance's link, each way.
    pub link_bytes_per_s: f64,
    /// Copies that may be drawn from the origin.
    pub copies: u32,
}

impl Estimate {
    /// The least time for `bytes` to reach `receivers` instances: the origin must send each byte
    /// once, a receiver must take each byte, and all links up together must carry every copy.
    pub fn bound_seconds(&self, bytes: u64, receivers: u32) -> f64 {
        let (bytes, receivers) = (bytes as f64, f64::from(receivers));
        if receivers == 0.0 {
            return 0.0;
        }
        let together = self.origin_bytes_per_s + receivers * self.link_bytes_per_s;
        let by_origin = bytes / self.origin_bytes_per_s;
        let by_receiver = bytes / self.link_bytes_per_s;
        by_origin.max(by_receiver).max(receivers * bytes / together)
    }
}
