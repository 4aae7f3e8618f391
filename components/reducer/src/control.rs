//! What every daemon does, whatever its role: it keeps the member list and the configuration.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use fleet::{Configuration, Instance, InstanceId, Millis, Revision};
use wire::{Datagram, DatagramBody, MemberRecord};

use crate::members::{Members, Outgoing};
use crate::Seed;

/// How many members hear at once of a new revision; each of them passes it on.
const REVISION_FANOUT: usize = 4;
/// How many members hear at once that this daemon stops.
const LEAVE_FANOUT: usize = 8;
/// The shortest time between two reads of the table by one daemon, in milliseconds.
const TABLE_POLL: u64 = 2000;
/// What each daemon adds to that time, in milliseconds: the fleet together reads the table at most
/// twenty times a second, however large it grows.
const TABLE_POLL_PER_DAEMON: u64 = 50;
/// Time between two reads of the instance list, in milliseconds, with the same share per daemon.
const LIST_POLL: u64 = 2000;
/// How soon the list is read when instances are missing in it, in milliseconds; at least one for
/// each daemon, which spreads the reads of a large fleet.
const HASTE: u64 = 100;
/// How long to wait for the contents of a revision before asking another peer, in milliseconds.
const FETCH_TIME: u64 = 1000;
/// How often a daemon that cannot tell whether it is behind asks around, in milliseconds.
const ASK_EVERY: u64 = 250;
/// After a gap of this length between two ticks the daemon was paused, in milliseconds. It may have
/// missed anything, so it counts as not current until the table or its peers have been asked.
const PAUSE_TIME: u64 = 3000;
/// How many peers must confirm our revision where the table cannot be asked.
const PEERS_TO_BE_CURRENT: usize = 3;

/// What happens to the shared state of a daemon.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// The platform's list was read.
    Listed(Vec<Instance>),
    /// The table was read; `None` when it holds no configuration yet.
    TableRead(Option<Box<Configuration>>),
    /// A peer sent its configuration.
    Fetched(Box<Configuration>),
    /// A datagram arrived.
    Datagram {
        /// Where it came from.
        from: SocketAddr,
        /// What it says.
        datagram: Box<Datagram>,
    },
    /// Time passed.
    Tick,
}

/// What a daemon does about its shared state.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlEffect {
    /// Send a datagram.
    Send {
        /// To whom.
        to: SocketAddr,
        /// What.
        datagram: Box<Datagram>,
    },
    /// Read the configuration from the table.
    ReadTable,
    /// Read the platform's list.
    ReadList,
    /// Ask a peer for its configuration.
    Fetch {
        /// Whom.
        from: SocketAddr,
    },
    /// A higher revision came into force here.
    Applied(Revision),
}

/// The shared state of a daemon.
pub struct Control {
    /// The members.
    pub members: Members,
    configuration: Configuration,
    current: bool,
    /// Peers that said they are not ahead of us.
    agreeing: BTreeSet<InstanceId>,
    next_table: Millis,
    next_list: Millis,
    next_ask: Millis,
    last_tick: Option<Millis>,
    fetching_until: Millis,
}

impl Control {
    /// Starts with nothing known.
    pub fn new(me: MemberRecord, bytes_per_s: u64) -> Self {
        Self {
            members: Members::new(me, bytes_per_s),
            configuration: Configuration::default(),
            current: false,
            agreeing: BTreeSet::new(),
            next_table: Millis(0),
            next_list: Millis(0),
            next_ask: Millis(0),
            last_tick: None,
            fetching_until: Millis(0),
        }
    }

    /// The configuration in force here.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Whether this daemon knows that its configuration is not behind.
    pub fn is_current(&self) -> bool {
        self.current
    }

    /// Whether an instance takes no new work, by whichever route that became known.
    pub fn is_leaving(&self, id: &InstanceId) -> bool {
        self.configuration.leaving.contains(id) || self.members.is_listed_leaving(id)
    }

    /// Reads the platform's list soon, because the configuration names instances that are not known
    /// here. Not at once: whoever reads the configuration at the same moment knows as little.
    pub fn hasten_list(&mut self, now: Millis) {
        let soon = now.plus(HASTE.max(self.members.count() as u64));
        self.next_list = self.next_list.min(soon);
    }

    /// Says at once, to a few members, that this daemon takes no new work.
    pub fn announce_leave(&mut self, seed: &mut Seed) -> Vec<ControlEffect> {
        self.members.set_leaving();
        let news = self.members.push(self.configuration.revision, LEAVE_FANOUT, seed);
        news.into_iter().map(send).collect()
    }

    /// Takes in an event.
    pub fn reduce(
        &mut self,
        now: Millis,
        seed: &mut Seed,
        event: ControlEvent,
    ) -> Vec<ControlEffect> {
        match event {
            ControlEvent::Listed(list) => {
                self.members.take_list(now, list);
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
            ControlEvent::Datagram { from, datagram } => self.hear(now, seed, from, &datagram),
            ControlEvent::Tick => self.tick(now, seed),
        }
    }

    /// Takes a configuration that this daemon itself has just written.
    pub fn apply(&mut self, configuration: Configuration, seed: &mut Seed) -> Vec<ControlEffect> {
        if configuration.revision <= self.configuration.revision {
            return Vec::new();
        }
        let revision = configuration.revision;
        self.configuration = configuration;
        self.agreeing.clear();
        let news = self.members.push(revision, REVISION_FANOUT, seed);
        let mut effects = vec![ControlEffect::Applied(revision)];
        effects.extend(news.into_iter().map(send));
        effects
    }

    fn hear(
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
                self.fetching_until = now.plus(FETCH_TIME);
                effects.push(ControlEffect::Fetch { from });
            }
        } else {
            self.count_agreement(&datagram.from);
        }
        let is_news = matches!(datagram.body, DatagramBody::News);
        if is_news && datagram.revision < revision {
            // Whoever is behind hears so at once instead of at the next probe.
            let answer = self.members.build(DatagramBody::News, revision);
            effects.push(send((from, answer)));
        }
        effects
    }

    /// Doubts everything after a pause: a process that was stopped resumes as if no time had passed.
    fn notice_pause(&mut self, now: Millis) {
        let paused = self.last_tick.is_some_and(|last| now.since(last) >= Millis(PAUSE_TIME));
        self.last_tick = Some(now);
        if paused {
            self.current = false;
            self.agreeing.clear();
            self.next_table = now;
        }
    }

    fn count_agreement(&mut self, peer: &InstanceId) {
        if self.current || self.configuration.revision == Revision(0) {
            return;
        }
        self.agreeing.insert(peer.clone());
        let needed = PEERS_TO_BE_CURRENT.min(self.members.others().count());
        self.current = self.agreeing.len() >= needed;
    }

    fn tick(&mut self, now: Millis, seed: &mut Seed) -> Vec<ControlEffect> {
        self.notice_pause(now);
        let revision = self.configuration.revision;
        let outgoing = self.members.tick(now, revision, seed);
        let mut effects: Vec<ControlEffect> = outgoing.into_iter().map(send).collect();
        if !self.current && now >= self.next_ask {
            self.next_ask = now.plus(ASK_EVERY);
            let asked = self.members.ask_around(revision, PEERS_TO_BE_CURRENT, seed);
            effects.extend(asked.into_iter().map(send));
        }
        let share = self.members.count() as u64 * TABLE_POLL_PER_DAEMON;
        if now >= self.next_table {
            self.next_table = now.plus(jittered(TABLE_POLL.max(share), seed));
            effects.push(ControlEffect::ReadTable);
        }
        if now >= self.next_list {
            self.next_list = now.plus(jittered(LIST_POLL.max(share), seed));
            effects.push(ControlEffect::ReadList);
        }
        effects
    }
}

/// A span between three quarters and five quarters of the one given, so that daemons that started
/// together do not read together.
fn jittered(span: u64, seed: &mut Seed) -> u64 {
    span * 3 / 4 + seed.below(span / 2)
}

fn send((to, datagram): Outgoing) -> ControlEffect {
    ControlEffect::Send { to, datagram: Box::new(datagram) }
}
