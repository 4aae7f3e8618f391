//! Detection of requests, and of parts of their prompts, that crash the runners that process them. The processes of a
//! fleet share what they observe, and refuse such requests.
//!
//! The crate performs no I/O and reads no clock: callers pass the time, and drivers send lists between
//! processes and store rows.

mod crashes;
mod digest;
mod incarnation;
mod ledger;
mod messages;
mod record;
mod subjects;
mod suspicion;

pub use crashes::{Admission, CrashEvent, Crashes};
pub use digest::SubjectDigest;
pub use incarnation::IncarnationDigest;
pub use ledger::{CrashChange, CrashLedger, SubjectStatus};
pub use messages::{CrashList, CrashReport, ListScope, SubjectReport};
pub use record::{QuarantineAnswer, QuarantineCall, QuarantineRecord};
pub use subjects::Subjects;
pub use suspicion::{RunnerLiveness, UnclearEnd};
