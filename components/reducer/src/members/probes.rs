//! Probes, and what follows when they stay without an answer.

use std::net::SocketAddr;

use fleet::{InstanceId, Millis, Revision};
use wire::{DatagramBody, MemberState};

use super::{Members, Outgoing};
use crate::Seed;

/// How long an acknowledgement may take before others are asked to probe, in milliseconds.
const ACK_TIME: u64 = 400;
/// How long an acknowledgement may take before the member is suspected, in milliseconds.
const PROBE_TIME: u64 = 900;
/// How long a member is suspected before it is taken for dead, in milliseconds.
const SUSPECT_TIME: u64 = 4000;
/// How many others are asked to probe.
const PROBE_HELPERS: usize = 2;
/// After this many failed probes in a row the fault is taken to be on this side.
const OWN_FAULT_PROBES: u32 = 3;
/// Every so many rounds a dead member that is still listed is probed, so that halls that were cut
/// off find each other again.
const DEAD_PROBE_ROUNDS: u64 = 5;

/// A probe on its way.
pub(super) struct Probe {
    target: InstanceId,
    nonce: u64,
    sent: Millis,
    helpers_asked: bool,
}

impl Probe {
    /// Helpers answer with a nonce that is derived from the target.
    fn is_answered_by(&self, nonce: u64) -> bool {
        self.nonce == nonce || (self.helpers_asked && relay_nonce(&self.target) == nonce)
    }
}

impl Members {
    pub(super) fn take_ack(&mut self, nonce: u64, revision: Revision) -> Vec<Outgoing> {
        if self.probe.as_ref().is_some_and(|probe| probe.is_answered_by(nonce)) {
            self.probe = None;
            self.failed_probes = 0;
        }
        match self.relayed.remove(&nonce) {
            Some((asker, nonce)) => {
                vec![(asker, self.build(DatagramBody::Ack { nonce }, revision))]
            }
            None => Vec::new(),
        }
    }

    /// Probes a member for another daemon. The asker's nonce is not in the message: it is derived
    /// from the target, which the asker has only one probe for.
    pub(super) fn relay(
        &mut self,
        asker: SocketAddr,
        target: &InstanceId,
        revision: Revision,
        seed: &mut Seed,
    ) -> Vec<Outgoing> {
        let Some(address) = self.members.get(target).map(|it| it.record.address) else {
            return Vec::new();
        };
        let nonce = seed.below(u64::MAX);
        if self.relayed.len() >= self.count() {
            self.relayed.pop_first();
        }
        self.relayed.insert(nonce, (asker, relay_nonce(target)));
        vec![(address, self.build(DatagramBody::Ping { nonce }, revision))]
    }

    pub(super) fn start_probe(
        &mut self,
        now: Millis,
        revision: Revision,
        seed: &mut Seed,
    ) -> Vec<Outgoing> {
        self.round += 1;
        let want_dead = self.round.is_multiple_of(DEAD_PROBE_ROUNDS);
        let mut targets = self.probe_targets(want_dead);
        if targets.is_empty() {
            targets = self.probe_targets(false);
        }
        let Some((target, address)) = seed.pick(&targets).cloned() else {
            return Vec::new();
        };
        self.remind(seed);
        let nonce = seed.below(u64::MAX);
        self.probe = Some(Probe { target, nonce, sent: now, helpers_asked: false });
        vec![(address, self.build(DatagramBody::Ping { nonce }, revision))]
    }

    fn probe_targets(&self, dead: bool) -> Vec<(InstanceId, SocketAddr)> {
        let members = self.members.iter();
        let wanted = members.filter(|(_, it)| {
            let is_dead = it.record.state == MemberState::Dead;
            is_dead == dead && (!dead || it.listed)
        });
        wanted.map(|(id, it)| (id.clone(), it.record.address)).collect()
    }

    /// Asks helpers when an acknowledgement is late, and suspects the target when it stays out.
    pub(super) fn check_probe(
        &mut self,
        now: Millis,
        revision: Revision,
        seed: &mut Seed,
    ) -> Vec<Outgoing> {
        let Some(probe) = &mut self.probe else {
            return Vec::new();
        };
        let waited = now.since(probe.sent).0;
        if waited >= PROBE_TIME {
            let target = probe.target.clone();
            self.probe = None;
            self.failed_probes += 1;
            self.suspect(now, &target);
            return Vec::new();
        }
        if waited < ACK_TIME || probe.helpers_asked {
            return Vec::new();
        }
        probe.helpers_asked = true;
        let target = probe.target.clone();
        let others = self.up_addresses();
        let helpers = seed.sample(&others, PROBE_HELPERS);
        let body = DatagramBody::PingFor { target };
        helpers.into_iter().map(|to| (*to, self.build(body.clone(), revision))).collect()
    }

    fn suspect(&mut self, now: Millis, target: &InstanceId) {
        // When probe after probe fails, it is this daemon that is cut off.
        if self.failed_probes >= OWN_FAULT_PROBES {
            return;
        }
        let sends = self.news_sends();
        let Some(member) = self.members.get_mut(target) else {
            return;
        };
        if member.record.state == MemberState::Alive {
            self.changes += 1;
            member.record.state = MemberState::Suspect;
            member.since = now;
            member.sends_left = sends;
        }
    }

    pub(super) fn expire_suspects(&mut self, now: Millis) {
        if self.failed_probes >= OWN_FAULT_PROBES {
            return;
        }
        let sends = self.news_sends();
        for member in self.members.values_mut() {
            let suspect = member.record.state == MemberState::Suspect;
            if suspect && now.since(member.since) >= Millis(SUSPECT_TIME) {
                self.changes += 1;
                member.record.state = MemberState::Dead;
                member.since = now;
                member.sends_left = sends;
            }
        }
    }
}

/// The nonce that answers for a target when helpers probe it.
fn relay_nonce(target: &InstanceId) -> u64 {
    crate::seed::shared_hash(&[b"relay", target.0.as_bytes()])
}
