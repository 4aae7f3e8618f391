//! The queue of requests that wait for a slot: which are sent, which keep waiting and which are
//! refused.

use std::collections::BTreeMap;
use std::sync::Arc;

use errors::Code;
use fleet::{Mechanism, Millis};
use quarantine::Admission;
use rand::rngs::SmallRng;
use rand::Rng;

use super::{Chosen, Gateway, Progress};
use crate::choice::Outlook;
use crate::event::{Effect, NextStep, Reach, RequestKey, RunnerTarget};

/// Retry delay when the estimate of the shortage is disabled, in milliseconds. For measurements
/// only.
const UNINFORMED_RETURN: std::ops::Range<u64> = 250..900;
/// The first reservation query, counted from one, that may wait at a sidecar. Earlier queries go to
/// runners that may have a slot at once.
const PATIENT_QUESTION: u32 = 5;
/// Maximum number of reservation queries for a later try when sidecars keep their slots for first
/// tries. They deny at once, and the queried ones are those that seem to have the most free
/// capacity.
const LATER_QUESTIONS: u32 = 4;

/// A position in the queue, ordered by priority, then first tries before later ones, then order of
/// arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub(super) priority: u8,
    pub(super) is_later: bool,
    pub(super) key: RequestKey,
}

/// The decision on a queued request.
enum Turn {
    /// Send it.
    Send(RunnerTarget),
    /// Keep it in the queue.
    Wait,
    /// End it with its final response.
    Finish,
}

/// The reaches that have no slot for a first attempt now, with the time when one of their runners
/// can serve.
type FullServices = BTreeMap<Arc<Reach>, Outlook>;

impl Progress {
    /// Whether another reservation query would only delay it: its waiting time is over, or it is a
    /// later try and sidecars keep their slots for first tries.
    fn has_asked_enough(&self, now: Millis) -> bool {
        now >= self.wait_until || (self.stands_behind() && self.asked >= LATER_QUESTIONS)
    }

    /// Whether first tries of others are served first. A request that may have run already has
    /// precedence over new ones.
    pub(super) fn stands_behind(&self) -> bool {
        self.is_later && !self.may_have_run
    }

    /// Time left of its target latency, in milliseconds: zero for a later try, and for nothing
    /// else.
    fn left_ms(&self, now: Millis) -> u64 {
        if self.stands_behind() {
            return 0;
        }
        self.aim_until.since(now).0.max(1)
    }
}

impl Gateway {
    /// Adds a new request to the queue.
    pub(super) fn enqueue(&mut self, key: RequestKey, progress: &Progress) {
        let priority = if self.keeps(Mechanism::Ranks) { progress.arrival.priority } else { 0 };
        self.queue.insert(Place { priority, is_later: progress.is_later, key });
    }

    /// Sends queued requests that have a slot, and refuses those that have waited too long.
    pub(super) fn dispatch(&mut self, now: Millis, random: &mut SmallRng) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut full = FullServices::new();
        let places: Vec<Place> = self.queue.iter().copied().collect();
        for place in places {
            match self.turn(now, random, place.key, &mut full) {
                Turn::Wait => {}
                Turn::Send(target) => {
                    self.queue.remove(&place);
                    effects.push(Effect::Proceed(place.key, NextStep::Send(target)));
                }
                Turn::Finish => {
                    self.queue.remove(&place);
                    effects.extend(self.finish_without_answer(now, random, place.key));
                }
            }
        }
        effects
    }

    /// Decides on a queued request. An unknown request is finished at once.
    fn turn(
        &mut self,
        now: Millis,
        random: &mut SmallRng,
        key: RequestKey,
        full: &mut FullServices,
    ) -> Turn {
        let Some(progress) = self.requests.get_mut(&key) else {
            return Turn::Finish;
        };
        if Self::is_barred(&self.crashes, now, key, progress) {
            progress.reason = Code::Quarantined;
            return Turn::Finish;
        }
        if self.standstill.holds() {
            if now < progress.arrival.limit {
                return Turn::Wait;
            }
            progress.reason = Code::NotReady;
            return Turn::Finish;
        }
        if progress.was_denied && progress.has_asked_enough(now) {
            if progress.stands_behind() {
                progress.reason = Code::LaterTry;
            }
            return Turn::Finish;
        }
        let first = progress.tried.is_empty();
        let reach = progress.reach.clone();
        let noted = full.get(&reach).copied();
        if noted.is_none() || !first {
            if let Some(target) = self.choose(now, random, key) {
                return Turn::Send(target);
            }
        }
        let Some(progress) = self.requests.get(&key) else {
            return Turn::Finish;
        };
        let may_be_barred = progress.arrival.homes.is_bound() || !self.pool.evacuations.is_empty();
        let outlook = match noted {
            Some(outlook) => outlook,
            None if first => {
                let outlook = self.chooser().outlook(now, &progress.arrival);
                full.insert(reach, outlook);
                outlook
            }
            // Home regions may have lost their runners, or data halls may have been evacuated,
            // since the first attempt.
            None if may_be_barred => self.chooser().outlook(now, &progress.arrival),
            None => Outlook::Serving,
        };
        if progress.waits_in_vain(now, outlook) {
            Turn::Finish
        } else {
            Turn::Wait
        }
    }

    /// Builds the final response of a request that gets none from a runner.
    pub(super) fn finish_without_answer(
        &mut self,
        now: Millis,
        random: &mut SmallRng,
        key: RequestKey,
    ) -> Vec<Effect> {
        let Some(progress) = self.requests.remove(&key) else {
            return Vec::new();
        };
        self.crashes.end(key, progress.arrival.digest);
        let barred = self.crashes.admits(now, key, progress.arrival.digest);
        let step = if progress.may_have_run {
            NextStep::GiveUp(progress.reason)
        } else {
            let chooser = self.chooser();
            let standing = chooser.standing(now, &progress.arrival, &progress.tried);
            let outlook = chooser.outlook(now, &progress.arrival);
            let all_evacuated = standing.runners > 0 && standing.evacuated == standing.runners;
            let code = match progress.refusal(outlook) {
                // Its home regions, or the crashes it causes, are more specific reasons than the
                // evacuation of all data halls.
                Code::NoHome => Code::NoHome,
                Code::Quarantined => Code::Quarantined,
                _ if all_evacuated => Code::Withdrawn,
                code => code,
            };
            let estimates = self.keeps(Mechanism::ReturnEstimate);
            let shortage = self.shortages.entry(progress.reach).or_default();
            let retry_after_ms = if let Admission::Barred { retry_after_ms } = barred {
                retry_after_ms
            } else if estimates {
                shortage.refuse(now, random, outlook, progress.short_ms)
            } else {
                random.random_range(UNINFORMED_RETURN)
            };
            NextStep::Refuse { code, retry_after_ms, standing }
        };
        vec![Effect::Proceed(key, step)]
    }

    /// Selects the best runner for a request, if any can take it.
    fn choose(
        &mut self,
        now: Millis,
        random: &mut SmallRng,
        key: RequestKey,
    ) -> Option<RunnerTarget> {
        let progress = self.requests.get(&key)?;
        let (arrival, tried) = (&progress.arrival, &progress.tried);
        let admission = self.crashes.admits(now, key, arrival.digest);
        let is_suspect = admission == Admission::Admitted { is_suspect: true };
        let (id, seen) = self.chooser().choose(now, random, arrival, tried, is_suspect)?;
        let reserve = self.asks_sidecars(arrival);
        let ablation = self.options.ablation.clone();
        let progress = self.requests.get_mut(&key)?;
        self.cold.take(now, &id);
        let has_turn = self.limits.take_turn(now, &id);
        let runner = self.pool.runner_mut(&id)?;
        runner.enter(is_suspect);
        runner.notices.rest.note_sent(key);
        let address = runner.record.address;
        let limit = runner.told_limit(now);
        let chosen = Chosen { id: id.clone(), life: runner.life, has_turn };
        progress.tried.push(id.clone());
        progress.current = Some(chosen);
        progress.is_suspect = is_suspect;
        progress.sent_at = now;
        progress.asked += 1;
        // While other runners may have a slot at once, the query does not wait at this one.
        let others = progress.asked < PATIENT_QUESTION && seen.candidates > 1;
        let others = others || !ablation.keeps(Mechanism::QueuedReservations);
        let wait_ms = if others { 0 } else { progress.wait_until.since(now).0 };
        let left_ms = progress.left_ms(now);
        // A request that may have run already has precedence over new ones.
        let unranked = progress.may_have_run || !ablation.keeps(Mechanism::Ranks);
        let rank = if unranked { 0 } else { progress.arrival.priority };
        Some(RunnerTarget { id, address, reserve, rank, left_ms, wait_ms, limit, seen })
    }
}
