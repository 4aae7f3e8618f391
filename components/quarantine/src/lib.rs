//! Requests that crash the runners that begin them: found, remembered by all processes together, and refused.
//!
//! Pure: times come with the calls, and drivers carry lists between processes and rows to the store.

mod crashes;
mod digest;
mod ledger;
mod record;

pub use crashes::{Admission, CrashNews, Crashes, Sign};
pub use digest::RequestDigest;
pub use ledger::{
    CrashChange, CrashLedger, CrashList, LifeDigest, RequestStatus, Told, ToldCrash, ToldRequest,
};
pub use record::{QuarantineAnswer, QuarantineCall, QuarantineRecord};
