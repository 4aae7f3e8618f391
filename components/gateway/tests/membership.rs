//! Gateways that learn of each other through sidecars, and the retries that they share.

mod support;

use std::collections::VecDeque;

use fleet::{InstanceId, Millis};
use gateway::*;
use rand::Rng;
use support::network::*;

#[test]
fn the_cold_rate_respects_a_tight_bound_including_connection_times() {
    let share = ColdShare::new(PROFILE, ColdBounds { overrun: 1.0, slack: 5.0 });
    let (mut cold_shares, id) = (ColdRateShares::default(), InstanceId::from("p1"));
    cold_shares.set(Millis(1_000_000), &id, share, 1);
    let mut moments = VecDeque::new();
    let taken = (1_000_000..1_009_000).filter(|at| cold_shares.take_token(Millis(*at), &id));
    let most = taken.map(|at| count_within(&mut moments, at, 1350)).max().unwrap_or(0);
    assert!((20..=31).contains(&most), "{most} requests");
}

#[test]
fn gateways_that_know_each_other_use_most_of_the_shared_allowance_and_no_more() {
    for gateways in [1, 5, 15, 53] {
        let mut network = Network::new(7, gateways, 34);
        network.advance(20_000);
        network.total_arrivals = 0;
        network.advance(20_000);
        let retries = network.max_retries as f64;
        assert!((0.5 * ALLOWANCE..=ALLOWANCE).contains(&retries), "{retries} of {gateways}");
        let per_s = network.total_arrivals as f64 / 20.0 / COLD_RUNNERS.len() as f64;
        assert!((20.0..=26.5).contains(&per_s), "{per_s} a second from {gateways}");
        assert!(
            network.max_arrivals as f64 <= max_requests_to_cold_runner(),
            "{} arrivals",
            network.max_arrivals
        );
    }
}

#[test]
fn bounds_hold_in_every_window_while_gateways_start_restart_stop_and_are_partitioned() {
    for seed in 12..20 {
        let gateways = 1 + (seed as usize * 7) % 53;
        let mut network = Network::new(seed, gateways, 3 + seed as usize % 32);
        network.advance(18_000);
        for _ in 0..30 {
            network.inject_fault();
            let span = network.random.random_range(100..6000);
            network.advance(span);
        }
        let (retries, arrivals) = (network.max_retries, network.max_arrivals);
        assert!(retries as f64 <= ALLOWANCE, "seed {seed}: {retries} retries in a window");
        assert!(
            arrivals as f64 <= max_requests_to_cold_runner(),
            "seed {seed}: {arrivals} arrivals in a second"
        );
    }
}

#[test]
fn retries_stay_within_ratio_and_allowance_while_traffic_and_gateways_change() {
    for seed in 0..6 {
        let mut network = Network::new(seed, 5 + 3 * seed as usize, 12);
        network.requests_per_step = 0.2;
        network.advance(20_000);
        for _ in 0..15 {
            network.inject_fault();
            network.requests_per_step = network.random.random_range(0.1..0.8);
            let span = network.random.random_range(500..4000);
            network.advance(span);
        }
        let above = network.max_above_ratio(0.2);
        assert!(above <= ALLOWANCE, "seed {seed}: {above} retries above the ratio");
        assert!(network.max_retries as f64 > ALLOWANCE, "seed {seed}: the ratio is used");
    }
}

#[test]
fn a_gateway_that_restarts_repeatedly_does_not_use_a_full_share_each_time() {
    let mut network = Network::new(3, 15, 34);
    network.advance(20_000);
    for _ in 0..20 {
        network.processes[0] = Some(GatewayProcess::new(network.now));
        network.advance(500);
    }
    assert!(network.max_retries as f64 <= ALLOWANCE, "{} retries", network.max_retries);
}

#[test]
fn all_gateways_that_restart_at_once_stay_within_the_allowance() {
    let mut network = Network::new(4, 53, 34);
    network.advance(20_000);
    let now = network.now;
    network.processes.iter_mut().for_each(|it| *it = Some(GatewayProcess::new(now)));
    network.advance(20_000);
    assert!(network.max_retries as f64 <= ALLOWANCE, "{} retries", network.max_retries);
}

#[test]
fn a_gateway_without_reports_is_unsure_and_responsible_for_nothing() {
    let mut network = Network::new(5, 5, 10);
    network.advance(20_000);
    network.partition = Some((0, 1));
    network.advance(4500);
    let members = &network.processes[0].as_ref().unwrap().members;
    assert_eq!(members.certainty(Millis(network.now)), Certainty::Unsure);
    assert_eq!(members.responsible_count(Millis(network.now), "p1", 5), None);
}

#[test]
fn only_a_gateway_that_never_had_a_sidecar_uses_a_tenth_without_known_members() {
    let mut members = GatewayMembers::new(WINDOW_MS);
    members.note_coverage(Millis(1_000_000), None);
    assert_eq!(members.share(Millis(1_000_000)), 0.1);
    members.note_coverage(Millis(1_000_200), Some(0.0));
    members.note_coverage(Millis(1_000_400), None);
    assert!(members.share(Millis(1_000_400)) < 0.01, "the sidecars are no longer listed");
}

#[test]
fn a_killed_gateway_is_counted_until_its_last_retries_have_left_the_window() {
    let mut network = Network::new(6, 5, 10);
    network.advance(20_000);
    network.processes[0] = None;
    network.advance(WINDOW_MS);
    let count_within = |network: &Network| {
        network.processes[1].as_ref().unwrap().members.count(Millis(network.now))
    };
    assert_eq!(count_within(&network), 5);
    network.advance(8000);
    assert_eq!(count_within(&network), 4);
}

#[test]
fn a_restarted_sidecar_reports_fewer_gateways_and_none_is_forgotten() {
    let mut network = Network::new(8, 5, 3);
    network.advance(20_000);
    network.sidecars.fill(KnownGateways::new(WINDOW_MS));
    network.advance(300);
    let members = &network.processes[1].as_ref().unwrap().members;
    assert_eq!(members.count(Millis(network.now)), 5);
}

#[test]
fn retries_at_the_end_of_a_bucket_count_for_a_whole_window() {
    let mut budget = RetryBudget::new(BudgetLimits { ratio: 0.0, ..limits(10.0) });
    let taken = |budget: &mut RetryBudget, at: u64| {
        (0..20).filter(|_| budget.take_retry(Millis(at))).count()
    };
    budget.count_request(Millis(1_000_000));
    assert_eq!(taken(&mut budget, 1_000_990), 10);
    assert_eq!(taken(&mut budget, 1_010_900), 0, "the first ten are in this window");
}

#[test]
fn more_gateways_than_fit_in_one_answer_are_known_after_several_answers() {
    let (mut sidecar, mut members) =
        (KnownGateways::new(WINDOW_MS), GatewayMembers::new(WINDOW_MS));
    for at in 1_000_000..1_020_000 {
        if at % 5 == 0 {
            sidecar.note(Millis(at), address((at / 5 % 200) as usize));
        }
        // A different sidecar answers each time, and the clocks of the sidecars differ.
        if at % 1000 == 35 {
            members.merge(Millis(at), sidecar.list(Millis(at), address(7)));
        }
    }
    assert_eq!(members.count(Millis(1_020_000)), 200);
    let listed = sidecar.list(Millis(1_020_001), address(7)).gateways;
    assert!(listed.len() <= 128 && listed.iter().any(|it| it.address == address(7)));
}

#[test]
fn a_longer_window_counts_usage_that_the_shorter_one_had_dropped() {
    let mut network = Network::new(9, 5, 10);
    network.advance(40_000);
    let members = &mut network.processes[1].as_mut().unwrap().members;
    let (now, before) = (Millis(network.now), members.share(Millis(network.now)));
    members.set_window(now, WINDOW_MS / 2);
    assert!(members.share(now) >= before, "a shorter window counts less usage");
    members.set_window(now, 2 * WINDOW_MS);
    assert!(
        members.share(now) < 0.01,
        "other gateways may have used the whole allowance ten seconds ago"
    );
    assert!(
        members.responsible_count(now, "p1", 5).is_some(),
        "the known gateways have not changed"
    );
    network.advance(2 * WINDOW_MS + 5000);
    let members = &network.processes[1].as_ref().unwrap().members;
    assert_eq!(members.share(Millis(network.now)), before);
}
