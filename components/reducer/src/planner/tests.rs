use std::collections::BTreeSet;

use super::*;
use errors::Code;
use fleet::{Change, Hall, Region, Role};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ESTIMATE: Estimate =
    Estimate { origin_bytes_per_s: 400.0, link_bytes_per_s: 200.0, copies: 2 };

fn candidate(number: usize, halls: usize, memory_bytes: u64) -> Candidate {
    let hall = Hall(format!("hall-{}", number % halls));
    Candidate {
        id: InstanceId(format!("i{number:02}")),
        place: Location { region: Region("r".into()), hall },
        up: true,
        leaving: false,
        memory_bytes,
        serving: Vec::new(),
    }
}

fn release(number: u8) -> Release {
    Release { version: VersionId([number; 32]), label: format!("v{number}"), bytes: 100 }
}

fn deploy(replicas: u32) -> Intent {
    Intent::Deploy {
        model: "tips".into(),
        version: VersionId([1; 32]),
        replicas,
        role: Role::Serve,
        halls: Vec::new(),
        adapter_of: None,
        priority: 1,
    }
}

fn run(
    configuration: &Configuration,
    candidates: &[Candidate],
    intent: &Intent,
    number: u8,
) -> Result<Plan> {
    let services = BTreeMap::new();
    let fleet = Fleet { configuration, candidates, estimate: ESTIMATE, services: &services };
    plan(Millis(0), intent, Some(release(number)), &fleet)
}

fn placed(plan: &Plan) -> BTreeSet<InstanceId> {
    let Change::Deploy(deployment) = &plan.change else { panic!("not a deployment") };
    deployment.placements.keys().cloned().collect()
}

/// The difference between the most and the fewest replicas in a hall.
fn hall_imbalance(chosen: &BTreeSet<InstanceId>, candidates: &[Candidate]) -> u32 {
    let mut counts: BTreeMap<&Hall, u32> =
        candidates.iter().map(|it| (&it.place.hall, 0)).collect();
    for it in candidates.iter().filter(|it| chosen.contains(&it.id)) {
        *counts.entry(&it.place.hall).or_default() += 1;
    }
    counts.values().max().unwrap_or(&0) - counts.values().min().unwrap_or(&0)
}

/// A reference planner that takes the first instances with enough memory.
fn first_fit(candidates: &[Candidate], replicas: usize) -> BTreeSet<InstanceId> {
    let fitting = candidates.iter().filter(|it| it.up && !it.leaving && it.memory_bytes >= 100);
    fitting.take(replicas).map(|it| it.id.clone()).collect()
}

/// The smallest imbalance that any choice of instances reaches.
fn smallest_imbalance(candidates: &[Candidate], replicas: u32) -> u32 {
    let fits = |it: &Candidate| it.up && !it.leaving && it.memory_bytes >= 100;
    let choices = (0u32..1 << candidates.len()).filter(|mask| mask.count_ones() == replicas);
    let picked = |mask: u32| {
        let chosen = candidates.iter().enumerate().filter(move |(n, _)| mask & (1 << n) != 0);
        chosen.map(|(_, it)| it).collect::<Vec<_>>()
    };
    let valid = choices.map(picked).filter(|chosen| chosen.iter().all(|it| fits(it)));
    let imbalances = valid.map(|chosen| {
        let ids = chosen.into_iter().map(|it| it.id.clone()).collect();
        hall_imbalance(&ids, candidates)
    });
    imbalances.min().unwrap_or(u32::MAX)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..Default::default() })]

    #[test]
    fn hall_imbalance_is_minimal_and_not_above_first_fit(
        memories in proptest::collection::vec(prop_oneof![Just(50u64), Just(150), Just(500)], 1..9),
        halls in 1usize..4,
        replicas in 1u32..6,
    ) {
        let candidates: Vec<Candidate> =
            memories.iter().enumerate().map(|(n, it)| candidate(n, halls, *it)).collect();
        let fitting = memories.iter().filter(|it| **it >= 100).count();
        let result = run(&Configuration::default(), &candidates, &deploy(replicas), 1);
        if fitting < replicas as usize {
            prop_assert_eq!(result.unwrap_err().code, Code::NotEnoughInstances);
        } else {
            let planned = hall_imbalance(&placed(&result.unwrap()), &candidates);
            let first_fit = hall_imbalance(&first_fit(&candidates, replicas as usize), &candidates);
            prop_assert_eq!(planned, smallest_imbalance(&candidates, replicas));
            prop_assert!(planned <= first_fit);
        }
    }

    #[test]
    fn keeps_replicas_that_can_stay(first in 1u32..8, second in 1u32..8) {
        let candidates: Vec<Candidate> = (0..8).map(|n| candidate(n, 3, 500)).collect();
        let start = Configuration::default();
        let plan = run(&start, &candidates, &deploy(first), 1).unwrap();
        let before = placed(&plan);
        let configuration = start.apply(&plan.id, &plan.change);
        let after = placed(&run(&configuration, &candidates, &deploy(second), 2).unwrap());
        let kept = before.intersection(&after).count();
        prop_assert_eq!(kept, first.min(second) as usize);
    }
}

#[test]
fn lists_overridden_deployments_and_can_roll_back() {
    let candidates: Vec<Candidate> = (0..3).map(|n| candidate(n, 3, 500)).collect();
    let start = Configuration::default();
    let first = run(&start, &candidates, &deploy(3), 1).unwrap();
    let one = start.apply(&first.id, &first.change);
    let second = run(&one, &candidates, &deploy(3), 2).unwrap();
    assert!(second.overrides[0].contains("v1"), "{:?}", second.overrides);
    let two = one.apply(&second.id, &second.change);
    let back = run(&two, &candidates, &Intent::Rollback { model: "tips".into() }, 0).unwrap();
    let Change::Deploy(deployment) = &back.change else { panic!("not a deployment") };
    assert_eq!(deployment.release, release(1));
}

#[test]
fn rejects_the_leave_of_the_last_live_replica() {
    let mut candidates: Vec<Candidate> = (0..3).map(|n| candidate(n, 3, 500)).collect();
    let start = Configuration::default();
    let plan = run(&start, &candidates, &deploy(2), 1).unwrap();
    let configuration = start.apply(&plan.id, &plan.change);
    let holders: Vec<InstanceId> = placed(&plan).into_iter().collect();
    for it in candidates.iter_mut().filter(|it| holders.contains(&it.id)) {
        it.serving.push(("tips".into(), VersionId([1; 32])));
    }
    let leave = Intent::Leave { instance: holders[0].clone() };
    assert!(run(&configuration, &candidates, &leave, 0).is_ok());
    for it in candidates.iter_mut().filter(|it| it.id == holders[1]) {
        it.up = false;
    }
    let refused = run(&configuration, &candidates, &leave, 0).unwrap_err();
    assert_eq!(refused.code, Code::LastReplica);
}

#[test]
fn bounds_the_time_of_a_distribution() {
    // A receiver's link is the bottleneck for few receivers, all links together for many.
    assert_eq!(ESTIMATE.bound_seconds(400, 1), 2.0);
    let origin_only = Estimate { origin_bytes_per_s: 100.0, link_bytes_per_s: 400.0, copies: 1 };
    assert_eq!(origin_only.bound_seconds(400, 3), 4.0);
}

#[test]
fn plans_no_more_copies_than_halls() {
    let wide = Estimate { copies: 4, ..ESTIMATE };
    let services = BTreeMap::new();
    for (halls, copies) in [(1, 1), (2, 2), (3, 3)] {
        let candidates: Vec<Candidate> = (0..6).map(|n| candidate(n, halls, 500)).collect();
        let configuration = Configuration::default();
        let fleet = Fleet {
            configuration: &configuration,
            candidates: &candidates,
            estimate: wide,
            services: &services,
        };
        let plan = plan(Millis(0), &deploy(6), Some(release(1)), &fleet).unwrap();
        assert_eq!(plan.origin_bytes, 100 * copies);
    }
}
