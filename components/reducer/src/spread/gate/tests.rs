use super::*;

fn receivers(count: usize) -> Vec<(InstanceId, Hall)> {
    let hall = |n: usize| Hall(format!("h{}", n % 3));
    (0..count).map(|n| (InstanceId(format!("i{n}")), hall(n))).collect()
}

fn gates(count: usize, copies: u32) -> Vec<Gate> {
    let all = receivers(count);
    let options = GateOptions { copies, chunk_ms: 10.0, version_ms: 4000.0, patience_ms: None };
    let version = VersionId([3; 32]);
    all.iter().map(|(id, _)| Gate::new(id, version, 20, &all, &options)).collect()
}

#[test]
fn each_chunk_has_one_owner_per_copy() {
    for copies in 1..=3 {
        let gates = gates(12, copies);
        for chunk in 0..20 {
            let owners = gates.iter().filter(|gate| gate.rank(chunk) == 0).count();
            assert_eq!(owners, copies as usize);
        }
    }
}

#[test]
fn the_next_receiver_replaces_a_dead_owner() {
    let mut gates = gates(12, 1);
    let owner = gates.iter().position(|gate| gate.rank(5) == 0).unwrap();
    let dead = InstanceId(format!("i{owner}"));
    gates.iter_mut().for_each(|gate| gate.set_down(|id| id == &dead));
    let successors = gates.iter().enumerate().filter(|(n, gate)| *n != owner && gate.rank(5) == 0);
    assert_eq!(successors.count(), 1);
}

#[test]
fn fetches_follow_the_schedule_of_the_origin() {
    let gates = gates(12, 1);
    let owner = |chunk| gates.iter().find(|gate| gate.rank(chunk) == 0).unwrap();
    assert_eq!(owner(0).due(Millis(100), 0), Millis(100));
    // Slightly before the link is free, so that it is never idle.
    assert_eq!(owner(7).due(Millis(100), 7), Millis(156));
}

/// Guards against chunks with several owners: while a fleet grows, the lists of receivers differ by one or
/// two entries. Receivers must not disagree on nearly every owner then, or half of the version is fetched
/// twice.
#[test]
fn receivers_with_slightly_different_lists_agree_on_most_owners() {
    let all = receivers(40);
    let options = GateOptions { copies: 1, chunk_ms: 10.0, version_ms: 4000.0, patience_ms: None };
    let version = VersionId([3; 32]);
    // Half of the receivers do not know the last two.
    let known = |n: usize| if n.is_multiple_of(2) { &all[..] } else { &all[..38] };
    let gates = (0..38).map(|n| Gate::new(&all[n].0, version, 64, known(n), &options));
    let gates: Vec<Gate> = gates.collect();
    let owners = |chunk| gates.iter().filter(|gate| gate.rank(chunk) == 0).count();
    let with_several_owners = (0..64).filter(|chunk| owners(*chunk) > 1).count();
    assert!(
        with_several_owners <= 6,
        "{with_several_owners} of 64 chunks have more than one owner"
    );
}

#[test]
fn rescheduled_chunks_follow_each_other_without_gaps() {
    let mut gates = gates(12, 1);
    gates.iter_mut().for_each(|gate| gate.reschedule(&[17, 3, 9]));
    let owner = |chunk| gates.iter().find(|gate| gate.rank(chunk) == 0).unwrap();
    assert_eq!(owner(3).due(Millis(100), 3), Millis(100));
    assert_eq!(owner(9).due(Millis(100), 9), Millis(108));
    assert_eq!(owner(17).due(Millis(100), 17), Millis(116));
    assert_eq!(
        owner(12).due(Millis(100), 12),
        Millis(100),
        "a chunk that was held may be downloaded at once"
    );
}

#[test]
fn the_first_ranked_of_each_hall_include_the_owner_and_its_successor() {
    let gates = gates(12, 1);
    let first = first_ranked_in_halls(VersionId([3; 32]), 5, &receivers(12), 2);
    assert_eq!(first.len(), 6, "two of each of three halls");
    let rank_of = |id: &InstanceId| gates.iter().find(|gate| &gate.me == id).unwrap().rank(5);
    let ranks: Vec<u64> = first.iter().map(rank_of).collect();
    assert!(ranks.contains(&0) && ranks.contains(&1), "{ranks:?}");
}
