//! Runs several daemons on a network that loses, duplicates and delays datagrams. The oracle requires that no
//! daemon's configuration goes back to an earlier revision and that, once the faults end, all daemons agree
//! on who is up and on the highest revision.

use super::*;
use crate::control::{Control, ControlEffect, ControlEvent};
use fleet::{Configuration, Location, PlanId, Process};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const DAEMONS: usize = 5;
/// Time between two steps.
const STEP_MS: u64 = 100;
/// Most steps until the daemons agree after the last fault.
const MAX_RECOVERY_STEPS: usize = 400;

/// The fault of one step.
#[derive(Clone, Debug)]
enum Fault {
    None,
    /// All datagrams from and to a daemon are lost for some steps.
    Disconnect {
        daemon: usize,
        steps: usize,
    },
    /// A daemon restarts without state.
    Restart {
        daemon: usize,
    },
    /// A daemon is suspended for some steps and resumes as if no time had passed.
    Pause {
        daemon: usize,
        steps: usize,
    },
    /// A new configuration comes into force and reaches this daemon first.
    Change {
        daemon: usize,
    },
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => Just(Fault::None),
        2 => (0..DAEMONS, 1usize..80).prop_map(|(daemon, steps)| Fault::Disconnect { daemon, steps }),
        1 => (0..DAEMONS).prop_map(|daemon| Fault::Restart { daemon }),
        1 => (0..DAEMONS, 1usize..80).prop_map(|(daemon, steps)| Fault::Pause { daemon, steps }),
        2 => (0..DAEMONS).prop_map(|daemon| Fault::Change { daemon }),
    ]
}

struct World {
    now: Millis,
    seed: Seed,
    daemons: Vec<Control>,
    disconnected: Vec<usize>,
    paused: Vec<usize>,
    table: Configuration,
    /// Datagrams in transit: arrival time, sender and receiver.
    in_transit: Vec<(Millis, usize, usize, Datagram)>,
    loss_percent: u64,
}

fn id(number: usize) -> InstanceId {
    InstanceId(format!("d{number}"))
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + number as u16))
}

fn list() -> Vec<Instance> {
    let describe = |number| Instance {
        id: id(number),
        place: Location::default(),
        process: Process::Engine,
        address: address(number),
        memory_bytes: 0,
        state: ListedState::Live,
    };
    (0..DAEMONS).map(describe).collect()
}

fn start(number: usize, now: Millis) -> Control {
    let record = MemberRecord {
        id: id(number),
        incarnation: Incarnation(now.0 + 1),
        serial: 0,
        state: MemberState::Alive,
        place: Location::default(),
        process: Process::Engine,
        address: address(number),
        serving: Vec::new(),
    };
    Control::new(record, 100_000)
}

impl World {
    fn new(seed: u64, loss_percent: u64) -> Self {
        Self {
            now: Millis(0),
            seed: Seed::new(seed),
            daemons: (0..DAEMONS).map(|number| start(number, Millis(0))).collect(),
            disconnected: vec![0; DAEMONS],
            paused: vec![0; DAEMONS],
            table: Configuration::default(),
            in_transit: Vec::new(),
            loss_percent,
        }
    }

    fn step(&mut self, fault: &Fault) {
        match fault {
            Fault::None => {}
            Fault::Disconnect { daemon, steps } => self.disconnected[*daemon] = *steps,
            Fault::Pause { daemon, steps } => self.paused[*daemon] = *steps,
            Fault::Restart { daemon } => self.daemons[*daemon] = start(*daemon, self.now),
            Fault::Change { daemon } => {
                let plan = PlanId(format!("p{}", self.table.revision));
                self.table = self.table.apply(&plan, &fleet::Change::Leave("x".into()));
                let configuration = Box::new(self.table.clone());
                self.deliver_event(*daemon, ControlEvent::Fetched(configuration));
            }
        }
        self.now = self.now.plus(STEP_MS);
        self.deliver();
        for number in 0..DAEMONS {
            if self.paused[number] == 0 {
                self.deliver_event(number, ControlEvent::Tick);
            }
            self.paused[number] = self.paused[number].saturating_sub(1);
            self.disconnected[number] = self.disconnected[number].saturating_sub(1);
        }
    }

    fn deliver(&mut self) {
        let due = |it: &(Millis, usize, usize, Datagram)| it.0 <= self.now;
        let (arriving, in_transit) =
            std::mem::take(&mut self.in_transit).into_iter().partition(due);
        self.in_transit = in_transit;
        let arriving: Vec<(Millis, usize, usize, Datagram)> = arriving;
        for (_, from, to, datagram) in arriving {
            if self.disconnected[from] == 0 && self.disconnected[to] == 0 && self.paused[to] == 0 {
                let datagram = Box::new(datagram);
                self.deliver_event(to, ControlEvent::Datagram { from: address(from), datagram });
            }
        }
    }

    /// Passes an event to a daemon and checks that its configuration does not go back to an earlier revision.
    fn deliver_event(&mut self, number: usize, event: ControlEvent) {
        let before = self.daemons[number].configuration().revision;
        let effects = self.daemons[number].reduce(self.now, &mut self.seed, event);
        assert!(self.daemons[number].configuration().revision >= before, "reverted");
        for effect in effects {
            self.perform(number, effect);
        }
    }

    fn perform(&mut self, number: usize, effect: ControlEffect) {
        match effect {
            ControlEffect::Send { to, datagram } => self.send(number, to, *datagram),
            ControlEffect::ReadList => self.deliver_event(number, ControlEvent::Listed(list())),
            ControlEffect::Fetch { from } => {
                let peer = usize::from(from.port() - 1000);
                if self.disconnected[number] == 0 && self.disconnected[peer] == 0 {
                    let configuration = Box::new(self.daemons[peer].configuration().clone());
                    self.deliver_event(number, ControlEvent::Fetched(configuration));
                }
            }
            // The table is unavailable for the whole test; the daemons have only each other.
            ControlEffect::ReadTable | ControlEffect::Applied(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, datagram: Datagram) {
        let to = usize::from(to.port() - 1000);
        let copies = if self.seed.below(20) == 0 { 2 } else { 1 };
        for _ in 0..copies {
            if self.seed.below(100) >= self.loss_percent {
                let arrives = self.now.plus(self.seed.below(300));
                self.in_transit.push((arrives, from, to, datagram.clone()));
            }
        }
    }

    fn agree(&self) -> bool {
        let highest = self.daemons.iter().map(|it| it.configuration().revision).max();
        self.daemons.iter().all(|daemon| {
            let all_up = daemon.members.others().all(Member::is_up);
            let revision = Some(daemon.configuration().revision);
            all_up && daemon.members.count() == DAEMONS && revision == highest
        })
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..Default::default() })]

    #[test]
    fn converges_after_any_faults_and_never_reverts(
        seed in any::<u64>(),
        loss in 0u64..40,
        faults in proptest::collection::vec(fault(), 1..120),
    ) {
        let mut world = World::new(seed, loss);
        for fault in &faults {
            world.step(fault);
        }
        world.loss_percent = 0;
        let mut steps = 0;
        while !world.agree() {
            world.step(&Fault::None);
            steps += 1;
            prop_assert!(steps < MAX_RECOVERY_STEPS, "no agreement after {} steps", steps);
        }
    }
}

#[test]
fn declares_a_silent_daemon_dead_and_keeps_the_others_alive() {
    let mut world = World::new(1, 0);
    for _ in 0..20 {
        world.step(&Fault::None);
    }
    for _ in 0..300 {
        world.disconnected[0] = 2;
        world.step(&Fault::None);
    }
    let state_seen =
        |by: usize, of: usize| world.daemons[by].members.get(&id(of)).unwrap().record.state;
    assert_eq!(state_seen(1, 0), MemberState::Dead);
    assert_eq!(state_seen(1, 2), MemberState::Alive);
}

#[test]
fn configuration_is_not_current_after_a_suspension_until_peers_confirm_it() {
    let mut world = World::new(1, 0);
    world.step(&Fault::Change { daemon: 0 });
    let all_current = |world: &World| world.daemons.iter().all(Control::is_current);
    while !all_current(&world) {
        world.step(&Fault::None);
    }
    world.step(&Fault::Pause { daemon: 1, steps: 50 });
    for _ in 0..50 {
        world.step(&Fault::None);
    }
    assert!(!world.daemons[1].is_current());
    world.step(&Fault::Change { daemon: 2 });
    while !all_current(&world) {
        world.step(&Fault::None);
    }
    assert_eq!(world.daemons[1].configuration().revision, Revision(2));
}

#[test]
fn datagrams_stay_within_the_size_limit_for_any_number_of_served_versions() {
    let keys = wire::KeyRing::parse("a-key-for-this-test").unwrap();
    for count in [0, 1, 4, 12] {
        let mut control = start(0, Millis(0));
        let mut seed = Seed::new(1);
        let whole = (1..200).map(|number| {
            let serving = (0..count).map(|n| wire::Serving {
                model: fleet::ModelName(format!("model-{n}")),
                version: fleet::VersionId([n as u8; 32]),
                role: fleet::Role::Serve,
            });
            let mut record = start(number, Millis(u64::MAX / 4)).members.me().clone();
            record.serving = serving.map(|it| ServingTag::of(&it)).collect();
            MemberNews::Whole(Box::new(record))
        });
        let news: Vec<MemberNews> = whole.collect();
        let received = Datagram {
            from: id(1),
            incarnation: Incarnation(1),
            revision: Revision(0),
            body: DatagramBody::News,
            news,
        };
        control.members.receive(Millis(0), address(1), &received, Revision(0), &mut seed);
        let built = control.members.build(DatagramBody::News, Revision(0));
        assert!(built.news.len() > 2);
        assert!(wire::seal_datagram(&keys, &built).len() <= wire::MAX_DATAGRAM_BYTES);
    }
}
