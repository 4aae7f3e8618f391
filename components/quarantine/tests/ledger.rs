//! Tests of the crash ledger and of merging it between processes.

use std::collections::BTreeSet;

use fleet::Millis;
use proptest::prelude::*;
use quarantine::{
    CrashChange, CrashLedger, IncarnationDigest, ListScope, SubjectDigest, SubjectStatus,
};

const REQUEST: SubjectDigest = SubjectDigest(7);
const SECOND_MS: u64 = 1000;

fn life(number: u8) -> IncarnationDigest {
    IncarnationDigest::of(&format!("i-{number}").as_str().into(), None)
}

fn at(ms: u64) -> Millis {
    Millis(1_000_000 + ms)
}

fn crash(ledger: &mut CrashLedger, ms: u64, number: u8) -> Vec<CrashChange> {
    ledger.note_crash(at(ms), REQUEST, life(number), at(ms))
}

/// A ledger in which `runners` runners crashed under the request, one each second.
fn crashed(runners: u8) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    (0..runners).for_each(|it| {
        crash(&mut ledger, u64::from(it) * SECOND_MS, it);
    });
    ledger
}

fn status(ledger: &mut CrashLedger, ms: u64) -> SubjectStatus {
    ledger.ask(at(ms), REQUEST)
}

fn is_quarantined(status_of_request: SubjectStatus) -> bool {
    matches!(status_of_request, SubjectStatus::Quarantined { .. })
}

#[test]
fn three_crashes_quarantine_a_request() {
    let mut ledger = crashed(2);
    assert_eq!(status(&mut ledger, 2000), SubjectStatus::Suspect);
    assert_eq!(crash(&mut ledger, 2000, 2), [CrashChange::Quarantined(REQUEST)]);
    assert!(is_quarantined(status(&mut ledger, 2000)));
}

#[test]
fn each_incarnation_of_a_runner_counts_once() {
    let mut ledger = crashed(2);
    assert_eq!(crash(&mut ledger, 2000, 1), []);
    assert_eq!(status(&mut ledger, 2000), SubjectStatus::Suspect);
    let restarted = IncarnationDigest::of(&"i-1".into(), Some(1));
    assert_ne!(restarted, life(1));
    ledger.note_crash(at(2000), REQUEST, restarted, at(2000));
    assert!(is_quarantined(status(&mut ledger, 2000)));
}

#[test]
fn pending_suspicions_count_as_crashes() {
    let ledger = crashed(2);
    let open = |numbers: &[u8]| numbers.iter().map(|it| life(*it)).collect::<BTreeSet<_>>();
    assert_eq!(ledger.status(at(2000), REQUEST, &open(&[1])), SubjectStatus::Suspect);
    assert!(is_quarantined(ledger.status(at(2000), REQUEST, &open(&[1, 2]))));
}

#[test]
fn a_success_clears_a_request_and_older_reports_do_not_restore_its_crashes() {
    let mut ledger = crashed(3);
    let older = ledger.list(at(2500), ListScope::Suspects, 0);
    let cleared = ledger.note_success(at(3000), REQUEST, at(3000));
    let change = CrashChange::Cleared { digest: REQUEST, was_quarantined: true };
    assert_eq!(cleared, [change]);
    assert_eq!(status(&mut ledger, 3000), SubjectStatus::Clear);
    // The list was in transit for 900 ms; its ages are as of when it was sent.
    assert_eq!(ledger.merge(at(2900), &older), []);
    assert_eq!(status(&mut ledger, 3400), SubjectStatus::Clear);
}

#[test]
fn a_success_is_reported_to_processes_that_know_of_the_crashes() {
    let mut ledger = crashed(3);
    let mut other = CrashLedger::default();
    other.merge(at(2500), &ledger.list(at(2500), ListScope::FreshSuspects, 0));
    assert!(is_quarantined(status(&mut other, 2500)));
    ledger.note_success(at(4000), REQUEST, at(4000));
    let report = ledger.list(at(5000), ListScope::FreshSuspects, 0);
    let change = CrashChange::Cleared { digest: REQUEST, was_quarantined: true };
    assert_eq!(other.merge(at(5000), &report), [change]);
}

#[test]
fn crashes_within_three_seconds_of_a_success_are_ignored() {
    let mut ledger = crashed(2);
    ledger.note_success(at(2500), REQUEST, at(2500));
    for number in 3..6 {
        crash(&mut ledger, 5500, number);
    }
    assert_eq!(status(&mut ledger, 5500), SubjectStatus::Clear);
    for number in 6..9 {
        crash(&mut ledger, 5501, number);
    }
    assert!(is_quarantined(status(&mut ledger, 5501)));
}

#[test]
fn a_success_of_an_unsuspected_request_is_not_kept() {
    let mut ledger = CrashLedger::default();
    assert_eq!(ledger.note_success(at(0), REQUEST, at(0)), []);
    assert_eq!(ledger.list(at(0), ListScope::Fresh, 0).0, []);
}

#[test]
fn a_quarantined_request_is_probed_after_ten_seconds_then_after_forty_more_and_never_again() {
    let probe = |ledger: &mut CrashLedger, ms| match status(ledger, ms) {
        SubjectStatus::Quarantined { probe_in_ms } => probe_in_ms,
        other => panic!("{other:?}"),
    };
    let mut ledger = crashed(3);
    assert_eq!(probe(&mut ledger, 2000), Some(10_000));
    assert_eq!(probe(&mut ledger, 12_000), Some(0));
    crash(&mut ledger, 13_000, 3);
    assert_eq!(probe(&mut ledger, 13_000), Some(40_000));
    crash(&mut ledger, 53_000, 4);
    assert_eq!(probe(&mut ledger, 53_000), None);
}

#[test]
fn quarantine_ends_an_hour_after_the_last_request() {
    let mut ledger = crashed(3);
    let hour = 3600 * SECOND_MS;
    assert!(is_quarantined(status(&mut ledger, hour)));
    ledger.forget_old(at(2 * hour - 1));
    assert!(is_quarantined(status(&mut ledger, 2 * hour - 1)));
    ledger.forget_old(at(3 * hour));
    assert_eq!(status(&mut ledger, 3 * hour), SubjectStatus::Clear);
}

#[test]
fn ledger_and_lists_are_bounded_and_requests_with_most_crashes_come_first() {
    let mut ledger = crashed(3);
    for number in 100..5000 {
        ledger.note_crash(at(4000), SubjectDigest(number), life(9), at(4000));
    }
    assert_eq!(ledger.count(), (1024, 1));
    let report = ledger.list(at(4500), ListScope::Fresh, 0);
    assert_eq!(report.0[0].digest, REQUEST);
    let crashes: usize = report.0.iter().map(|it| it.crashes.len()).sum();
    assert_eq!(crashes, 32);
}

#[test]
fn older_quarantines_are_sent_one_per_list() {
    let mut ledger = CrashLedger::default();
    for digest in [1, 2, 3].map(SubjectDigest) {
        for number in 0..3 {
            ledger.note_crash(at(0), digest, life(number), at(0));
        }
    }
    let mut other = CrashLedger::default();
    for draw in 0..3 {
        let report = ledger.list(at(60_000), ListScope::Fresh, draw);
        assert_eq!(report.0.len(), 1);
        other.merge(at(60_000), &report);
    }
    assert_eq!(other.count(), (3, 3));
}

/// What one process observes of a request.
#[derive(Clone, Debug)]
enum Observation {
    Crash(u8),
    Success,
}

proptest! {
    /// Processes exchange lists at random times; a list may be sent twice or not at all. Once every process
    /// has sent its list to all others, all ledgers agree with one that recorded every observation.
    #[test]
    fn merged_ledgers_agree(
        observations in prop::collection::vec(
            (0..4usize, prop_oneof![4 => (0..6u8).prop_map(Observation::Crash), 1 => Just(Observation::Success)]),
            1..24,
        ),
        exchanges in prop::collection::vec((0..4usize, 0..4usize, 0..24usize), 0..40),
    ) {
        let mut ledgers = vec![CrashLedger::default(); 4];
        let mut reference = CrashLedger::default();
        for (step, (process, observation)) in observations.iter().enumerate() {
            let now = step as u64 * 100;
            match observation {
                Observation::Crash(number) => {
                    ledgers[*process].note_crash(at(now), REQUEST, life(*number), at(now));
                    reference.note_crash(at(now), REQUEST, life(*number), at(now));
                }
                // A process that knows of no crash does not report a success.
                Observation::Success if ledgers[*process].crashes(REQUEST) > 0 => {
                    ledgers[*process].note_success(at(now), REQUEST, at(now));
                    reference.note_success(at(now), REQUEST, at(now));
                }
                Observation::Success => {}
            }
            for (from, to, _) in exchanges.iter().filter(|it| it.2 == step) {
                let report = ledgers[*from].list(at(now), ListScope::Fresh, 0);
                ledgers[*to].merge(at(now), &report);
            }
        }
        let end = observations.len() as u64 * 100;
        for _ in 0..2 {
            for from in 0..4 {
                let report = ledgers[from].list(at(end), ListScope::Fresh, 0);
                ledgers.iter_mut().for_each(|it| { it.merge(at(end), &report); });
            }
        }
        let crashes: BTreeSet<usize> = ledgers.iter().map(|it| it.crashes(REQUEST)).collect();
        prop_assert_eq!(crashes, BTreeSet::from([reference.crashes(REQUEST)]));
    }
}
