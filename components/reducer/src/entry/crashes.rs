//! Requests that crash their upstreams: what an entry notes of them, refuses, and tells the other entries.
//!
//! An agent stands beside its upstream and outlives it, so an answer that it reports as broken off is a crash without
//! waiting for signs of life.

use errors::Code;
use fleet::{InstanceId, Millis, Process, RequestId};
use quarantine::{Admission, CrashList, CrashNews, Crashes, LifeDigest, RequestDigest, Told};
use wire::DatagramBody;

use super::{Arrival, Entry, EntryEffect};
use crate::control::ControlEffect;
use crate::Seed;

/// How often other entries are told of what changed lately and of one older quarantine, in milliseconds. There are a few
/// entries, and mostly nothing to tell.
const TELL_EVERY: u64 = 1000;

/// What an entry knows of requests that crash their upstreams.
#[derive(Default)]
pub(super) struct KnownCrashes {
    crashes: Crashes<RequestId>,
    /// When the other entries are told next.
    tell_at: Millis,
}

impl Entry {
    /// Whether a request that arrives is refused because of what it does to upstreams. Each entry may try it once more
    /// when that is due.
    pub(super) fn is_quarantined(&mut self, now: Millis, arrival: &Arrival) -> bool {
        let crashes = &mut self.known_crashes.crashes;
        let admission = crashes.admit(now, arrival.request, arrival.digest, || true);
        matches!(admission, Admission::Barred { .. })
    }

    /// Whether another try of a request is held back.
    pub(super) fn is_barred(&self, now: Millis, request: RequestId, digest: RequestDigest) -> bool {
        let admission = self.known_crashes.crashes.admits(now, request, digest);
        matches!(admission, Admission::Barred { .. })
    }

    /// Notes how a try ended that may have run.
    pub(super) fn note_failure(
        &mut self,
        now: Millis,
        digest: RequestDigest,
        agent: &InstanceId,
        code: Code,
    ) -> Vec<EntryEffect> {
        if !matches!(code, Code::ConnectionLost | Code::CutShort) {
            return Vec::new();
        }
        let life = LifeDigest::of(agent, None);
        let news = self.known_crashes.crashes.note_crash(now, digest, agent.clone(), life);
        self.tell_of(now, news)
    }

    /// Notes that a request got its whole answer.
    pub(super) fn note_whole(&mut self, now: Millis, digest: RequestDigest) -> Vec<EntryEffect> {
        let news = self.known_crashes.crashes.note_success(now, digest);
        self.tell_of(now, news.into_iter().collect())
    }

    /// A request has ended.
    pub(super) fn note_gone(&mut self, request: RequestId, digest: RequestDigest) {
        self.known_crashes.crashes.end(request, digest);
    }

    /// Takes in what another entry knows.
    pub(super) fn take_crashes(&mut self, now: Millis, list: &CrashList) -> Vec<EntryEffect> {
        let news = self.known_crashes.crashes.take(now, list);
        news.into_iter().map(EntryEffect::Crash).collect()
    }

    fn tell_of(&mut self, now: Millis, news: Vec<CrashNews>) -> Vec<EntryEffect> {
        if !news.is_empty() {
            self.known_crashes.tell_at = now;
        }
        news.into_iter().map(EntryEffect::Crash).collect()
    }

    /// Tells the other entries, if it is time.
    pub(super) fn tell_entries(&mut self, now: Millis, seed: &mut Seed) -> Vec<EntryEffect> {
        if now < self.known_crashes.tell_at {
            return Vec::new();
        }
        self.known_crashes.tell_at = now.plus(TELL_EVERY);
        let ledger = &mut self.known_crashes.crashes.ledger;
        ledger.forget_old(now);
        let list = ledger.list(now, Told::Fresh, seed.below(u64::MAX));
        if list.0.is_empty() {
            return Vec::new();
        }
        let members = &mut self.control.members;
        let entries = members.others().filter(|it| it.record.process == Process::Entry);
        let addresses: Vec<_> = entries.map(|it| it.record.address).collect();
        let revision = self.control.configuration().revision;
        let datagram = self.control.members.build(DatagramBody::Crashes(list), revision);
        let tell = |to| {
            let datagram = Box::new(datagram.clone());
            EntryEffect::Control(ControlEffect::Send { to, datagram })
        };
        addresses.into_iter().map(tell).collect()
    }
}
