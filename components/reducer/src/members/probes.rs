//! Probes, and the suspicion of members that do not answer them.

use std::net::SocketAddr;

use fleet::{InstanceId, Millis, Revision};
use wire::{DatagramBody, MemberState};

use super::{Members, Outgoing};
use crate::Seed;

/// How long to wait for an acknowledgement before other members are asked to probe the target.
const ACK_TIMEOUT_MS: u64 = 400;
/// How long to wait for an acknowledgement before the target is suspected.
const PROBE_TIMEOUT_MS: u64 = 900;
/// How long a member is suspected before it is declared dead.
const SUSPICION_TIMEOUT_MS: u64 = 4000;
/// Number of members that are asked to probe the target.
const PROBE_HELPERS: usize = 2;
/// Number of consecutive failed probes after which this daemon is assumed to be disconnected itself.
const MAX_FAILED_PROBES: u32 = 3;
/// Every this many rounds, a dead member that is still listed is probed, so that halls that were disconnected
/// discover each other again.
const DEAD_PROBE_ROUNDS: u64 = 5;

/// A probe that waits for its acknowledgement.
pub(super) struct Probe {
    target: InstanceId,
    nonce: u64,
    sent: Millis,
    helpers_asked: bool,
}

impl Probe {
    /// Whether an acknowledgement answers this probe. Helpers answer with a nonce derived from the target.
    fn is_answered_by(&self, nonce: u64) -> bool {
        self.nonce == nonce || (self.helpers_asked && relay_nonce(&self.target) == nonce)
    }
}

impl Members {
    pub(super) fn handle_ack(&mut self, nonce: u64, revision: Revision) -> Vec<Outgoing> {
        if self.probe.as_ref().is_some_and(|probe| probe.is_answered_by(nonce)) {
            self.probe = None;
            self.failed_probes = 0;
        }
        match self.relayed_probes.remove(&nonce) {
            Some((requester, nonce)) => {
                vec![(requester, self.build(DatagramBody::Ack { nonce }, revision))]
            }
            None => Vec::new(),
        }
    }

    /// Probes a member for another daemon. The request does not contain that daemon's nonce. It is derived
    /// from the target, because a daemon has at most one probe per target.
    pub(super) fn relay(
        &mut self,
        requester: SocketAddr,
        target: &InstanceId,
        revision: Revision,
        seed: &mut Seed,
    ) -> Vec<Outgoing> {
        let Some(address) = self.members.get(target).map(|it| it.record.address) else {
            return Vec::new();
        };
        let nonce = seed.below(u64::MAX);
        if self.relayed_probes.len() >= self.count() {
            self.relayed_probes.pop_first();
        }
        self.relayed_probes.insert(nonce, (requester, relay_nonce(target)));
        vec![(address, self.build(DatagramBody::Ping { nonce }, revision))]
    }

    pub(super) fn start_probe(
        &mut self,
        now: Millis,
        revision: Revision,
        seed: &mut Seed,
    ) -> Vec<Outgoing> {
        self.round += 1;
        let probe_dead = self.round.is_multiple_of(DEAD_PROBE_ROUNDS);
        let mut targets = self.probe_targets(probe_dead);
        if targets.is_empty() {
            targets = self.probe_targets(false);
        }
        let Some((target, address)) = seed.pick(&targets).cloned() else {
            return Vec::new();
        };
        self.schedule_resends(seed);
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

    /// Asks helpers if an acknowledgement is late, and suspects the target if it does not arrive.
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
        if waited >= PROBE_TIMEOUT_MS {
            let target = probe.target.clone();
            self.probe = None;
            self.failed_probes += 1;
            self.suspect(now, &target);
            return Vec::new();
        }
        if waited < ACK_TIMEOUT_MS || probe.helpers_asked {
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
        // If consecutive probes fail, this daemon is the one that is disconnected.
        if self.failed_probes >= MAX_FAILED_PROBES {
            return;
        }
        let sends = self.sends_per_record();
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
        if self.failed_probes >= MAX_FAILED_PROBES {
            return;
        }
        let sends = self.sends_per_record();
        for member in self.members.values_mut() {
            let suspect = member.record.state == MemberState::Suspect;
            if suspect && now.since(member.since) >= Millis(SUSPICION_TIMEOUT_MS) {
                self.changes += 1;
                member.record.state = MemberState::Dead;
                member.since = now;
                member.sends_left = sends;
            }
        }
    }
}

/// The nonce with which helpers acknowledge a probe of `target`.
fn relay_nonce(target: &InstanceId) -> u64 {
    crate::seed::shared_hash(&[b"relay", target.0.as_bytes()])
}
