//! Tracks requests and parts of prompts that crash runners, and decides which requests are refused.

use errors::Code;
use fleet::{InstanceId, Millis};
use quarantine::{
    Admission, CrashEvent, CrashList, Crashes, IncarnationDigest, ListScope, RunnerLiveness,
    SubjectDigest, Subjects, UnclearEnd,
};
use rand::rngs::SmallRng;

use super::{Gateway, Progress, SelectedRunner};
use crate::event::{Arrival, AttemptOutcome, Effect, NextStep, RequestKey};

fn effects(events: impl IntoIterator<Item = CrashEvent>) -> Vec<Effect> {
    events.into_iter().map(Effect::Crash).collect()
}

impl Gateway {
    /// Refuses a quarantined request when it arrives. It would crash the next runner, with all
    /// requests running there.
    pub(super) fn refuse_quarantined(
        &mut self,
        now: Millis,
        arrival: &Arrival,
    ) -> Option<Vec<Effect>> {
        let members = &self.members;
        // Only one gateway is responsible, so that a trial of the request crashes one runner and
        // not one per gateway.
        let may_try = |digest: SubjectDigest| {
            members.responsible_count(now, &digest.to_string(), 1).is_some()
        };
        let admission = self.crashes.admit(now, arrival.key, &arrival.subjects, may_try);
        let Admission::Refused { retry_after_ms } = admission else {
            return None;
        };
        let service_state = self.chooser().service_state(now, arrival, &[]);
        let step = NextStep::Refuse { code: Code::Quarantined, retry_after_ms, service_state };
        Some(vec![Effect::Proceed(arrival.key, step)])
    }

    /// Whether a request that was admitted may no longer be sent.
    pub(super) fn is_barred(
        crashes: &Crashes<RequestKey>,
        now: Millis,
        key: RequestKey,
        progress: &Progress,
    ) -> bool {
        let admission = crashes.still_admits(now, key, &progress.arrival.subjects);
        matches!(admission, Admission::Refused { .. })
    }

    /// Bars a request from further attempts if it is quarantined now, and returns whether it is.
    pub(super) fn bar_if_quarantined(&mut self, now: Millis, key: RequestKey) -> bool {
        let Some(progress) = self.requests.get_mut(&key) else {
            return false;
        };
        let is_barred = Self::is_barred(&self.crashes, now, key, progress);
        if is_barred {
            progress.reason = Code::Quarantined;
        }
        is_barred
    }

    /// Records for a request how an attempt ended.
    pub(super) fn note_end(
        &mut self,
        now: Millis,
        subjects: &Subjects,
        selected: &SelectedRunner,
        outcome: AttemptOutcome,
    ) -> Vec<Effect> {
        if let Some(end) = self.unclear_end(now, selected, outcome) {
            let life = selected.incarnation.digest;
            let suspected = subjects.iter().filter(|it| outcome.suspects(*it));
            self.crashes.record_suspicion(now, suspected, &selected.id, life, end);
        }
        let cleared = subjects.iter().filter(|it| outcome.clears(*it));
        effects(self.crashes.note_success(now, cleared))
    }

    /// How an attempt ended, if that does not show whether its runner has crashed.
    fn unclear_end(
        &self,
        now: Millis,
        selected: &SelectedRunner,
        outcome: AttemptOutcome,
    ) -> Option<UnclearEnd> {
        if outcome.may_have_crashed() {
            return Some(UnclearEnd::Failed);
        }
        let runner = self.pool.runner(&selected.id).filter(|it| it.is_open())?;
        let is_reported = runner.load(now).is_some();
        (outcome == AttemptOutcome::EndedWithConnection)
            .then_some(UnclearEnd::LooksComplete { is_reported })
    }

    /// Decides which of the attempts that were cut off were crashes.
    pub(super) fn classify_crashes(&mut self, now: Millis) -> Vec<Effect> {
        self.crashes.ledger.forget_old(now);
        let pool = &self.pool;
        let liveness = |id: &InstanceId, incarnation: IncarnationDigest| match pool.runner(id) {
            Some(runner) if runner.incarnation.digest == incarnation => {
                RunnerLiveness::ReportedAt(runner.last_alive_at)
            }
            Some(_) | None => RunnerLiveness::Gone,
        };
        effects(self.crashes.resolve_suspicions(now, liveness))
    }

    /// Merges the crashes that other processes report.
    pub(super) fn merge_crashes(
        &mut self,
        now: Millis,
        random: &mut SmallRng,
        list: &CrashList,
    ) -> Vec<Effect> {
        let mut effects = effects(self.crashes.merge(now, list));
        if !effects.is_empty() {
            effects.extend(self.dispatch(now, random));
        }
        effects
    }

    /// The crashes to report to other processes. `draw` selects what is reported in addition to
    /// new crashes.
    pub fn crash_list(&self, now: Millis, draw: u64) -> CrashList {
        self.crashes.ledger.list(now, ListScope::Fresh, draw)
    }

    /// The incarnations that ended while running a quarantined subject. With `unrecorded`, only if
    /// the platform's store is not known to hold the quarantine.
    pub fn crashed_incarnations(
        &self,
        digest: SubjectDigest,
        unrecorded: bool,
    ) -> Option<Vec<IncarnationDigest>> {
        self.crashes.ledger.incarnations_under(digest, unrecorded)
    }

    /// The quarantined requests and parts of prompts.
    pub fn quarantined(&self) -> Vec<SubjectDigest> {
        self.crashes.ledger.quarantined()
    }

    /// The numbers of subjects suspected of crashing runners, and of those in quarantine.
    pub fn crash_counts(&self) -> (usize, usize) {
        self.crashes.ledger.count()
    }
}
