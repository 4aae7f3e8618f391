use std::time::Duration;

use fleet::{Ablation, InstanceId, Location, Millis};
use gateway::{Gateway, GatewayOptions};
use rollout::{Rollout, RolloutOptions};

use super::*;

fn evacuated(hall: &str) -> Change {
    Change::Evacuated(hall.into())
}

fn ages(list: &EvacuationList) -> Vec<(&str, Option<u64>)> {
    list.evacuated.iter().map(|it| (it.hall.0.as_str(), it.age_ms)).collect()
}

#[test]
fn a_row_deleted_during_an_outage_is_missing_from_the_listing() {
    let (mut halls, now) = (EvacuatedHalls::default(), Instant::now());
    halls.apply_feed(now, 10.into(), &[evacuated("a"), evacuated("b")], false);
    let later = now + Duration::from_millis(700);
    let list = halls.apply_listing(later, 20.into(), &[evacuated("b")]);
    assert_eq!((list.place.revision, ages(&list)), (20, vec![("b", Some(700))]));
}

#[test]
fn a_hall_that_is_new_in_a_listing_has_no_age() {
    let (mut halls, now) = (EvacuatedHalls::default(), Instant::now());
    let list = halls.apply_listing(now, 20.into(), &[evacuated("a")]);
    assert_eq!(ages(&list), [("a", None)]);
}

#[test]
fn only_current_changes_have_an_age() {
    let (mut halls, now) = (EvacuatedHalls::default(), Instant::now());
    let list = halls.apply_feed(now, 10.into(), &[evacuated("a")], true).unwrap();
    assert_eq!(ages(&list), [("a", None)]);
    let list = halls.apply_feed(now, 11.into(), &[evacuated("b")], false).unwrap();
    assert_eq!(ages(&list), [("a", None), ("b", Some(0))]);
}

#[test]
fn a_hall_that_is_evacuated_again_starts_with_age_zero() {
    let (mut halls, now) = (EvacuatedHalls::default(), Instant::now());
    halls.apply_feed(now, 10.into(), &[evacuated("a")], false);
    let later = now + Duration::from_millis(900);
    let changes = [Change::EvacuationEnded("a".into()), evacuated("a")];
    let list = halls.apply_feed(later, 12.into(), &changes, false).unwrap();
    assert_eq!(ages(&list), [("a", Some(0))]);
}

#[test]
fn a_page_without_halls_returns_no_list() {
    let mut halls = EvacuatedHalls::default();
    assert_eq!(halls.apply_feed(Instant::now(), 10.into(), &[], false), None);
}

fn gateway() -> Gateway {
    Gateway::new(GatewayOptions {
        name: "g".into(),
        hall: "b".into(),
        halls: BTreeMap::new(),
        budget_window_ms: 10_000,
        budget_ratio: 0.2,
        budget_allowance: 100.0,
        version_ms: 8000,
        evacuate_ms: Some(5000),
        cold: None,
        ablation: Ablation::default(),
    })
}

fn sidecar() -> Rollout {
    Rollout::new(RolloutOptions {
        me: InstanceId("10.0.0.1".into()),
        place: Location { region: "r".into(), hall: "a".into() },
        link_bytes_per_s: 950_000,
        control_bytes_per_s: 6000,
        version_ms: 8000,
        evacuate_ms: Some(5000),
        cold: None,
        ablation: Ablation::default(),
    })
}

fn apply(gateway: &mut Gateway, now: Millis, list: EvacuationList) {
    gateway.reduce(now, 1, gateway::Event::Evacuations(list));
}

/// The list that a sidecar reports to gateways after it received the list of `from`.
fn relay_through(sidecar: &mut Rollout, now: Millis, from: &Gateway) -> EvacuationList {
    sidecar.reduce(now, rollout::Event::Evacuations(from.evacuations(now)));
    sidecar.evacuations().list(now)
}

#[test]
fn a_gateway_without_the_store_learns_start_and_end_of_an_evacuation_from_a_sidecar() {
    let (mut halls, started, now) = (EvacuatedHalls::default(), Instant::now(), Millis(1_000_000));
    let (mut connected, mut disconnected, mut sidecar) = (gateway(), gateway(), sidecar());
    apply(&mut disconnected, now, EvacuatedHalls::default().apply_listing(started, 5.into(), &[]));
    let list = halls.apply_feed(started, 10.into(), &[evacuated("a")], false).unwrap();
    apply(&mut connected, now, list);
    let later = now.plus(400);
    let report = relay_through(&mut sidecar, later, &connected);
    apply(&mut disconnected, later, report);
    assert_eq!(ages(&disconnected.evacuations(later)), [("a", Some(400))]);
    // The disconnected gateway's own report is not newer meanwhile and must not undo the end of the
    // evacuation.
    let list = halls
        .apply_feed(started, 20.into(), &[Change::EvacuationEnded("a".into())], false)
        .unwrap();
    apply(&mut connected, later, list);
    relay_through(&mut sidecar, later, &connected);
    let report = relay_through(&mut sidecar, later, &disconnected);
    apply(&mut disconnected, later, report);
    assert_eq!(ages(&disconnected.evacuations(later)), []);
}

#[test]
fn an_outdated_listing_does_not_end_an_evacuation() {
    let (mut halls, started, now) = (EvacuatedHalls::default(), Instant::now(), Millis(1_000_000));
    let mut gateway = gateway();
    apply(
        &mut gateway,
        now,
        halls.apply_feed(started, 10.into(), &[evacuated("a")], false).unwrap(),
    );
    apply(&mut gateway, now, halls.apply_listing(started, 8.into(), &[]));
    assert_eq!(gateway.evacuations(now).evacuated.len(), 1);
    apply(
        &mut gateway,
        now,
        halls.apply_feed(started, 12.into(), &[evacuated("a")], true).unwrap(),
    );
    assert_eq!(ages(&gateway.evacuations(now)), [("a", Some(0))]);
}

#[test]
fn an_age_that_is_too_low_is_corrected_by_an_earlier_report() {
    let (mut halls, started, now) = (EvacuatedHalls::default(), Instant::now(), Millis(1_000_000));
    let (mut slow, mut sidecar) = (gateway(), sidecar());
    let known = EvacuationList {
        place: 10.into(),
        evacuated: vec![Evacuation { hall: "a".into(), age_ms: Some(2000) }],
    };
    sidecar.reduce(now, rollout::Event::Evacuations(known));
    // The store has moved on when the row is finally read, so the sidecar's list is older than the gateway's.
    apply(&mut slow, now, halls.apply_feed(started, 15.into(), &[evacuated("a")], false).unwrap());
    apply(&mut slow, now, sidecar.evacuations().list(now));
    assert_eq!(ages(&slow.evacuations(now)), [("a", Some(0))]);
    let report = relay_through(&mut sidecar, now, &slow);
    apply(&mut slow, now, report);
    assert_eq!(ages(&slow.evacuations(now)), [("a", Some(2000))]);
}

#[test]
fn an_age_grows_with_time_however_often_it_is_relayed() {
    let (mut halls, started, now) = (EvacuatedHalls::default(), Instant::now(), Millis(1_000_000));
    let (mut gateways, mut sidecar) = ([gateway(), gateway()], sidecar());
    apply(
        &mut gateways[0],
        now,
        halls.apply_feed(started, 10.into(), &[evacuated("a")], false).unwrap(),
    );
    for round in 0..100 {
        let asked = now.plus(round * 20);
        let report = relay_through(&mut sidecar, asked, &gateways[round as usize % 2]);
        // The report arrives 10 ms later.
        gateways.iter_mut().for_each(|it| apply(it, asked.plus(10), report.clone()));
    }
    let end = now.plus(2000);
    assert_eq!(ages(&gateways[0].evacuations(end)), [("a", Some(2000))]);
    assert_eq!(ages(&gateways[1].evacuations(end)), [("a", Some(1990))]);
}

#[test]
fn a_new_gateway_prefers_its_own_listing_to_outdated_reports_of_sidecars() {
    let (started, now) = (Instant::now(), Millis(1_000_000));
    let (mut fresh, mut sidecar) = (gateway(), sidecar());
    let old = EvacuatedHalls::default().apply_listing(started, 10.into(), &[evacuated("a")]);
    sidecar.reduce(now, rollout::Event::Evacuations(old));
    // The sidecar's report arrives first. The row was deleted while nobody followed the table.
    apply(&mut fresh, now, sidecar.evacuations().list(now));
    assert_eq!(fresh.evacuations(now).evacuated.len(), 1);
    apply(&mut fresh, now, EvacuatedHalls::default().apply_listing(started, 11.into(), &[]));
    let report = relay_through(&mut sidecar, now, &fresh);
    apply(&mut fresh, now, report);
    assert!(fresh.evacuations(now).evacuated.is_empty() && sidecar.evacuations().is_empty());
}
