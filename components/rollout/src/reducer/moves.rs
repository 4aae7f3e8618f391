//! How the runner comes to hold a version: chunks are drawn, its turn is awaited, it is ordered.

use fleet::{Mechanism, Millis};
use reducer::OriginShare;

use super::admission::START_MARGIN;
use super::{Rollout, DRAIN_PATIENCE, MAX_CUT, TAKE_MARGIN};
use crate::event::Effect;
use crate::precedence::{self, Remainder};
use crate::target::{Step, Target};
use crate::turns;

impl Rollout {
    /// Does what is due.
    pub(super) fn advance(&mut self, now: Millis) -> Vec<Effect> {
        let ready = self.plan.is_some() && self.versions_known && self.peers.is_some();
        if !ready || self.status.is_none() {
            // What is held may be too old whoever else there is.
            return self.retire_when_due(now).into_iter().collect();
        }
        self.follow_name(now);
        let mut effects = Vec::new();
        self.give_way(now);
        // The chunks of one version at a time: they share the link.
        let comes = |it: &Target| it.is_drawn() && !it.stands_still(now);
        let drawing = self.current.as_ref().is_some_and(comes);
        for target in self.current.iter_mut() {
            effects.extend(target.exchange(now, false));
        }
        for target in self.next.iter_mut() {
            effects.extend(target.exchange(now, drawing));
        }
        self.finish_drawing(now);
        let known_for = now.since(self.peers_since).0;
        let held = self.status.as_ref().and_then(|it| it.version);
        let peers = self.peers.as_deref().unwrap_or_default();
        let keeps_shares = self.options.ablation.keeps(Mechanism::KeptShares);
        for target in self.current.iter_mut().chain(&mut self.next) {
            if target.step == Step::Served && !keeps_shares {
                continue;
            }
            if !target.wants_manifest(now, known_for, held) {
                continue;
            }
            let version = target.version;
            if let Some(source) = self.manifests.source(now, version, &self.options.me, peers) {
                target.note_asked();
                effects.push(Effect::Describe(version, source));
            }
        }
        effects.extend(self.stage_when_due(now));
        effects.extend(self.retire_when_due(now));
        effects
    }

    /// Whether the current version is finished before a newer one that has just been named.
    pub(super) fn is_finished_before(&self, now: Millis, newer: &Target) -> bool {
        if !self.keeps(Mechanism::FinishedVersions) {
            return false;
        }
        let Some(older) = &self.current else {
            return false;
        };
        if older.is_being_taken() {
            return true;
        }
        let (Some(scheduled), true) = (older.scheduled_origin_ms(now), older.is_drawn()) else {
            return false;
        };
        let remainders = self.remainders(older, newer);
        remainders.is_some_and(|(older, newer)| {
            let older = Remainder { origin_ms: scheduled, ..older };
            precedence::finishes_older(now, older, newer)
        })
    }

    /// What is left to draw of two versions. `None` where nothing is known of the older one.
    fn remainders(&self, older: &Target, newer: &Target) -> Option<(Remainder, Remainder)> {
        let of = |target: &Target, origin_ms: u64| Remainder {
            bound: target.named.bound(self.options.version_ms).minus(START_MARGIN),
            origin_ms,
        };
        let copy_ms = older.copy_ms()?;
        let newer_ms = newer.origin_ms().unwrap_or(copy_ms);
        Some((of(older, older.origin_ms()?), of(newer, newer_ms)))
    }

    /// Turns to the newer version when the one before it does not come or is of no more use. Until then the
    /// origin is left to the older one, as long as that needs it and comes.
    fn give_way(&mut self, now: Millis) {
        let (Some(older), Some(newer)) = (&self.current, &self.next) else {
            return;
        };
        let remainders = self.remainders(older, newer);
        let is_useless =
            remainders.is_some_and(|(older, newer)| precedence::leaves_older(now, older, newer));
        let (Some(older), Some(newer)) = (&mut self.current, &mut self.next) else {
            return;
        };
        let leaves = older.is_drawn() && (is_useless || newer.comes_alone(now, older));
        let share = match older.is_drawn() && older.needs_origin() && !leaves {
            false => OriginShare::Whole,
            true if older.stands_still(now) => OriginShare::Probes,
            true => OriginShare::Nothing,
        };
        newer.use_origin(now, share);
        if leaves {
            self.current = self.next.take();
        }
    }

    /// Goes on with a version once every chunk is here.
    fn finish_drawing(&mut self, now: Millis) {
        if self.next.as_ref().is_some_and(Target::is_whole) && self.is_runner_free() {
            self.current = self.next.take();
        }
        let order_at = self.current.as_ref().map(|it| self.order_at(now, it));
        let Some(target) = &mut self.current else {
            return;
        };
        if target.step == Step::Drawing && target.is_whole() {
            target.step = Step::Waiting(order_at.unwrap_or(now));
        }
    }

    /// When the runner is ordered. One that serves an older version goes on with it for a time that
    /// differs between sidecars, so that not all of them stop at once.
    fn order_at(&self, now: Millis, target: &Target) -> Millis {
        let serves = self.serves();
        let bound = target.named.bound(self.options.version_ms);
        let end = self.held_bound().map_or(bound, |it| it.min(bound)).minus(TAKE_MARGIN);
        // One that takes nothing new has nothing to wait for.
        if !serves || self.is_exposed() || self.is_evacuated(now) {
            return now;
        }
        if now >= end || !self.keeps(Mechanism::Turns) {
            return now;
        }
        let me = &self.options.me;
        let others = self.peers.iter().flatten().filter(|it| &it.id != me);
        let others = others.map(|it| (&it.place.region, &it.id));
        let all = others.chain([(&self.options.place.region, me)]);
        let (turn, count) = turns::turn(all, me, target.version);
        now.plus(end.since(now).0 * turn / count)
    }

    /// Goes on with another bound. A turn that lies later than the new bound allows is moved forward; none
    /// is put off. Otherwise runners would take their order behind a bound that became shorter.
    pub(super) fn change_bound(&mut self, now: Millis, version_ms: u64) {
        self.options.version_ms = version_ms;
        let order_at = self.current.as_ref().map(|it| self.order_at(now, it));
        let (Some(target), Some(order_at)) = (&mut self.current, order_at) else {
            return;
        };
        if let Step::Waiting(at) = target.step {
            target.step = Step::Waiting(at.min(order_at));
        }
    }

    /// Whether the runner is known to take no order now.
    pub(super) fn is_runner_free(&self) -> bool {
        let heard = self.status_at > self.own_order_at;
        heard && self.status.as_ref().is_some_and(|it| !it.busy)
    }

    fn stage_when_due(&mut self, now: Millis) -> Option<Effect> {
        let free = self.is_runner_free();
        let drained = self.status.as_ref().is_some_and(|it| it.running <= MAX_CUT)
            && !self.places.awaits_arrival(now);
        let is_evacuated = self.is_evacuated(now);
        let is_last_call = self.must_give_up(now);
        if self.current.as_ref().is_some_and(|it| self.is_past(now, it.version)) {
            return None;
        }
        let target = self.current.as_mut()?;
        match target.step {
            // Its turn was for a runner that others would miss.
            Step::Waiting(at) if is_evacuated && now < at => {
                target.step = Step::Waiting(now);
                None
            }
            Step::Waiting(at)
                if now >= at
                    && free
                    && (drained || is_last_call || now >= at.plus(DRAIN_PATIENCE)) =>
            {
                target.step = Step::Staging;
                Some(Effect::Stage(target.version))
            }
            _ => None,
        }
    }
}
