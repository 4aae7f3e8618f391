//! Stateful property test of the agent's reducer. The oracle records which verified chunks were delivered,
//! which fetches are pending, and which orders the engine has executed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use std::net::SocketAddr;
use std::sync::Arc;

use super::weights::{FETCH_WINDOW, UPLOAD_QUEUE_LIMIT};
use super::*;
use crate::spread::{Fetch, FetchSource, SpreadOptions};
use crate::FetchStrategy;
use errors::Code;
use fleet::{
    Bitmap, Change, Configuration, Deployment, Hall, Incarnation, InstanceId, Location, Manifest,
    Placement, PlanId, Process, Release, Revision, Role,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use wire::{Datagram, MemberState};

const CHUNK_BYTES: u32 = 4096;
/// Most steps until the required version is live after the last fault.
const MAX_RECOVERY_STEPS: usize = 3000;

/// A step of the test.
#[derive(Clone, Debug)]
enum Step {
    /// A version is deployed to this agent, or the deployment is removed.
    Deploy(Option<usize>),
    /// The oldest pending read of a manifest succeeds or fails.
    Manifest(bool),
    /// A pending fetch succeeds, delivers a corrupt chunk, or fails.
    Chunk { which: usize, outcome: FetchOutcome },
    /// A peer reports which chunks it holds, truthfully or not.
    Summary { peer: usize, version: usize, held: u8 },
    /// The oldest order succeeds or fails.
    Order(bool),
    /// A peer requests a chunk.
    Ask { version: usize, index: u32 },
    /// Time passes and the timer fires.
    Tick(u64),
}

#[derive(Clone, Copy, Debug)]
enum FetchOutcome {
    Verified,
    Corrupt,
    Stalled,
    Missing,
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        6 => Just(FetchOutcome::Verified),
        1 => Just(FetchOutcome::Corrupt),
        1 => Just(FetchOutcome::Stalled),
        1 => Just(FetchOutcome::Missing),
    ];
    prop_oneof![
        1 => proptest::option::of(0usize..2).prop_map(Step::Deploy),
        2 => any::<bool>().prop_map(Step::Manifest),
        10 => (any::<usize>(), outcome).prop_map(|(which, outcome)| Step::Chunk { which, outcome }),
        4 => (0usize..3, 0usize..2, any::<u8>())
            .prop_map(|(peer, version, held)| Step::Summary { peer, version, held }),
        2 => any::<bool>().prop_map(Step::Order),
        1 => (0usize..2, 0u32..10).prop_map(|(version, index)| Step::Ask { version, index }),
        6 => (50u64..3000).prop_map(Step::Tick),
    ]
}

/// Every step is valid in every state, so the reference machine has no state. The oracle is part of the
/// system under test.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply(_: (), _: &Step) {}
}

/// The agent and the state of the oracle.
struct World {
    agent: Agent,
    now: Millis,
    manifests: [Arc<Manifest>; 2],
    table: Configuration,
    fetches: Vec<Fetch>,
    manifest_reads: VecDeque<VersionId>,
    orders: VecDeque<Order>,
    /// Verified chunks delivered since the version was last dropped.
    delivered: BTreeMap<VersionId, BTreeSet<u32>>,
    /// What the engine has loaded.
    loaded: Option<VersionId>,
    last_epoch: Revision,
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + number as u16))
}

fn peer(number: usize) -> InstanceId {
    InstanceId(format!("peer{number}"))
}

fn member(id: InstanceId, at: SocketAddr) -> MemberRecord {
    MemberRecord {
        id,
        incarnation: Incarnation(1),
        serial: 0,
        state: MemberState::Alive,
        place: Location::default(),
        process: Process::Engine,
        address: at,
        serving: Vec::new(),
    }
}

impl World {
    fn new() -> Self {
        let describe = |first: u8| {
            let content: Vec<u8> =
                (0..8 * CHUNK_BYTES).map(|n| first + (n / CHUNK_BYTES) as u8).collect();
            Arc::new(Manifest::describe_with("m", &content, CHUNK_BYTES).unwrap())
        };
        let options = AgentOptions {
            concurrency: 4,
            memory_bytes: 1 << 30,
            upload_bytes_per_s: 1 << 20,
            spread: SpreadOptions {
                timeout_ms: None,
                reach: crate::NeighbourLimits::default(),
                copies: 1,
                origin_bytes_per_s: 1 << 20,
                download_bytes_per_s: 1 << 20,
                control_bytes_per_s: 3000,
                choice: FetchStrategy::Rarest,
            },
        };
        let mut world = Self {
            agent: Agent::new(member("me".into(), address(9)), true, options),
            now: Millis(1000),
            manifests: [describe(0), describe(100)],
            table: Configuration::default(),
            fetches: Vec::new(),
            manifest_reads: VecDeque::new(),
            orders: VecDeque::new(),
            delivered: BTreeMap::new(),
            loaded: None,
            last_epoch: Revision(0),
        };
        world.send_event(AgentEvent::Control(ControlEvent::TableRead(None)));
        world
    }

    fn send_event(&mut self, event: AgentEvent) {
        let effects = self.agent.reduce(self.now, 7, event);
        for effect in effects {
            self.check_effect(effect);
        }
        let from_peers = self.fetches.iter().filter(|it| it.source != FetchSource::Origin).count();
        assert!(from_peers <= FETCH_WINDOW, "more chunks in flight than the window");
        assert!(self.fetches.len() - from_peers <= 2, "more chunks from the origin than allowed");
    }

    fn check_effect(&mut self, effect: AgentEffect) {
        match effect {
            AgentEffect::FetchChunk { fetch, .. } => self.check_fetch(fetch),
            AgentEffect::ReadManifest { version, .. } => self.manifest_reads.push_back(version),
            AgentEffect::Drop(version) => {
                self.delivered.remove(&version);
                self.fetches.retain(|it| it.version != version);
            }
            AgentEffect::Order(order) => self.check_order(order),
            AgentEffect::Upload { version, index, .. } => {
                let held = self.delivered.get(&version).is_some_and(|it| it.contains(&index));
                assert!(held, "a chunk is sent that the agent does not hold");
                self.send_event(AgentEvent::UploadEnded);
            }
            _ => {}
        }
    }

    fn check_fetch(&mut self, fetch: Fetch) {
        assert_eq!(
            Some(fetch.version),
            self.required(),
            "a chunk of a version that is not required is downloaded"
        );
        let is_duplicate =
            self.fetches.iter().any(|it| (it.version, it.index) == (fetch.version, fetch.index));
        assert!(!is_duplicate, "a chunk is downloaded twice at the same time");
        let held = self.delivered.get(&fetch.version).is_some_and(|it| it.contains(&fetch.index));
        assert!(!held, "a chunk is downloaded that the agent holds");
        assert!(fetch.deadline > self.now, "the deadline of a download has passed");
        self.fetches.push(fetch);
    }

    fn check_order(&mut self, order: Order) {
        assert!(order.epoch >= self.last_epoch, "the epoch of an order decreased");
        self.last_epoch = order.epoch;
        if let Some(version) = order.version {
            let delivered = self.delivered.get(&version).map_or(0, BTreeSet::len);
            assert_eq!(delivered, 8, "a load order for an incomplete version");
        }
        self.orders.push_back(order);
    }

    fn required(&self) -> Option<VersionId> {
        self.agent.control.configuration().deployments.values().next().map(|it| it.release.version)
    }

    fn deploy(&mut self, which: Option<usize>) {
        let plan = PlanId(format!("p{}", self.table.revision));
        let change = match which {
            None => Change::Remove("tips".into()),
            Some(which) => Change::Deploy(self.deployment(which)),
        };
        self.table = self.table.apply(&plan, &change);
        let configuration = Box::new(self.table.clone());
        self.send_event(AgentEvent::Control(ControlEvent::Fetched(configuration)));
    }

    fn deployment(&self, which: usize) -> Deployment {
        let manifest = &self.manifests[which];
        let placement = || Placement { role: Role::Serve, hall: Hall::default() };
        let names = (0..3).map(peer).chain(["me".into()]);
        Deployment {
            model: "tips".into(),
            release: Release {
                version: manifest.version(),
                label: "m".into(),
                bytes: manifest.bytes,
            },
            previous: None,
            epoch: Revision(0),
            adapter_of: None,
            priority: 1,
            placements: names.map(|id| (id, placement())).collect(),
        }
    }

    fn end_fetch(&mut self, which: usize, outcome: FetchOutcome) {
        if self.fetches.is_empty() {
            return;
        }
        let Fetch { version, index, source, .. } = self.fetches.remove(which % self.fetches.len());
        let event = match outcome {
            FetchOutcome::Verified | FetchOutcome::Corrupt => {
                let verified = matches!(outcome, FetchOutcome::Verified);
                if verified {
                    self.delivered.entry(version).or_default().insert(index);
                }
                AgentEvent::ChunkArrived { version, index, source, verified, sender: None }
            }
            FetchOutcome::Stalled | FetchOutcome::Missing => {
                let lost = matches!(outcome, FetchOutcome::Stalled);
                let code = if lost { Code::PeerStalled } else { Code::ChunkMissing };
                AgentEvent::ChunkFailed { version, index, source, code, retry_after_ms: 0 }
            }
        };
        self.send_event(event);
    }

    fn end_order(&mut self, succeeded: bool) {
        let Some(order) = self.orders.pop_front() else {
            return;
        };
        if succeeded {
            self.loaded = order.version;
        }
        let result = if succeeded { Ok(()) } else { Err(Code::UpstreamFailed) };
        self.send_event(AgentEvent::OrderEnded { model: order.model, result });
    }

    fn answer_manifest(&mut self, found: bool) {
        let Some(version) = self.manifest_reads.pop_front() else {
            return;
        };
        let manifest = self.manifests.iter().find(|it| it.version() == version).cloned();
        let manifest = manifest.expect("only known versions are asked for");
        let event = if found {
            AgentEvent::ManifestRead(manifest)
        } else {
            AgentEvent::ManifestFailed(version)
        };
        self.send_event(event);
    }

    fn summarize(&mut self, number: usize, version: usize, held: u8) {
        let mut have = Bitmap::new(8);
        (0..8).filter(|bit| held & (1 << bit) != 0).for_each(|bit| have.insert(bit));
        let version = self.manifests[version].version();
        let datagram = Datagram {
            from: peer(number),
            incarnation: Incarnation(1),
            revision: Revision(0),
            body: DatagramBody::Summary { version, have },
            news: Vec::new(),
        };
        let from = address(number);
        let datagram = Box::new(datagram);
        self.send_event(AgentEvent::Control(ControlEvent::Datagram { from, datagram }));
    }

    fn run_step(&mut self, step: &Step) {
        match step {
            Step::Deploy(which) => self.deploy(*which),
            Step::Manifest(found) => self.answer_manifest(*found),
            Step::Chunk { which, outcome } => self.end_fetch(*which, *outcome),
            Step::Summary { peer, version, held } => self.summarize(*peer, *version, *held),
            Step::Order(succeeded) => self.end_order(*succeeded),
            Step::Ask { version, index } => {
                let version = self.manifests[*version].version();
                let have = Bitmap::new(8);
                let ask = AgentEvent::ChunkAsked {
                    upload: 1,
                    from: peer(0),
                    version,
                    index: *index,
                    have,
                };
                self.send_event(ask);
            }
            Step::Tick(span) => {
                self.now = self.now.plus(*span);
                self.send_event(AgentEvent::Tick);
            }
        }
        // The agent reports exactly the versions that the engine has loaded.
        let reported: Vec<VersionId> = self.agent.serving().iter().map(|it| it.version).collect();
        assert_eq!(reported, self.loaded.into_iter().collect::<Vec<_>>());
    }

    /// Runs without faults until the required version is live.
    fn run_until_live(&mut self) {
        for _ in 0..MAX_RECOVERY_STEPS {
            if self.loaded == self.required() && self.orders.is_empty() {
                return;
            }
            self.run_step(&Step::Manifest(true));
            self.run_step(&Step::Chunk { which: 0, outcome: FetchOutcome::Verified });
            self.run_step(&Step::Order(true));
            self.run_step(&Step::Tick(500));
        }
        panic!("the required version does not become live");
    }
}

struct AgentTest;

impl StateMachineTest for AgentTest {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test(_: &()) -> World {
        World::new()
    }

    fn apply(mut world: World, _: &(), step: Step) -> World {
        world.run_step(&step);
        world
    }

    fn teardown(mut world: World, _: ()) {
        world.run_until_live();
    }
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..Default::default() })]

    #[test]
    fn never_loads_a_partial_or_mixed_version(sequential 1..120 => AgentTest);
}

#[test]
fn rejects_uploads_beyond_the_queue_limit() {
    let mut world = World::new();
    world.deploy(Some(0));
    world.run_until_live();
    let version = world.manifests[0].version();
    let ask = |upload| {
        let have = Bitmap::new(8);
        AgentEvent::ChunkAsked { upload, from: peer(0), version, index: 0, have }
    };
    let answers: Vec<AgentEffect> =
        (0..20).flat_map(|upload| world.agent.reduce(world.now, 1, ask(upload))).collect();
    let sent = answers.iter().filter(|it| matches!(it, AgentEffect::Upload { .. })).count();
    let busy =
        |it: &&AgentEffect| matches!(it, AgentEffect::RefuseUpload { code: Code::PeerBusy, .. });
    assert_eq!(sent as u32, UPLOAD_QUEUE_LIMIT);
    assert_eq!(answers.iter().filter(busy).count(), 20 - sent);
}

#[test]
fn reports_a_version_that_exceeds_memory_and_does_not_read_its_manifest() {
    let mut world = World::new();
    world.agent.options.memory_bytes = u64::from(CHUNK_BYTES);
    let configuration = world.table.apply(&"p".into(), &Change::Deploy(world.deployment(0)));
    let applied = ControlEvent::Fetched(Box::new(configuration));
    let effects = world.agent.reduce(world.now, 1, AgentEvent::Control(applied));
    let refused = |it: &AgentEffect| matches!(it, AgentEffect::CountRefusal(Code::TooLarge));
    assert_eq!(effects.iter().filter(|it| refused(it)).count(), 1);
    let again = world.agent.reduce(world.now.plus(1000), 1, AgentEvent::Tick);
    assert!(!again.iter().any(|it| refused(it) || matches!(it, AgentEffect::ReadManifest { .. })));
}
