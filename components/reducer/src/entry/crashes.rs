//! Handles requests that crash their upstreams: records the crashes, rejects such requests and reports them
//! to the other entries.
//!
//! An agent runs beside its upstream and outlives it, so an answer that the agent reports as incomplete
//! counts as a crash without waiting for missing reports.

use errors::Code;
use fleet::{InstanceId, Millis, Process, RequestId};
use quarantine::{
    Admission, CrashEvent, CrashList, Crashes, IncarnationDigest, ListScope, Subjects,
};
use wire::DatagramBody;

use super::{Arrival, Entry, EntryEffect};
use crate::control::ControlEffect;
use crate::Seed;

/// Interval at which the other entries receive recent changes and one older quarantine. There are few
/// entries, and usually there is nothing to send.
const REPORT_INTERVAL_MS: u64 = 1000;

/// The requests that crash their upstreams, as known to an entry.
#[derive(Default)]
pub(super) struct KnownCrashes {
    crashes: Crashes<RequestId>,
    /// When the next report to the other entries is due.
    report_at: Millis,
}

impl Entry {
    /// Whether an arriving request is rejected because it crashes upstreams. Each entry may probe the request
    /// when a probe is due.
    pub(super) fn is_quarantined(&mut self, now: Millis, arrival: &Arrival) -> bool {
        let crashes = &mut self.known_crashes.crashes;
        let admission = crashes.admit(now, arrival.request, &arrival.subjects, |_| true);
        matches!(admission, Admission::Refused { .. })
    }

    /// Whether a further attempt of a request is rejected because it crashes upstreams.
    pub(super) fn is_barred(&self, now: Millis, request: RequestId, subjects: &Subjects) -> bool {
        let admission = self.known_crashes.crashes.still_admits(now, request, subjects);
        matches!(admission, Admission::Refused { .. })
    }

    /// Records the failure of an attempt that may have run.
    pub(super) fn record_failure(
        &mut self,
        now: Millis,
        subjects: &Subjects,
        agent: &InstanceId,
        code: Code,
    ) -> Vec<EntryEffect> {
        if !matches!(code, Code::ConnectionLost | Code::CutShort) {
            return Vec::new();
        }
        let life = IncarnationDigest::of(agent, None);
        let changes = self.known_crashes.crashes.note_crash(now, subjects, agent, life);
        self.schedule_report(now, changes)
    }

    /// Records that a request received its complete answer.
    pub(super) fn record_success(&mut self, now: Millis, subjects: &Subjects) -> Vec<EntryEffect> {
        let changes = self.known_crashes.crashes.note_success(now, subjects.iter());
        self.schedule_report(now, changes)
    }

    /// Removes the crash state of a request that has ended.
    pub(super) fn remove_crash_state(&mut self, request: RequestId, subjects: &Subjects) {
        self.known_crashes.crashes.remove(request, subjects);
    }

    /// Merges a crash list from another entry.
    pub(super) fn merge_crashes(&mut self, now: Millis, list: &CrashList) -> Vec<EntryEffect> {
        let changes = self.known_crashes.crashes.merge(now, list);
        changes.into_iter().map(EntryEffect::Crash).collect()
    }

    fn schedule_report(&mut self, now: Millis, changes: Vec<CrashEvent>) -> Vec<EntryEffect> {
        if !changes.is_empty() {
            self.known_crashes.report_at = now;
        }
        changes.into_iter().map(EntryEffect::Crash).collect()
    }

    /// Sends recent changes to the other entries if a report is due.
    pub(super) fn report_to_entries(&mut self, now: Millis, seed: &mut Seed) -> Vec<EntryEffect> {
        if now < self.known_crashes.report_at {
            return Vec::new();
        }
        self.known_crashes.report_at = now.plus(REPORT_INTERVAL_MS);
        let ledger = &mut self.known_crashes.crashes.ledger;
        ledger.forget_old(now);
        let list = ledger.list(now, ListScope::Fresh, seed.below(u64::MAX));
        if list.0.is_empty() {
            return Vec::new();
        }
        let members = &mut self.control.members;
        let entries = members.others().filter(|it| it.record.process == Process::Entry);
        let addresses: Vec<_> = entries.map(|it| it.record.address).collect();
        let revision = self.control.configuration().revision;
        let datagram = self.control.members.build(DatagramBody::Crashes(list), revision);
        let send = |to| {
            let datagram = Box::new(datagram.clone());
            EntryEffect::Control(ControlEffect::Send { to, datagram })
        };
        addresses.into_iter().map(send).collect()
    }
}
