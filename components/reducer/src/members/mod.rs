//! Which daemons exist and what each is doing, learned from the platform's list and from each
//! other: probes with acknowledgements, suspicion before death, and news that spreads by gossip
//! (after "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol").

mod news;
mod probes;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fleet::{Incarnation, Instance, InstanceId, ListedState, Millis, Revision};
use wire::{Datagram, DatagramBody, MemberNews, MemberRecord, MemberState, ServingTag};

use self::probes::Probe;
use crate::Seed;

/// Time between two probes, in milliseconds.
const PROBE_EVERY: u64 = 1000;
/// Time between two rounds of news while there is news, in milliseconds.
const NEWS_EVERY: u64 = 100;
/// How long a dead member that is no longer listed is remembered, in milliseconds.
const FORGET_TIME: u64 = 60_000;
/// Bytes that may be saved up for a burst of news.
const BURST_BYTES: f64 = 32_000.0;
/// What a datagram costs besides its news, in bytes.
const DATAGRAM_BYTES: f64 = 90.0;
/// What a piece of news costs, in bytes.
const NEWS_BYTES: f64 = 40.0;

/// What this daemon knows of another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The latest record.
    pub record: MemberRecord,
    /// When its state last changed here.
    pub since: Millis,
    /// Whether the platform's list names it.
    pub listed: bool,
    /// How often the record is still to be passed on.
    sends_left: u32,
}

impl Member {
    /// Whether it can be asked for something.
    pub fn is_up(&self) -> bool {
        matches!(self.record.state, MemberState::Alive | MemberState::Suspect)
    }
}

/// The members.
pub struct Members {
    me: MemberRecord,
    my_sends_left: u32,
    members: BTreeMap<InstanceId, Member>,
    /// The names behind the tags in short records.
    names: BTreeMap<[u8; 8], InstanceId>,
    instances: BTreeMap<InstanceId, Instance>,
    probe: Option<Probe>,
    /// Probes made for others: the nonce of ours, who asked and their nonce.
    relayed: BTreeMap<u64, (SocketAddr, u64)>,
    failed_probes: u32,
    round: u64,
    next_probe: Millis,
    next_news: Millis,
    budget: f64,
    budget_at: Millis,
    bytes_per_s: f64,
    /// Rises whenever something about another daemon changes.
    changes: u64,
}

/// A datagram to send.
pub type Outgoing = (SocketAddr, Datagram);

impl Members {
    /// Starts with this daemon alone; `bytes_per_s` is what news may cost.
    pub fn new(me: MemberRecord, bytes_per_s: u64) -> Self {
        Self {
            me,
            my_sends_left: 1,
            members: BTreeMap::new(),
            names: BTreeMap::new(),
            instances: BTreeMap::new(),
            probe: None,
            relayed: BTreeMap::new(),
            failed_probes: 0,
            round: 0,
            next_probe: Millis(0),
            next_news: Millis(0),
            budget: BURST_BYTES,
            budget_at: Millis(0),
            bytes_per_s: bytes_per_s as f64,
            changes: 0,
        }
    }

    /// This daemon's own record.
    pub fn me(&self) -> &MemberRecord {
        &self.me
    }

    /// Every other daemon.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// One other daemon.
    pub fn get(&self, id: &InstanceId) -> Option<&Member> {
        self.members.get(id)
    }

    /// What the platform's list says of an instance.
    pub fn listed(&self, id: &InstanceId) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// Whether the platform's list says that an instance leaves.
    pub fn is_listed_leaving(&self, id: &InstanceId) -> bool {
        self.listed(id).is_some_and(|it| it.state == ListedState::Leaving)
    }

    /// A number that rises whenever something about another daemon changes, so that what was derived
    /// from the members need not be derived again before.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// How many daemons there are, this one included.
    pub fn count(&self) -> usize {
        self.members.len() + 1
    }

    /// Sets what this daemon serves; a change becomes news.
    pub fn set_serving(&mut self, serving: Vec<ServingTag>) {
        if self.me.serving != serving {
            self.me.serving = serving;
            self.renew();
        }
    }

    /// Says that this daemon takes no new work.
    pub fn set_leaving(&mut self) {
        if self.me.state != MemberState::Leaving {
            self.me.state = MemberState::Leaving;
            self.renew();
        }
    }

    /// Takes in the platform's list.
    pub fn take_list(&mut self, now: Millis, list: Vec<Instance>) {
        self.changes += 1;
        for member in self.members.values_mut() {
            member.listed = false;
        }
        self.instances = list.into_iter().map(|it| (it.id.clone(), it)).collect();
        for instance in self.instances.values() {
            if instance.id == self.me.id {
                continue;
            }
            self.names.insert(MemberNews::tag_of(&instance.id), instance.id.clone());
            let member = self
                .members
                .entry(instance.id.clone())
                .or_insert_with(|| Member::from_list(now, instance));
            member.listed = true;
        }
        let forgotten = |it: &Member| {
            let dead = it.record.state == MemberState::Dead;
            dead && !it.listed && now.since(it.since) >= Millis(FORGET_TIME)
        };
        self.members.retain(|_, member| !forgotten(member));
        self.names.retain(|_, id| self.members.contains_key(id));
    }

    /// Takes in a datagram and gives the answers to it.
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
        self.hear(now, &datagram.from, datagram.incarnation);
        match &datagram.body {
            DatagramBody::Ping { nonce } => {
                self.remind(seed);
                vec![(from, self.build(DatagramBody::Ack { nonce: *nonce }, revision))]
            }
            DatagramBody::Ack { nonce } => self.take_ack(*nonce, revision),
            DatagramBody::PingFor { target } => self.relay(from, target, revision, seed),
            DatagramBody::News | DatagramBody::Summary { .. } | DatagramBody::Crashes(_) => {
                Vec::new()
            }
        }
    }

    /// Does what is due: probes, suspicions and news.
    pub fn tick(&mut self, now: Millis, revision: Revision, seed: &mut Seed) -> Vec<Outgoing> {
        self.refill(now);
        self.expire_suspects(now);
        let mut outgoing = self.check_probe(now, revision, seed);
        if now >= self.next_probe && self.probe.is_none() {
            self.next_probe = now.plus(PROBE_EVERY);
            outgoing.extend(self.start_probe(now, revision, seed));
        }
        if now >= self.next_news && self.has_news() {
            self.next_news = now.plus(NEWS_EVERY);
            outgoing.extend(self.spread_news(revision, seed));
        }
        outgoing
    }

    /// Sends a datagram to a few members at once, for something that cannot wait.
    pub fn push(&mut self, revision: Revision, fanout: usize, seed: &mut Seed) -> Vec<Outgoing> {
        let targets = self.up_addresses();
        let targets = seed.sample(&targets, fanout);
        targets.into_iter().map(|to| (*to, self.build(DatagramBody::News, revision))).collect()
    }

    /// Pings a few members at once, whose acknowledgements tell their revisions.
    pub fn ping_random_members(
        &mut self,
        revision: Revision,
        count: usize,
        seed: &mut Seed,
    ) -> Vec<Outgoing> {
        let targets = self.up_addresses();
        let targets: Vec<SocketAddr> = seed.sample(&targets, count).into_iter().copied().collect();
        let mut ask = |to| {
            let nonce = seed.below(u64::MAX);
            (to, self.build(DatagramBody::Ping { nonce }, revision))
        };
        targets.into_iter().map(&mut ask).collect()
    }

    /// Builds a datagram with as many records as fit, news first.
    pub fn build(&mut self, body: DatagramBody, revision: Revision) -> Datagram {
        let news = match body {
            DatagramBody::Summary { .. } | DatagramBody::Crashes(_) => Vec::new(),
            _ => self.take_news(),
        };
        self.budget -= DATAGRAM_BYTES + NEWS_BYTES * news.len() as f64;
        Datagram {
            from: self.me.id.clone(),
            incarnation: self.me.incarnation,
            revision,
            body,
            news,
        }
    }

    fn renew(&mut self) {
        self.me.serial += 1;
        self.my_sends_left = self.news_sends();
    }

    fn refill(&mut self, now: Millis) {
        let span = now.since(self.budget_at).0 as f64 / 1000.0;
        self.budget = (self.budget + span * self.bytes_per_s).min(BURST_BYTES);
        self.budget_at = now;
    }

    fn up_addresses(&self) -> Vec<SocketAddr> {
        self.members.values().filter(|it| it.is_up()).map(|it| it.record.address).collect()
    }

    /// A datagram straight from a member shows that it is up.
    fn hear(&mut self, now: Millis, id: &InstanceId, incarnation: Incarnation) {
        let Some(member) = self.members.get_mut(id) else {
            return;
        };
        if member.record.incarnation < incarnation {
            // A later run than the one we know of; its own record follows.
            self.changes += 1;
            member.record.incarnation = incarnation;
            member.record.serial = 0;
            member.record.state = MemberState::Alive;
            member.record.serving.clear();
            member.since = now;
            return;
        }
        let same_run = member.record.incarnation == incarnation;
        if same_run && member.record.state == MemberState::Suspect {
            self.changes += 1;
            member.record.state = MemberState::Alive;
            member.since = now;
        }
    }
}

impl Member {
    /// What the list says before the daemon itself has been heard of.
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
