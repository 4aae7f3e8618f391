//! Requests that crash the runners that begin them: found, remembered by all processes together, and refused.
//!
//! Pure: times come with the calls, and drivers carry lists between processes and rows to the store.

mod crashes;
mod digest;
mod ledger;
mod life;
mod record;
mod told;

pub use crashes::{Admission, CrashNews, Crashes, Sign};
pub use digest::RequestDigest;
pub use ledger::{CrashChange, CrashLedger, RequestStatus};
pub use life::LifeDigest;
pub use record::{QuarantineAnswer, QuarantineCall, QuarantineRecord};
pub use told::{CrashList, Told, ToldCrash, ToldRequest};
