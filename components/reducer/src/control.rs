//! State that every daemon keeps, whatever its role: the member list and the configuration.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use fleet::{Configuration, Instance, InstanceId, Millis, Revision};
use wire::{Datagram, DatagramBody, MemberRecord};

use crate::members::{Members, Outgoing};
use crate::Seed;

/// Number of members that are informed at once of a new revision; each of them forwards it.
const REVISION_FANOUT: usize = 4;
/// Number of members that are informed at once that this daemon stops.
const LEAVE_FANOUT: usize = 8;
/// Shortest interval between two reads of the table by one daemon.
const TABLE_POLL_MS: u64 = 2000;
/// Lengthens the interval by this time per daemon, which limits the whole fleet to twenty reads of the table
/// a second.
const TABLE_POLL_PER_DAEMON_MS: u64 = 50;
/// Shortest interval between two reads of the instance list, lengthened in the same way.
const LIST_POLL_MS: u64 = 2000;
/// Shortest delay before the list is read because instances are missing in it. The delay is at least one
/// millisecond per daemon, which spreads the reads of a large fleet.
const EARLY_LIST_READ_MS: u64 = 100;
/// How long to wait for a configuration before another peer is asked for it.
const FETCH_TIMEOUT_MS: u64 = 1000;
/// Interval at which a daemon that does not know whether its configuration is up to date asks its peers.
const PEER_CHECK_INTERVAL_MS: u64 = 250;
/// A gap of this length between two ticks means that the process was suspended. It may have missed any
/// message, so its configuration counts as not up to date until the table or its peers have been asked.
const SUSPENSION_GAP_MS: u64 = 3000;
/// Number of peers that must confirm the revision of this daemon if the table cannot be read.
const PEERS_TO_CONFIRM: usize = 3;

/// An event concerning the shared state of a daemon.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// The platform's list was read.
    Listed(Vec<Instance>),
    /// The table was read; `None` if it holds no configuration yet.
    TableRead(Option<Box<Configuration>>),
    /// A peer sent its configuration.
    Fetched(Box<Configuration>),
    /// A datagram arrived.
    Datagram {
        /// The address of the sender.
        from: SocketAddr,
        /// The datagram.
        datagram: Box<Datagram>,
    },
    /// The periodic timer fired.
    Tick,
}

/// An action to perform for the shared state of a daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEffect {
    /// Send a datagram.
    Send {
        /// The address of the receiver.
        to: SocketAddr,
        /// The datagram.
        datagram: Box<Datagram>,
    },
    /// Read the configuration from the table.
    ReadTable,
    /// Read the platform's list.
    ReadList,
    /// Ask a peer for its configuration.
    Fetch {
        /// The address of the peer.
        from: SocketAddr,
    },
    /// A higher revision is in force on this daemon.
    Applied(Revision),
}

/// The state that every daemon keeps.
pub struct Control {
    /// The members.
    pub members: Members,
    configuration: Configuration,
    current: bool,
    /// Peers that have reported a revision no higher than this daemon's.
    agreeing_peers: BTreeSet<InstanceId>,
    next_table_read: Millis,
    next_list_read: Millis,
    next_peer_check: Millis,
    last_tick: Option<Millis>,
    fetching_until: Millis,
}

impl Control {
    /// Creates the state without members or configuration.
    pub fn new(me: MemberRecord, bytes_per_s: u64) -> Self {
        Self {
            members: Members::new(me, bytes_per_s),
            configuration: Configuration::default(),
            current: false,
            agreeing_peers: BTreeSet::new(),
            next_table_read: Millis(0),
            next_list_read: Millis(0),
            next_peer_check: Millis(0),
            last_tick: None,
            fetching_until: Millis(0),
        }
    }

    /// The configuration in force on this daemon.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Whether this daemon knows that its configuration is up to date.
    pub fn is_current(&self) -> bool {
        self.current
    }

    /// Whether an instance takes no new work, according to the configuration or the platform's list.
    pub fn is_leaving(&self, id: &InstanceId) -> bool {
        self.configuration.leaving.contains(id) || self.members.is_listed_leaving(id)
    }

    /// Schedules an early read of the platform's list, because the configuration names instances that are
    /// missing in it. The read is delayed, because all daemons that receive the configuration at the same
    /// time lack the same instances.
    pub fn schedule_list_read(&mut self, now: Millis) {
        let read_at = now.plus(EARLY_LIST_READ_MS.max(self.members.count() as u64));
        self.next_list_read = self.next_list_read.min(read_at);
    }

    /// Informs a few members at once that this daemon takes no new work.
    pub fn announce_leave(&mut self, seed: &mut Seed) -> Vec<ControlEffect> {
        self.members.set_leaving();
        let outgoing =
            self.members.send_to_random_members(self.configuration.revision, LEAVE_FANOUT, seed);
        outgoing.into_iter().map(send).collect()
    }

    /// Handles an event.
    pub fn reduce(
        &mut self,
        now: Millis,
        seed: &mut Seed,
        event: ControlEvent,
    ) -> Vec<ControlEffect> {
        match event {
            ControlEvent::Listed(list) => {
                self.members.update_from_list(now, list);
                Vec::new()
            }
            ControlEvent::TableRead(found) => {
                let effects = self.apply(found.map(|it| *it).unwrap_or_default(), seed);
                self.current = true;
                effects
            }
            ControlEvent::Fetched(configuration) => {
                self.fetching_until = Millis(0);
                self.apply(*configuration, seed)
            }
            ControlEvent::Datagram { from, datagram } => {
                self.handle_datagram(now, seed, from, &datagram)
            }
            ControlEvent::Tick => self.tick(now, seed),
        }
    }

    /// Applies a configuration if its revision is higher, and informs a few members at once.
    pub fn apply(&mut self, configuration: Configuration, seed: &mut Seed) -> Vec<ControlEffect> {
        if configuration.revision <= self.configuration.revision {
            return Vec::new();
        }
        let revision = configuration.revision;
        self.configuration = configuration;
        self.agreeing_peers.clear();
        let outgoing = self.members.send_to_random_members(revision, REVISION_FANOUT, seed);
        let mut effects = vec![ControlEffect::Applied(revision)];
        effects.extend(outgoing.into_iter().map(send));
        effects
    }

    fn handle_datagram(
        &mut self,
        now: Millis,
        seed: &mut Seed,
        from: SocketAddr,
        datagram: &Datagram,
    ) -> Vec<ControlEffect> {
        let revision = self.configuration.revision;
        let answers = self.members.receive(now, from, datagram, revision, seed);
        let mut effects: Vec<ControlEffect> = answers.into_iter().map(send).collect();
        if datagram.revision > revision {
            if now >= self.fetching_until {
                self.fetching_until = now.plus(FETCH_TIMEOUT_MS);
                effects.push(ControlEffect::Fetch { from });
            }
        } else {
            self.record_agreement(&datagram.from);
        }
        let is_news = matches!(datagram.body, DatagramBody::News);
        if is_news && datagram.revision < revision {
            // A peer that is behind is informed at once, without waiting for the next probe.
            let answer = self.members.build(DatagramBody::News, revision);
            effects.push(send((from, answer)));
        }
        effects
    }

    /// Marks the configuration as not up to date after a gap between ticks: a suspended process resumes as if
    /// no time had passed.
    fn detect_suspension(&mut self, now: Millis) {
        let is_suspended =
            self.last_tick.is_some_and(|last| now.since(last) >= Millis(SUSPENSION_GAP_MS));
        self.last_tick = Some(now);
        if is_suspended {
            self.current = false;
            self.agreeing_peers.clear();
            self.next_table_read = now;
        }
    }

    fn record_agreement(&mut self, peer: &InstanceId) {
        if self.current || self.configuration.revision == Revision(0) {
            return;
        }
        self.agreeing_peers.insert(peer.clone());
        let needed = PEERS_TO_CONFIRM.min(self.members.others().count());
        self.current = self.agreeing_peers.len() >= needed;
    }

    fn tick(&mut self, now: Millis, seed: &mut Seed) -> Vec<ControlEffect> {
        self.detect_suspension(now);
        let revision = self.configuration.revision;
        let outgoing = self.members.tick(now, revision, seed);
        let mut effects: Vec<ControlEffect> = outgoing.into_iter().map(send).collect();
        if !self.current && now >= self.next_peer_check {
            self.next_peer_check = now.plus(PEER_CHECK_INTERVAL_MS);
            let pings = self.members.ping_random_members(revision, PEERS_TO_CONFIRM, seed);
            effects.extend(pings.into_iter().map(send));
        }
        let fleet_interval = self.members.count() as u64 * TABLE_POLL_PER_DAEMON_MS;
        if now >= self.next_table_read {
            self.next_table_read = now.plus(jittered(TABLE_POLL_MS.max(fleet_interval), seed));
            effects.push(ControlEffect::ReadTable);
        }
        if now >= self.next_list_read {
            self.next_list_read = now.plus(jittered(LIST_POLL_MS.max(fleet_interval), seed));
            effects.push(ControlEffect::ReadList);
        }
        effects
    }
}

/// Returns a random duration between 3/4 and 5/4 of `span`, so that daemons that started together do not read
/// at the same time.
fn jittered(span: u64, seed: &mut Seed) -> u64 {
    span * 3 / 4 + seed.below(span / 2)
}

fn send((to, datagram): Outgoing) -> ControlEffect {
    ControlEffect::Send { to, datagram: Box::new(datagram) }
}
