//! A handful of daemons on a network that loses, doubles and holds up datagrams. The oracle: no
//! daemon's configuration goes back, and once the faults end everyone agrees on who is up and on
//! the highest revision.

use super::*;
use crate::control::{Control, ControlEffect, ControlEvent};
use fleet::{Configuration, Place, PlanId, Process};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const DAEMONS: usize = 5;
/// Time between two steps, in milliseconds.
const STEP: u64 = 100;
/// Steps that the daemons have to agree once the faults have ended.
const SETTLE_STEPS: usize = 400;

/// What happens in one step besides the passing of time.
#[derive(Clone, Debug)]
enum Fault {
    None,
    /// Nothing that one daemon sends or is sent arrives, for some steps.
    CutOff {
        daemon: usize,
        steps: usize,
    },
    /// A daemon starts again with nothing.
    Restart {
        daemon: usize,
    },
    /// A daemon stands still for some steps and resumes as if no time had passed.
    Pause {
        daemon: usize,
        steps: usize,
    },
    /// An entry puts a change in force and holds the new configuration first.
    Change {
        daemon: usize,
    },
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => Just(Fault::None),
        2 => (0..DAEMONS, 1usize..80).prop_map(|(daemon, steps)| Fault::CutOff { daemon, steps }),
        1 => (0..DAEMONS).prop_map(|daemon| Fault::Restart { daemon }),
        1 => (0..DAEMONS, 1usize..80).prop_map(|(daemon, steps)| Fault::Pause { daemon, steps }),
        2 => (0..DAEMONS).prop_map(|daemon| Fault::Change { daemon }),
    ]
}

struct World {
    now: Millis,
    seed: Seed,
    daemons: Vec<Control>,
    cut: Vec<usize>,
    paused: Vec<usize>,
    table: Configuration,
    /// Datagrams on their way: when they arrive, from whom, to whom.
    flying: Vec<(Millis, usize, usize, Datagram)>,
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
        place: Place::default(),
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
        place: Place::default(),
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
            cut: vec![0; DAEMONS],
            paused: vec![0; DAEMONS],
            table: Configuration::default(),
            flying: Vec::new(),
            loss_percent,
        }
    }

    fn step(&mut self, fault: &Fault) {
        match fault {
            Fault::None => {}
            Fault::CutOff { daemon, steps } => self.cut[*daemon] = *steps,
            Fault::Pause { daemon, steps } => self.paused[*daemon] = *steps,
            Fault::Restart { daemon } => self.daemons[*daemon] = start(*daemon, self.now),
            Fault::Change { daemon } => {
                let plan = PlanId(format!("p{}", self.table.revision));
                self.table = self.table.apply(&plan, &fleet::Change::Leave("x".into()));
                let configuration = Box::new(self.table.clone());
                self.give(*daemon, ControlEvent::Fetched(configuration));
            }
        }
        self.now = self.now.plus(STEP);
        self.deliver();
        for number in 0..DAEMONS {
            if self.paused[number] == 0 {
                self.give(number, ControlEvent::Tick);
            }
            self.paused[number] = self.paused[number].saturating_sub(1);
            self.cut[number] = self.cut[number].saturating_sub(1);
        }
    }

    fn deliver(&mut self) {
        let due = |it: &(Millis, usize, usize, Datagram)| it.0 <= self.now;
        let (arriving, flying) = std::mem::take(&mut self.flying).into_iter().partition(due);
        self.flying = flying;
        let arriving: Vec<(Millis, usize, usize, Datagram)> = arriving;
        for (_, from, to, datagram) in arriving {
            if self.cut[from] == 0 && self.cut[to] == 0 && self.paused[to] == 0 {
                let datagram = Box::new(datagram);
                self.give(to, ControlEvent::Datagram { from: address(from), datagram });
            }
        }
    }

    /// Gives a daemon an event; its configuration must not go back.
    fn give(&mut self, number: usize, event: ControlEvent) {
        let before = self.daemons[number].configuration().revision;
        let effects = self.daemons[number].reduce(self.now, &mut self.seed, event);
        assert!(self.daemons[number].configuration().revision >= before, "reverted");
        for effect in effects {
            self.carry_out(number, effect);
        }
    }

    fn carry_out(&mut self, number: usize, effect: ControlEffect) {
        match effect {
            ControlEffect::Send { to, datagram } => self.send(number, to, *datagram),
            ControlEffect::ReadList => self.give(number, ControlEvent::Listed(list())),
            ControlEffect::Fetch { from } => {
                let peer = usize::from(from.port() - 1000);
                if self.cut[number] == 0 && self.cut[peer] == 0 {
                    let configuration = Box::new(self.daemons[peer].configuration().clone());
                    self.give(number, ControlEvent::Fetched(configuration));
                }
            }
            // The table is out for the whole test; daemons have each other.
            ControlEffect::ReadTable | ControlEffect::Applied(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, datagram: Datagram) {
        let to = usize::from(to.port() - 1000);
        let copies = if self.seed.below(20) == 0 { 2 } else { 1 };
        for _ in 0..copies {
            if self.seed.below(100) >= self.loss_percent {
                let arrives = self.now.plus(self.seed.below(300));
                self.flying.push((arrives, from, to, datagram.clone()));
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
    fn agrees_again_after_any_faults_and_never_reverts(
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
            prop_assert!(steps < SETTLE_STEPS, "no agreement after {} steps", steps);
        }
    }
}

#[test]
fn takes_a_silent_daemon_for_dead_and_the_others_for_alive() {
    let mut world = World::new(1, 0);
    for _ in 0..20 {
        world.step(&Fault::None);
    }
    for _ in 0..300 {
        world.cut[0] = 2;
        world.step(&Fault::None);
    }
    let seen = |by: usize, of: usize| world.daemons[by].members.get(&id(of)).unwrap().record.state;
    assert_eq!(seen(1, 0), MemberState::Dead);
    assert_eq!(seen(1, 2), MemberState::Alive);
}

#[test]
fn doubts_its_configuration_after_a_pause_until_peers_confirm_it() {
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
fn keeps_datagrams_within_their_bound_however_much_is_served() {
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
        let heard = Datagram {
            from: id(1),
            incarnation: Incarnation(1),
            revision: Revision(0),
            body: DatagramBody::News,
            news,
        };
        control.members.receive(Millis(0), address(1), &heard, Revision(0), &mut seed);
        let built = control.members.build(DatagramBody::News, Revision(0));
        assert!(built.news.len() > 2);
        assert!(wire::seal_datagram(&keys, &built).len() <= wire::MAX_DATAGRAM_BYTES);
    }
}
