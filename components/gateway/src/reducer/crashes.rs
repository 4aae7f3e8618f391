//! Requests that runners crash under: what is noted of them, and which are refused.

use errors::Code;
use fleet::{InstanceId, Millis};
use quarantine::{Admission, CrashList, CrashNews, Crashes, LifeDigest, RequestDigest, Sign, Told};
use rand::rngs::SmallRng;

use super::{Chosen, Gateway, Progress};
use crate::event::{Arrival, AttemptOutcome, Effect, NextStep, RequestKey};

fn effects(news: impl IntoIterator<Item = CrashNews>) -> Vec<Effect> {
    news.into_iter().map(Effect::Crash).collect()
}

impl Gateway {
    /// Refuses a request in quarantine as it arrives: it would take the next runner, and all who are served there.
    pub(super) fn refuse_quarantined(
        &mut self,
        now: Millis,
        arrival: &Arrival,
    ) -> Option<Vec<Effect>> {
        let (digest, members) = (arrival.digest, &self.members);
        // One gateway is responsible, so that a request that is tried again ends one runner and not one for each.
        let may_try = || members.responsible(now, &digest.to_string(), 1).is_some();
        let admission = self.crashes.admit(now, arrival.key, digest, may_try);
        let Admission::Barred { retry_after_ms } = admission else {
            return None;
        };
        let standing = self.chooser().standing(now, arrival, &[]);
        let step = NextStep::Refuse { code: Code::Quarantined, retry_after_ms, standing };
        Some(vec![Effect::Proceed(arrival.key, step)])
    }

    /// Whether a request that was admitted is not sent on.
    pub(super) fn is_barred(
        crashes: &Crashes<RequestKey>,
        now: Millis,
        key: RequestKey,
        progress: &Progress,
    ) -> bool {
        let admission = crashes.admits(now, key, progress.arrival.digest);
        matches!(admission, Admission::Barred { .. })
    }

    /// Bars a request from another attempt if it has come into quarantine, and tells whether it has.
    pub(super) fn bar(&mut self, now: Millis, key: RequestKey) -> bool {
        let Some(progress) = self.requests.get_mut(&key) else {
            return false;
        };
        let is_barred = Self::is_barred(&self.crashes, now, key, progress);
        if is_barred {
            progress.reason = Code::Quarantined;
        }
        is_barred
    }

    /// Notes of a request how an attempt ended.
    pub(super) fn note_end(
        &mut self,
        now: Millis,
        digest: RequestDigest,
        chosen: &Chosen,
        outcome: AttemptOutcome,
    ) -> Vec<Effect> {
        if outcome.may_have_crashed() {
            self.crashes.suspect(now, digest, chosen.id.clone(), chosen.life.digest);
        }
        if !outcome.has_ended_well() {
            return Vec::new();
        }
        effects(self.crashes.note_success(now, digest))
    }

    /// Decides which of the attempts that broke off were crashes.
    pub(super) fn settle_crashes(&mut self, now: Millis) -> Vec<Effect> {
        self.crashes.ledger.forget_old(now);
        let pool = &self.pool;
        let sign = |id: &InstanceId, life: LifeDigest| match pool.runner(id) {
            Some(runner) if runner.life.digest == life => Sign::Heard(runner.heard_at),
            Some(_) | None => Sign::Over,
        };
        effects(self.crashes.settle(now, sign))
    }

    /// Takes in what others know.
    pub(super) fn take_crashes(
        &mut self,
        now: Millis,
        random: &mut SmallRng,
        list: &CrashList,
    ) -> Vec<Effect> {
        let mut effects = effects(self.crashes.take(now, list));
        if !effects.is_empty() {
            effects.extend(self.dispatch(now, random));
        }
        effects
    }

    /// What others are told of requests that runners crashed under. `draw` chooses what is told beside news.
    pub fn crash_list(&self, now: Millis, draw: u64) -> CrashList {
        self.crashes.ledger.list(now, Told::Fresh, draw)
    }

    /// The lives that ended under a request, where it is in quarantine; with `unrecorded` only where the platform's store
    /// is not known to hold that.
    pub fn lives_under(&self, digest: RequestDigest, unrecorded: bool) -> Option<Vec<LifeDigest>> {
        self.crashes.ledger.lives_under(digest, unrecorded)
    }

    /// The requests in quarantine.
    pub fn quarantined(&self) -> Vec<RequestDigest> {
        self.crashes.ledger.quarantined()
    }

    /// How many requests are suspected of crashing runners, and how many of these are in quarantine.
    pub fn crash_counts(&self) -> (usize, usize) {
        self.crashes.ledger.count()
    }
}
