//! Which daemons exist and what each is doing, learned from the platform's list and from each
//! other: probes with acknowledgements, suspicion before death, and news that spreads by gossip
//! (after "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol").

use std::collections::BTreeMap;
use std::net::SocketAddr;

use fleet::{Incarnation, Instance, InstanceId, ListedState, Millis, Revision};
use wire::{Datagram, DatagramBody, MemberNews, MemberRecord, MemberState, ServingTag};

use crate::Seed;

/// Time between two probes, in milliseconds.
const PROBE_EVERY: u64 = 1000;
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
/// Time between two rounds of news while there is news, in milliseconds.
const NEWS_EVERY: u64 = 100;
/// How many members news goes to in a round.
const NEWS_FANOUT: usize = 2;
/// News in one datagram, weighed as below, so that it stays below the datagram's bound.
const NEWS_PER_DATAGRAM: usize = 30;
/// What a whole record weighs beside a short one.
const WHOLE_WEIGHT: usize = 5;
/// Records of members picked at random in each probe, for those that missed the news.
const ANTI_ENTROPY_RECORDS: usize = 3;
/// Sends of a piece of news beyond the logarithm of the fleet.
const EXTRA_SENDS: u32 = 1;
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

/// A probe on its way.
struct Probe {
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
            DatagramBody::News | DatagramBody::Summary { .. } => Vec::new(),
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
    pub fn ask_around(
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
            DatagramBody::Summary { .. } => Vec::new(),
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

    fn news_sends(&self) -> u32 {
        // A rumour that everyone passes on ln(n) times reaches nearly all; probes carry the rest.
        (self.count() as f64).ln().ceil() as u32 + EXTRA_SENDS
    }

    fn has_news(&self) -> bool {
        self.my_sends_left > 0 || self.members.values().any(|it| it.sends_left > 0)
    }

    fn refill(&mut self, now: Millis) {
        let span = now.since(self.budget_at).0 as f64 / 1000.0;
        self.budget = (self.budget + span * self.bytes_per_s).min(BURST_BYTES);
        self.budget_at = now;
    }

    fn spread_news(&mut self, revision: Revision, seed: &mut Seed) -> Vec<Outgoing> {
        if self.budget <= 0.0 {
            return Vec::new();
        }
        self.push(revision, NEWS_FANOUT, seed)
    }

    fn up_addresses(&self) -> Vec<SocketAddr> {
        self.members.values().filter(|it| it.is_up()).map(|it| it.record.address).collect()
    }

    /// The news that was passed on least, this daemon's own first.
    fn take_news(&mut self) -> Vec<MemberNews> {
        let mut news = Vec::new();
        let mut weight = 0;
        if self.my_sends_left > 0 {
            self.my_sends_left -= 1;
            let listed = self.instances.contains_key(&self.me.id);
            weight += shorten(&self.me, listed, &mut news);
        }
        let mut fresh: Vec<&mut Member> =
            self.members.values_mut().filter(|it| it.sends_left > 0).collect();
        fresh.sort_by_key(|it| std::cmp::Reverse(it.sends_left));
        for member in fresh {
            if weight >= NEWS_PER_DATAGRAM {
                break;
            }
            member.sends_left -= 1;
            weight += shorten(&member.record, member.listed, &mut news);
        }
        news
    }

    /// Sends a few records again that someone may have missed.
    fn remind(&mut self, seed: &mut Seed) {
        self.my_sends_left = self.my_sends_left.max(1);
        let heard = self.members.iter().filter(|(_, it)| it.record.incarnation > Incarnation(0));
        let ids: Vec<InstanceId> = heard.map(|(id, _)| id.clone()).collect();
        for id in seed.sample(&ids, ANTI_ENTROPY_RECORDS) {
            if let Some(member) = self.members.get_mut(id) {
                member.sends_left = member.sends_left.max(1);
            }
        }
    }

    /// The whole record behind a piece of news; none if the name behind a tag is not known yet.
    fn expand(&self, news: &MemberNews) -> Option<MemberRecord> {
        let (tag, incarnation, serial, state, serving) = match news {
            MemberNews::Whole(record) => return Some((**record).clone()),
            MemberNews::Listed { tag, incarnation, serial, state, serving } => {
                (tag, *incarnation, *serial, *state, serving.clone())
            }
        };
        let known = if *tag == MemberNews::tag_of(&self.me.id) {
            &self.me
        } else {
            &self.members.get(self.names.get(tag)?)?.record
        };
        Some(MemberRecord { incarnation, serial, state, serving, ..known.clone() })
    }

    /// Takes in what another daemon says of a third, or of this one.
    fn merge(&mut self, now: Millis, record: &MemberRecord) {
        if record.id == self.me.id {
            self.refute(record);
            return;
        }
        let sends = self.news_sends();
        match self.members.get_mut(&record.id) {
            Some(member) if is_newer(record, &member.record) => {
                self.changes += 1;
                if member.record.state != record.state {
                    member.since = now;
                }
                member.record = record.clone();
                member.sends_left = sends;
            }
            // Others know it already, so it needs fewer sends.
            Some(member) if member.record == *record => {
                member.sends_left = member.sends_left.saturating_sub(1);
            }
            Some(_) => {}
            None => {
                self.changes += 1;
                self.names.insert(MemberNews::tag_of(&record.id), record.id.clone());
                let member = Member {
                    record: record.clone(),
                    since: now,
                    listed: self.instances.contains_key(&record.id),
                    sends_left: sends,
                };
                self.members.insert(record.id.clone(), member);
            }
        }
    }

    /// Contradicts a record that takes this daemon for suspect or dead.
    fn refute(&mut self, record: &MemberRecord) {
        if record.state == self.me.state || record.incarnation > self.me.incarnation {
            return;
        }
        if record.incarnation == self.me.incarnation && record.serial >= self.me.serial {
            self.me.serial = record.serial;
            self.renew();
        } else {
            // Whoever holds this has missed a later record.
            self.my_sends_left = self.news_sends();
        }
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

    fn take_ack(&mut self, nonce: u64, revision: Revision) -> Vec<Outgoing> {
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
    fn relay(
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

    fn start_probe(&mut self, now: Millis, revision: Revision, seed: &mut Seed) -> Vec<Outgoing> {
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
    fn check_probe(&mut self, now: Millis, revision: Revision, seed: &mut Seed) -> Vec<Outgoing> {
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

    fn expire_suspects(&mut self, now: Millis) {
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

/// Adds the shortest form of a record that its readers understand; returns what it weighs.
fn shorten(record: &MemberRecord, listed: bool, news: &mut Vec<MemberNews>) -> usize {
    if listed {
        news.push(MemberNews::listed(record));
        1
    } else {
        news.push(MemberNews::Whole(Box::new(record.clone())));
        WHOLE_WEIGHT
    }
}

/// Whether a record replaces another: a later run, a later change, or a worse state of the same.
fn is_newer(new: &MemberRecord, old: &MemberRecord) -> bool {
    let key = |it: &MemberRecord| (it.incarnation, it.serial, it.state);
    key(new) > key(old)
}

/// The nonce that answers for a target when helpers probe it.
fn relay_nonce(target: &InstanceId) -> u64 {
    crate::seed::shared_hash(&[b"relay", target.0.as_bytes()])
}

#[cfg(test)]
#[path = "members_tests.rs"]
mod tests;
