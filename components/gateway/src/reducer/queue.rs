//! Requests that wait for a place at a runner: who is sent, who waits on and who is refused.

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

/// When callers are asked to come back where the shortage is not looked at, in milliseconds. For
/// measurements only.
const UNINFORMED_RETURN: std::ops::Range<u64> = 250..900;
/// The question for a place, counted from one, that may wait at a sidecar. The ones before it are for
/// runners that may have a place at once.
const PATIENT_QUESTION: u32 = 5;
/// How many sidecars a later try asks where they keep their places for first tries. They say so at once, and the
/// ones that are asked are those that seem to have most room.
const LATER_QUESTIONS: u32 = 4;

/// A place in the queue: rank first, then first tries before later ones, then order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub(super) priority: u8,
    pub(super) is_later: bool,
    pub(super) key: RequestKey,
}

/// What becomes of a request in the queue.
enum Turn {
    /// It is sent.
    Send(RunnerTarget),
    /// It stays where it is.
    Wait,
    /// It gets its final answer.
    Finish,
}

/// Where there is no place for a first attempt at this moment, and when some runner there serves.
type FullServices = BTreeMap<Arc<Reach>, Outlook>;

impl Progress {
    /// Whether another question for a place would only make it later: it has waited its time, or it is a later
    /// try and the sidecars keep their places for others.
    fn has_asked_enough(&self, now: Millis) -> bool {
        now >= self.wait_until || (self.stands_behind() && self.asked >= LATER_QUESTIONS)
    }

    /// Whether first tries of others go before it. What may have run already goes on before anything new.
    pub(super) fn stands_behind(&self) -> bool {
        self.is_later && !self.may_have_run
    }

    /// What is left of its aim, in milliseconds: zero for a later try and for nothing else.
    fn left_ms(&self, now: Millis) -> u64 {
        if self.stands_behind() {
            return 0;
        }
        self.aim_until.since(now).0.max(1)
    }
}

impl Gateway {
    /// Puts a request that has just arrived in the queue.
    pub(super) fn enqueue(&mut self, key: RequestKey, progress: &Progress) {
        let priority = if self.keeps(Mechanism::Ranks) { progress.arrival.priority } else { 0 };
        self.queue.insert(Place { priority, is_later: progress.is_later, key });
    }

    /// Sends what has a place and refuses what has waited too long.
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

    /// What becomes of a request in the queue now. One that is not known any more is finished at once.
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
            // Homes may have been emptied, or halls left, since the first attempt.
            None if may_be_barred => self.chooser().outlook(now, &progress.arrival),
            None => Outlook::Serving,
        };
        if progress.waits_in_vain(now, outlook) {
            Turn::Finish
        } else {
            Turn::Wait
        }
    }

    /// The final answer to a request that gets none of a runner.
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
                // Its own homes, or what it does to runners, say more than the halls of all.
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

    /// Takes the best runner for a request, if one is fit.
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
        // While others may have a place at once, the question does not wait.
        let others = progress.asked < PATIENT_QUESTION && seen.candidates > 1;
        let others = others || !ablation.keeps(Mechanism::QueuedReservations);
        let wait_ms = if others { 0 } else { progress.wait_until.since(now).0 };
        let left_ms = progress.left_ms(now);
        // What may have run already goes on before anything new.
        let unranked = progress.may_have_run || !ablation.keeps(Mechanism::Ranks);
        let rank = if unranked { 0 } else { progress.arrival.priority };
        Some(RunnerTarget { id, address, reserve, rank, left_ms, wait_ms, limit, seen })
    }
}
