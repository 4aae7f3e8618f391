//! Membership: which daemons exist and what state each is in, learned from the platform's list and from other
//! daemons. Daemons probe each other, suspect a member before they declare it dead, and spread changes by
//! gossip (after "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol").

mod gossip;
mod probes;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fleet::{Incarnation, Instance, InstanceId, ListedState, Millis, Revision};
use wire::{Datagram, DatagramBody, MemberNews, MemberRecord, MemberState, ServingTag};

use self::probes::Probe;
use crate::Seed;

/// Interval between two probes.
const PROBE_INTERVAL_MS: u64 = 1000;
/// Interval between two gossip rounds while there are changes to send.
const GOSSIP_INTERVAL_MS: u64 = 100;
/// How long a dead member that is no longer listed is kept.
const DEAD_MEMBER_TTL_MS: u64 = 60_000;
/// Largest gossip budget that can accumulate.
const MAX_BUDGET_BYTES: f64 = 32_000.0;
/// Assumed size of a datagram without its records.
const DATAGRAM_OVERHEAD_BYTES: f64 = 90.0;
/// Assumed size of a record in a datagram.
const RECORD_BYTES: f64 = 40.0;

/// The state of another daemon, as known to this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The latest record.
    pub record: MemberRecord,
    /// When this daemon last saw its state change.
    pub since: Millis,
    /// Whether the platform's list contains it.
    pub listed: bool,
    /// How many more times the record is to be sent to other members.
    sends_left: u32,
}

impl Member {
    /// Whether the member can be asked for something.
    pub fn is_up(&self) -> bool {
        matches!(self.record.state, MemberState::Alive | MemberState::Suspect)
    }
}

/// The members, and the state of the membership protocol.
pub struct Members {
    me: MemberRecord,
    my_sends_left: u32,
    members: BTreeMap<InstanceId, Member>,
    /// The ids that the tags in short records stand for.
    ids_by_tag: BTreeMap<[u8; 8], InstanceId>,
    instances: BTreeMap<InstanceId, Instance>,
    probe: Option<Probe>,
    /// Probes made for other daemons: the nonce of this daemon, mapped to the address of the daemon that
    /// asked and the nonce it expects.
    relayed_probes: BTreeMap<u64, (SocketAddr, u64)>,
    failed_probes: u32,
    round: u64,
    next_probe: Millis,
    next_gossip: Millis,
    budget_bytes: f64,
    budget_at: Millis,
    bytes_per_s: f64,
    /// Incremented whenever something about another daemon changes.
    changes: u64,
}

/// The address of the receiver, and the datagram.
pub type Outgoing = (SocketAddr, Datagram);

impl Members {
    /// Creates the membership with this daemon alone; `bytes_per_s` is the bandwidth for gossip.
    pub fn new(me: MemberRecord, bytes_per_s: u64) -> Self {
        Self {
            me,
            my_sends_left: 1,
            members: BTreeMap::new(),
            ids_by_tag: BTreeMap::new(),
            instances: BTreeMap::new(),
            probe: None,
            relayed_probes: BTreeMap::new(),
            failed_probes: 0,
            round: 0,
            next_probe: Millis(0),
            next_gossip: Millis(0),
            budget_bytes: MAX_BUDGET_BYTES,
            budget_at: Millis(0),
            bytes_per_s: bytes_per_s as f64,
            changes: 0,
        }
    }

    /// This daemon's own record.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// All other daemons.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The state of another daemon.
    pub fn get(&self, id: &InstanceId) -> Option<&Member> {
        self.members.get(id)
    }

    /// The entry of an instance in the platform's list.
    pub fn listed(&self, id: &InstanceId) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// Whether the platform's list marks an instance as leaving.
    pub fn is_listed_leaving(&self, id: &InstanceId) -> bool {
        self.listed(id).is_some_and(|it| it.state == ListedState::Leaving)
    }

    /// A counter that is incremented whenever something about another daemon changes. Values derived from the
    /// members stay valid while it is unchanged.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// The number of daemons, including this one.
    pub fn count(&self) -> usize {
        self.members.len() + 1
    }

    /// Sets what this daemon serves; a change is sent to the other members.
    pub fn set_serving(&mut self, serving: Vec<ServingTag>) {
        if self.me.serving != serving {
            self.me.serving = serving;
            self.bump_serial();
        }
    }

    /// Marks this daemon as leaving, so that it gets no new work.
    pub fn set_leaving(&mut self) {
        if self.me.state != MemberState::Leaving {
            self.me.state = MemberState::Leaving;
            self.bump_serial();
        }
    }

    /// Updates the members from the platform's list.
    pub fn update_from_list(&mut self, now: Millis, list: Vec<Instance>) {
        self.changes += 1;
        for member in self.members.values_mut() {
            member.listed = false;
        }
        self.instances = list.into_iter().map(|it| (it.id.clone(), it)).collect();
        for instance in self.instances.values() {
            if instance.id == self.me.id {
                continue;
            }
            self.ids_by_tag.insert(MemberNews::tag_of(&instance.id), instance.id.clone());
            let member = self
                .members
                .entry(instance.id.clone())
                .or_insert_with(|| Member::from_list(now, instance));
            member.listed = true;
        }
        let is_expired = |it: &Member| {
            let dead = it.record.state == MemberState::Dead;
            dead && !it.listed && now.since(it.since) >= Millis(DEAD_MEMBER_TTL_MS)
        };
        self.members.retain(|_, member| !is_expired(member));
        self.ids_by_tag.retain(|_, id| self.members.contains_key(id));
    }

    /// Handles a datagram and returns the replies.
    pub fn receive(
        &mut self,
        now: Millis,
        from: SocketAddr,
        datagram: &Datagram,
        revision: Revision,
        seed: &mut Seed,
    ) -> Vec<Outgoing> {
        for news in &datagram.news {
            if let Some(record) = self.expand(news) {
                self.merge(now, &record);
            }
        }
        self.record_contact(now, &datagram.from, datagram.incarnation);
        match &datagram.body {
            DatagramBody::Ping { nonce } => {
                self.schedule_resends(seed);
                vec![(from, self.build(DatagramBody::Ack { nonce: *nonce }, revision))]
            }
            DatagramBody::Ack { nonce } => self.handle_ack(*nonce, revision),
            DatagramBody::PingFor { target } => self.relay(from, target, revision, seed),
            DatagramBody::News | DatagramBody::Summary { .. } | DatagramBody::Crashes(_) => {
                Vec::new()
            }
        }
    }

    /// Performs what is due: probes, expiry of suspicions and gossip.
    pub fn tick(&mut self, now: Millis, revision: Revision, seed: &mut Seed) -> Vec<Outgoing> {
        self.refill_budget(now);
        self.expire_suspects(now);
        let mut outgoing = self.check_probe(now, revision, seed);
        if now >= self.next_probe && self.probe.is_none() {
            self.next_probe = now.plus(PROBE_INTERVAL_MS);
            outgoing.extend(self.start_probe(now, revision, seed));
        }
        if now >= self.next_gossip && self.has_unsent_records() {
            self.next_gossip = now.plus(GOSSIP_INTERVAL_MS);
            outgoing.extend(self.gossip(revision, seed));
        }
        outgoing
    }

    /// Sends a datagram with changed records to `fanout` random members.
    pub fn send_to_random_members(
        &mut self,
        revision: Revision,
        fanout: usize,
        seed: &mut Seed,
    ) -> Vec<Outgoing> {
        let targets = self.up_addresses();
        let targets = seed.sample(&targets, fanout);
        targets.into_iter().map(|to| (*to, self.build(DatagramBody::News, revision))).collect()
    }

    /// Pings a few random members, whose acknowledgements contain their revisions.
    pub fn ping_random_members(
        &mut self,
        revision: Revision,
        count: usize,
        seed: &mut Seed,
    ) -> Vec<Outgoing> {
        let targets = self.up_addresses();
        let targets: Vec<SocketAddr> = seed.sample(&targets, count).into_iter().copied().collect();
        let mut ping = |to| {
            let nonce = seed.below(u64::MAX);
            (to, self.build(DatagramBody::Ping { nonce }, revision))
        };
        targets.into_iter().map(&mut ping).collect()
    }

    /// Builds a datagram with as many changed records as fit.
    pub fn build(&mut self, body: DatagramBody, revision: Revision) -> Datagram {
        let news = match body {
            DatagramBody::Summary { .. } | DatagramBody::Crashes(_) => Vec::new(),
            _ => self.collect_news(),
        };
        self.budget_bytes -= DATAGRAM_OVERHEAD_BYTES + RECORD_BYTES * news.len() as f64;
        Datagram {
            from: self.me.id.clone(),
            incarnation: self.me.incarnation,
            revision,
            body,
            news,
        }
    }

    fn bump_serial(&mut self) {
        self.me.serial += 1;
        self.my_sends_left = self.sends_per_record();
    }

    fn refill_budget(&mut self, now: Millis) {
        let span = now.since(self.budget_at).0 as f64 / 1000.0;
        self.budget_bytes = (self.budget_bytes + span * self.bytes_per_s).min(MAX_BUDGET_BYTES);
        self.budget_at = now;
    }

    fn up_addresses(&self) -> Vec<SocketAddr> {
        self.members.values().filter(|it| it.is_up()).map(|it| it.record.address).collect()
    }

    /// Updates a member that a datagram was received from directly: it is up.
    fn record_contact(&mut self, now: Millis, id: &InstanceId, incarnation: Incarnation) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        if member.record.incarnation < incarnation {
            // The member has restarted since its last record; its new record will follow.
            self.changes += 1;
            member.record.incarnation = incarnation;
            member.record.serial = 0;
            member.record.state = MemberState::Alive;
            member.record.serving.clear();
            member.since = now;
            return;
        }
        let same_incarnation = member.record.incarnation == incarnation;
        if same_incarnation && member.record.state == MemberState::Suspect {
            self.changes += 1;
            member.record.state = MemberState::Alive;
            member.since = now;
        }
    }
}

impl Member {
    /// A member as described by the platform's list, before anything was received from the daemon.
    fn from_list(now: Millis, instance: &Instance) -> Self {
        let record = MemberRecord {
            id: instance.id.clone(),
            incarnation: Incarnation(0),
            serial: 0,
            state: MemberState::Alive,
            place: instance.place.clone(),
            process: instance.process.clone(),
            address: instance.address,
            serving: Vec::new(),
        };
        Self { record, since: now, listed: true, sends_left: 0 }
    }
}
