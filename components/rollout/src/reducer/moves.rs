//! Switches the runner to a version: fetches the chunks, waits for the scheduled time and sends the order.

use fleet::{Mechanism, Millis};
use reducer::OriginShare;

use super::admission::START_MARGIN_MS;
use super::{Rollout, DRAIN_TIMEOUT_MS, LAST_ORDER_MARGIN_MS, MAX_ABORTED_REQUESTS};
use crate::event::{Effect, OrderReason};
use crate::precedence::{self, RemainingWork};
use crate::target::{Step, Target};
use crate::turns;

impl Rollout {
    /// Performs all actions that are due.
    pub(super) fn advance(&mut self, now: Millis) -> Vec<Effect> {
        let ready = self.plan.is_some() && self.versions_known && self.peers.is_some();
        if !ready || self.status.is_none() {
            // The version at the runner may be outdated regardless of the other sidecars.
            return self.retire_when_due(now).into_iter().collect();
        }
        self.follow_announcement(now);
        let mut effects = Vec::new();
        self.switch_to_newer(now);
        // Only one version is fetched at a time, because the versions share the link.
        let is_progressing = |it: &Target| it.is_fetching() && !it.is_stalled(now);
        let is_fetching_current = self.current.as_ref().is_some_and(is_progressing);
        for target in self.current.iter_mut() {
            effects.extend(target.exchange(now, false));
        }
        for target in self.next.iter_mut() {
            effects.extend(target.exchange(now, is_fetching_current));
        }
        self.finish_fetching(now);
        let peers_known_ms = now.since(self.peers_grown_at).0;
        let held_version = self.status.as_ref().and_then(|it| it.version);
        let peers = self.peers.as_deref().unwrap_or_default();
        let keeps_shares = self.options.ablation.is_enabled(Mechanism::KeptShares);
        for target in self.current.iter_mut().chain(&mut self.next) {
            if target.step == Step::Served && !keeps_shares {
                continue;
            }
            if !target.should_fetch_manifest(now, peers_known_ms, held_version) {
                continue;
            }
            let version = target.version;
            if let Some(source) =
                self.manifest_searches.source(now, version, &self.options.me, peers)
            {
                target.note_manifest_requested();
                effects.push(Effect::FetchManifest(version, source));
            }
        }
        effects.extend(self.stage_when_due(now));
        effects.extend(self.retire_when_due(now));
        effects
    }

    /// Returns whether the current version is completed before a newer one that was just announced.
    pub(super) fn is_completed_before(&self, now: Millis, newer: &Target) -> bool {
        if !self.is_enabled(Mechanism::FinishedVersions) {
            return false;
        }
        let Some(older) = &self.current else {
            return false;
        };
        if older.is_awaiting_load() {
            return true;
        }
        let (Some(scheduled_ms), true) = (older.scheduled_origin_ms(now), older.is_fetching())
        else {
            return false;
        };
        let remaining_work = self.remaining_work(older, newer);
        remaining_work.is_some_and(|(older, newer)| {
            let older = RemainingWork { origin_ms: scheduled_ms, ..older };
            precedence::completes_older(now, older, newer)
        })
    }

    /// The remaining work for two versions. `None` if the manifest of the older one is missing.
    fn remaining_work(
        &self,
        older: &Target,
        newer: &Target,
    ) -> Option<(RemainingWork, RemainingWork)> {
        let with_origin_ms = |target: &Target, origin_ms: u64| RemainingWork {
            deadline: target.announcement.deadline(self.options.version_ms).minus(START_MARGIN_MS),
            origin_ms,
        };
        let copy_ms = older.copy_ms()?;
        let newer_ms = newer.origin_ms().unwrap_or(copy_ms);
        Some((with_origin_ms(older, older.origin_ms()?), with_origin_ms(newer, newer_ms)))
    }

    /// Switches to the newer version if the previous one makes no progress or has become useless. Until then
    /// the origin is reserved for the older version, as long as that needs it and makes progress.
    fn switch_to_newer(&mut self, now: Millis) {
        let (Some(older), Some(newer)) = (&self.current, &self.next) else {
            return;
        };
        let remaining_work = self.remaining_work(older, newer);
        let is_useless = remaining_work
            .is_some_and(|(older, newer)| precedence::abandons_older(now, older, newer));
        let (Some(older), Some(newer)) = (&mut self.current, &mut self.next) else {
            return;
        };
        let abandons = older.is_fetching() && (is_useless || newer.progresses_alone(now, older));
        let share = match older.is_fetching() && older.needs_origin() && !abandons {
            false => OriginShare::Full,
            true if older.is_stalled(now) => OriginShare::ProbesOnly,
            true => OriginShare::None,
        };
        newer.set_origin_share(now, share);
        if abandons {
            self.current = self.next.take();
        }
    }

    /// Proceeds with a version once all its chunks are here.
    fn finish_fetching(&mut self, now: Millis) {
        if self.next.as_ref().is_some_and(Target::is_complete) && self.is_runner_ready_for_order() {
            self.current = self.next.take();
        }
        let order_at = self.current.as_ref().map(|it| self.order_at(now, it));
        let Some(target) = &mut self.current else {
            return;
        };
        if target.step == Step::Fetching && target.is_complete() {
            target.step = Step::Waiting(order_at.unwrap_or(now));
        }
    }

    /// The time at which the runner is ordered to load a version. A runner that serves an older version keeps
    /// serving it until a time that differs between sidecars, so that they do not all stop at once.
    fn order_at(&self, now: Millis, target: &Target) -> Millis {
        let is_serving = self.serves();
        let deadline = target.announcement.deadline(self.options.version_ms);
        let last_order_at = self
            .held_deadline()
            .map_or(deadline, |it| it.min(deadline))
            .minus(LAST_ORDER_MARGIN_MS);
        // A runner that receives no new requests need not wait.
        if !is_serving || self.holds_old_version_after_last_order() || self.is_evacuated(now) {
            return now;
        }
        if now >= last_order_at || !self.is_enabled(Mechanism::Turns) {
            return now;
        }
        let me = &self.options.me;
        let others = self.peers.iter().flatten().filter(|it| &it.id != me);
        let others = others.map(|it| (&it.place.region, &it.id));
        let all = others.chain([(&self.options.place.region, me)]);
        let (turn, count) = turns::turn(all, me, target.version);
        now.plus(last_order_at.since(now).0 * turn / count)
    }

    /// Changes the deadline. A scheduled order that would be too late for the new deadline is moved forward;
    /// none is postponed. Otherwise runners would receive their orders after a deadline that became shorter.
    pub(super) fn change_deadline(&mut self, now: Millis, version_ms: u64) {
        self.options.version_ms = version_ms;
        let order_at = self.current.as_ref().map(|it| self.order_at(now, it));
        let (Some(target), Some(order_at)) = (&mut self.current, order_at) else {
            return;
        };
        if let Step::Waiting(at) = target.step {
            target.step = Step::Waiting(at.min(order_at));
        }
    }

    /// Returns whether the runner is known not to be executing an order.
    pub(super) fn is_runner_ready_for_order(&self) -> bool {
        let is_status_current = self.status_at > self.own_order_at;
        is_status_current && self.status.as_ref().is_some_and(|it| !it.is_executing_order)
    }

    fn stage_when_due(&mut self, now: Millis) -> Option<Effect> {
        let is_ready = self.is_runner_ready_for_order();
        let is_evacuated = self.is_evacuated(now);
        if self.current.as_ref().is_some_and(|it| self.is_expired(now, it.version)) {
            return None;
        }
        let reason = self.order_reason(now);
        let target = self.current.as_mut()?;
        match target.step {
            // The scheduled time only exists to keep the runner in service, which does not apply during an
            // evacuation.
            Step::Waiting(at) if is_evacuated && now < at => {
                target.step = Step::Waiting(now);
                None
            }
            Step::Waiting(at) if now >= at && is_ready => {
                target.step = Step::Staging(reason?);
                Some(Effect::Stage(target.version))
            }
            _ => None,
        }
    }

    /// Returns whether an order may abort the requests at the runner: they are few, and other runners can
    /// complete each of them.
    pub(super) fn may_abort(&self, now: Millis, running: u32) -> bool {
        running <= MAX_ABORTED_REQUESTS && !self.pinned.may_be_running(now)
    }

    /// Returns why a scheduled order is sent now. `None` if the runner drains first.
    fn order_reason(&self, now: Millis) -> Option<OrderReason> {
        let running = self.status.as_ref()?.running;
        let is_in_transit = self.slots.has_request_in_transit(now);
        if running == 0 && !is_in_transit {
            return Some(OrderReason::Idle);
        }
        if self.may_abort(now, running) && !is_in_transit {
            return Some(OrderReason::FewRunning);
        }
        if self.is_deadline_near(now) {
            return Some(OrderReason::Deadline);
        }
        let Some(Step::Waiting(at)) = self.current.as_ref().map(|it| it.step) else {
            return None;
        };
        (now >= at.plus(DRAIN_TIMEOUT_MS)).then_some(OrderReason::DrainTimeout)
    }
}
