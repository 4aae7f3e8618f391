//! Requests beside a trouble that is not theirs.

use super::*;

const BESIDE: &str = "other requests are served beside a trouble";

/// Returns a history with eight requests of a kind beside a flood of the first model runner, of which some are served.
fn history_beside_a_flood(kind: Kind, served: usize) -> History {
    let mut history =
        History { faults_ended_at: at(100_000), model_runners: 2, ..History::default() };
    for number in 0..8 {
        let id = format!("a{number}");
        let outcome = match number < served {
            true => answer(200, &complete_body(kind, &id)),
            false => answer(503, ""),
        };
        history.requests.push(request(&id, kind, outcome));
    }
    let (from, until) = (at(9_900), at(12_000));
    history.beside.push(Beside { what: "a flood".into(), runner: Some(0), from, until });
    history
}

#[test]
fn requests_that_starve_beside_a_flood_of_another_service_are_reported() {
    assert_eq!(violated_guarantee(&history_beside_a_flood(Kind::Safe, 4)), None);
    assert_eq!(violated_guarantee(&history_beside_a_flood(Kind::Safe, 3)), Some(BESIDE));
    assert_eq!(violated_guarantee(&history_beside_a_flood(Kind::Stream, 0)), None);
    let mut odd_row = history_beside_a_flood(Kind::Stream, 0);
    odd_row.beside[0].runner = None;
    assert_eq!(violated_guarantee(&odd_row), Some(BESIDE), "it concerns no service");
}

#[test]
fn requests_that_are_served_late_beside_a_flood_are_reported() {
    let mut late = history_beside_a_flood(Kind::Safe, 8);
    late.requests.iter_mut().for_each(|it| it.ended = it.sent + at(2_000));
    assert_eq!(violated_guarantee(&late), Some(BESIDE));
}

#[test]
fn requests_that_another_fault_may_have_hit_are_not_reported_beside_a_flood() {
    let harmed =
        [vec![Target::Gateway(0)], vec![Target::Store], vec![Target::Runner(2), Target::Runner(3)]];
    for targets in harmed {
        let mut hit = history_beside_a_flood(Kind::Safe, 0);
        hit.disruptions.extend(targets.iter().map(|it| disruption(*it, 9_000, 9_500)));
        assert_eq!(violated_guarantee(&hit), None, "{targets:?} were harmed");
    }
    let mut flooded = history_beside_a_flood(Kind::Safe, 0);
    flooded.disruptions.push(disruption(Target::Runner(0), 9_900, 12_000));
    flooded.disruptions.push(disruption(Target::Runner(2), 9_900, 12_000));
    assert_eq!(violated_guarantee(&flooded), Some(BESIDE), "three plain runners were sound");
}

#[test]
fn a_gateway_that_spends_most_of_a_processor_on_a_flood_is_reported() {
    let mut flooded = history_beside_a_flood(Kind::Safe, 8);
    let (from, until) = (at(9_900), at(12_900));
    flooded.flood_costs.push(FloodCost { gateway: 0, from, until, used: at(1_500) });
    assert_eq!(violated_guarantee(&flooded), None);
    flooded.flood_costs[0].used = at(1_510);
    let guarantee = violated_guarantee(&flooded);
    assert_eq!(guarantee, Some("a flood costs a gateway at most half of a processor"));
}
