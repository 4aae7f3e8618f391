//! Gateways that know of each other through sidecars, and the repeats that they share.

mod support;

use std::collections::VecDeque;

use fleet::{InstanceId, Millis};
use gateway::*;
use rand::Rng;
use support::town::*;

#[test]
fn what_is_sent_within_a_second_and_what_a_connection_takes_is_bounded_where_the_bound_is_tight() {
    let share = ColdShare::new(PROFILE, ColdBounds { overrun: 1.0, slack: 5.0 });
    let (mut gates, id) = (ColdRateShares::default(), InstanceId::from("p1"));
    gates.set(Millis(1_000_000), &id, share, 1);
    let mut moments = VecDeque::new();
    let taken = (1_000_000..1_009_000).filter(|at| gates.take(Millis(*at), &id));
    let most = taken.map(|at| count(&mut moments, at, 1350)).max().unwrap_or(0);
    assert!((20..=31).contains(&most), "{most} requests");
}

#[test]
fn gateways_that_know_each_other_use_most_of_what_they_share_and_no_more() {
    for gateways in [1, 5, 15, 53] {
        let mut town = Town::new(7, gateways, 34);
        town.run(20_000);
        town.arrived = 0;
        town.run(20_000);
        let repeats = town.most_repeats as f64;
        assert!((0.5 * ALLOWANCE..=ALLOWANCE).contains(&repeats), "{repeats} of {gateways}");
        let per_s = town.arrived as f64 / 20.0 / COLD.len() as f64;
        assert!((20.0..=26.5).contains(&per_s), "{per_s} a second from {gateways}");
        assert!(town.most_arrivals as f64 <= cold_bound(), "{} arrivals", town.most_arrivals);
    }
}

#[test]
fn no_window_holds_more_than_the_bounds_while_gateways_start_restart_end_and_are_cut_off() {
    for seed in 12..20 {
        let gateways = 1 + (seed as usize * 7) % 53;
        let mut town = Town::new(seed, gateways, 3 + seed as usize % 32);
        town.run(18_000);
        for _ in 0..30 {
            town.trouble();
            let span = town.random.random_range(100..6000);
            town.run(span);
        }
        let (repeats, arrivals) = (town.most_repeats, town.most_arrivals);
        assert!(repeats as f64 <= ALLOWANCE, "seed {seed}: {repeats} repeats in a window");
        assert!(arrivals as f64 <= cold_bound(), "seed {seed}: {arrivals} arrivals in a second");
    }
}

#[test]
fn repeats_by_ratio_and_allowance_stay_within_both_while_traffic_jumps_and_gateways_change() {
    for seed in 0..6 {
        let mut town = Town::new(seed, 5 + 3 * seed as usize, 12);
        town.traffic = 0.2;
        town.run(20_000);
        for _ in 0..15 {
            town.trouble();
            town.traffic = town.random.random_range(0.1..0.8);
            let span = town.random.random_range(500..4000);
            town.run(span);
        }
        let above = town.most_above_ratio(0.2);
        assert!(above <= ALLOWANCE, "seed {seed}: {above} repeats above the ratio");
        assert!(town.most_repeats as f64 > ALLOWANCE, "seed {seed}: the ratio is used");
    }
}

#[test]
fn a_gateway_that_restarts_over_and_over_uses_no_full_part_in_each_life() {
    let mut town = Town::new(3, 15, 34);
    town.run(20_000);
    for _ in 0..20 {
        town.lives[0] = Some(Life::new(town.now));
        town.run(500);
    }
    assert!(town.most_repeats as f64 <= ALLOWANCE, "{} repeats", town.most_repeats);
}

#[test]
fn all_gateways_that_restart_at_once_stay_within_the_allowance() {
    let mut town = Town::new(4, 53, 34);
    town.run(20_000);
    let now = town.now;
    town.lives.iter_mut().for_each(|it| *it = Some(Life::new(now)));
    town.run(20_000);
    assert!(town.most_repeats as f64 <= ALLOWANCE, "{} repeats", town.most_repeats);
}

#[test]
fn a_gateway_that_is_told_nothing_is_unsure_and_responsible_for_nothing() {
    let mut town = Town::new(5, 5, 10);
    town.run(20_000);
    town.cut = Some((0, 1));
    town.run(4500);
    let members = &town.lives[0].as_ref().unwrap().members;
    assert_eq!(members.sureness(Millis(town.now)), Sureness::Unsure);
    assert_eq!(members.responsible(Millis(town.now), "p1", 5), None);
}

#[test]
fn only_a_gateway_that_never_saw_a_sidecar_takes_a_tenth_without_knowing_the_others() {
    let mut members = Members::new(WINDOW);
    members.note_coverage(Millis(1_000_000), None);
    assert_eq!(members.part(Millis(1_000_000)), 0.1);
    members.note_coverage(Millis(1_000_200), Some(0.0));
    members.note_coverage(Millis(1_000_400), None);
    assert!(members.part(Millis(1_000_400)) < 0.01, "the list has lost them");
}

#[test]
fn a_gateway_that_was_killed_is_counted_until_its_last_repeats_are_out_of_the_window() {
    let mut town = Town::new(6, 5, 10);
    town.run(20_000);
    town.lives[0] = None;
    town.run(WINDOW);
    let count = |town: &Town| town.lives[1].as_ref().unwrap().members.count(Millis(town.now));
    assert_eq!(count(&town), 5);
    town.run(8000);
    assert_eq!(count(&town), 4);
}

#[test]
fn a_sidecar_that_has_restarted_tells_less_and_nobody_is_forgotten() {
    let mut town = Town::new(8, 5, 3);
    town.run(20_000);
    town.sidecars.fill(GatewaysHeard::new(WINDOW));
    town.run(300);
    let members = &town.lives[1].as_ref().unwrap().members;
    assert_eq!(members.count(Millis(town.now)), 5);
}

#[test]
fn repeats_of_the_end_of_a_step_count_for_a_whole_window() {
    let mut budget = RetryBudget::new(BudgetLimits { ratio: 0.0, ..limits(10.0) });
    let taken = |budget: &mut RetryBudget, at: u64| {
        (0..20).filter(|_| budget.take_retry(Millis(at))).count()
    };
    budget.count_request(Millis(1_000_000));
    assert_eq!(taken(&mut budget, 1_000_990), 10);
    assert_eq!(taken(&mut budget, 1_010_900), 0, "the first ten are in this window");
}

#[test]
fn more_gateways_than_an_answer_holds_are_known_after_some_answers() {
    let (mut sidecar, mut members) = (GatewaysHeard::new(WINDOW), Members::new(WINDOW));
    for at in 1_000_000..1_020_000 {
        if at % 5 == 0 {
            sidecar.note(Millis(at), address((at / 5 % 200) as usize));
        }
        // Another sidecar answers each time, and their clocks differ.
        if at % 1000 == 35 {
            members.take(Millis(at), sidecar.list(Millis(at), address(7)));
        }
    }
    assert_eq!(members.count(Millis(1_020_000)), 200);
    let told = sidecar.list(Millis(1_020_001), address(7)).gateways;
    assert!(told.len() <= 128 && told.iter().any(|it| it.address == address(7)));
}

#[test]
fn a_window_that_is_made_longer_counts_what_was_forgotten_by_the_shorter_one() {
    let mut town = Town::new(9, 5, 10);
    town.run(40_000);
    let members = &mut town.lives[1].as_mut().unwrap().members;
    let (now, before) = (Millis(town.now), members.part(Millis(town.now)));
    members.set_window(now, WINDOW / 2);
    assert!(members.part(now) >= before, "a shorter one counts less");
    members.set_window(now, 2 * WINDOW);
    assert!(members.part(now) < 0.01, "others may have used it all ten seconds ago");
    assert!(members.responsible(now, "p1", 5).is_some(), "who they are is known as before");
    town.run(2 * WINDOW + 5000);
    let members = &town.lives[1].as_ref().unwrap().members;
    assert_eq!(members.part(Millis(town.now)), before);
}
