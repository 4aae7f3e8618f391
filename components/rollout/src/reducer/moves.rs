//! How the runner comes to hold a version: chunks are drawn, its turn is awaited, it is ordered.

use std::collections::BTreeSet;

use fleet::{InstanceId, Mechanism, Millis};

use super::{Rollout, DRAIN_PATIENCE, FINISH_PATIENCE, MAX_CUT, TAKE_MARGIN};
use crate::event::Effect;
use crate::target::{Step, Target};

impl Rollout {
    /// Does what is due.
    pub(super) fn advance(&mut self, now: Millis) -> Vec<Effect> {
        let ready = self.plan.is_some() && self.versions_known && self.peers.is_some();
        if !ready || self.status.is_none() {
            return Vec::new();
        }
        self.follow_name();
        let mut effects = Vec::new();
        self.give_way(now);
        // The chunks of one version at a time: they share the link.
        let drawing = self.current.as_ref().is_some_and(|it| it.step == Step::Drawing);
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
        effects
    }

    /// Turns to the newer version when the one before it does not come.
    fn give_way(&mut self, now: Millis) {
        let drawing = self.current.as_ref().is_some_and(|it| it.step == Step::Drawing);
        let waited =
            self.next.as_ref().is_some_and(|it| now.since(it.named_at).0 > FINISH_PATIENCE);
        if drawing && waited {
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
        let span = self.options.version_ms.saturating_sub(TAKE_MARGIN);
        let end = target.named_at.plus(span);
        // One that takes nothing new has nothing to wait for.
        if !serves || self.is_exposed() {
            return now;
        }
        if now >= end || !self.keeps(Mechanism::Turns) {
            return now;
        }
        let others = self.peers.iter().flatten().map(|it| &it.id);
        let ids: BTreeSet<&InstanceId> = others.chain([&self.options.me]).collect();
        let place = ids.iter().position(|id| **id == self.options.me).unwrap_or(0) as u64;
        // Each version starts at another sidecar, so that none is always the last.
        let turn = (place + target.version) % ids.len() as u64;
        now.plus(end.since(now).0 * turn / ids.len() as u64)
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
        let target = self.current.as_mut()?;
        match target.step {
            Step::Waiting(at)
                if now >= at && free && (drained || now >= at.plus(DRAIN_PATIENCE)) =>
            {
                target.step = Step::Staging;
                Some(Effect::Stage(target.version))
            }
            _ => None,
        }
    }
}
