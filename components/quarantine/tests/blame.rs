//! Tests of which subjects are blamed for crashes that several of them have in common.

use std::collections::BTreeSet;

use fleet::Millis;
use proptest::prelude::*;
use quarantine::{
    Admission, CrashChange, CrashEvent, CrashLedger, Crashes, IncarnationDigest, ListScope,
    QuarantineAnswer, QuarantineCall, QuarantineRecord, RunnerLiveness, SubjectDigest,
    SubjectStatus, Subjects, UnclearEnd,
};

const REQUEST: SubjectDigest = SubjectDigest(7);
const NOW: Millis = Millis(1_000_000);

fn part(id: &str) -> SubjectDigest {
    SubjectDigest::of_part(id)
}

fn life(number: u32) -> IncarnationDigest {
    IncarnationDigest::of(&format!("i-{number}").as_str().into(), None)
}

fn crash(ledger: &mut CrashLedger, subject: SubjectDigest, runners: &[u32]) -> Vec<CrashChange> {
    runners.iter().flat_map(|it| ledger.note_crash(NOW, subject, life(*it), NOW)).collect()
}

fn is_refused(ledger: &CrashLedger, subject: SubjectDigest) -> bool {
    let status = ledger.status(NOW, subject, &BTreeSet::new());
    matches!(status, SubjectStatus::Quarantined { .. })
}

#[test]
fn a_part_is_refused_for_runners_that_crashed_only_because_of_another_part() {
    let mut ledger = CrashLedger::default();
    assert_eq!(
        crash(&mut ledger, part("sound"), &[1, 2, 3]),
        [CrashChange::Quarantined(part("sound"))]
    );
    let changes = crash(&mut ledger, part("bad"), &[1, 2, 3, 4]);
    let (blamed, explained) =
        (CrashChange::Quarantined(part("bad")), CrashChange::Explained(part("sound")));
    assert_eq!(changes, [blamed, explained]);
    assert!(!is_refused(&ledger, part("sound")));
    assert_eq!(ledger.status(NOW, part("sound"), &BTreeSet::new()), SubjectStatus::Clear);
    assert_eq!(ledger.quarantined(), [part("bad")]);
}

#[test]
fn a_part_is_refused_for_crashes_of_a_single_request() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, part("sound"), &[1, 2, 3]);
    crash(&mut ledger, REQUEST, &[1, 2, 3]);
    assert_eq!(ledger.quarantined(), [REQUEST]);
    crash(&mut ledger, part("sound"), &[4]);
    assert!(is_refused(&ledger, part("sound")), "another request with the part crashed a runner");
}

#[test]
fn a_part_that_succeeds_hides_the_part_that_crashed_the_runners() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, part("first"), &[1, 2, 3, 4]);
    crash(&mut ledger, part("bad"), &[1, 2, 3]);
    assert_eq!(ledger.quarantined(), [part("first")]);
    let changes = ledger.note_success(NOW, part("first"), NOW);
    let cleared = CrashChange::Cleared { digest: part("first"), was_quarantined: true };
    assert_eq!(changes, [cleared, CrashChange::Quarantined(part("bad"))]);
}

#[test]
fn a_crash_of_another_part_hides_that_a_part_has_crashed_three_runners_itself() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, part("bad"), &[1, 2, 3, 4, 5]);
    crash(&mut ledger, part("other"), &[5, 6, 7]);
    assert!(!is_refused(&ledger, part("other")), "two crashes are its own");
    crash(&mut ledger, part("other"), &[8]);
    assert_eq!(ledger.quarantined().len(), 2);
}

#[test]
fn parts_with_the_same_crashes_hide_each_other() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, part("first"), &[1, 2, 3]);
    crash(&mut ledger, part("middle"), &[1, 2, 3]);
    assert_eq!(ledger.quarantined().len(), 2);
}

#[test]
fn single_crashes_of_requests_displace_those_of_a_part() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, part("bad"), &[1]);
    for number in 0..5000 {
        ledger.note_crash(Millis(NOW.0 + 1), SubjectDigest(number), life(2), NOW);
    }
    assert_eq!(ledger.crashes(part("bad")), 1);
    let list = ledger.list(NOW, ListScope::Fresh, 0);
    assert_eq!(list.0[0].digest, part("bad"));
}

#[test]
fn a_part_that_was_on_five_crashed_runners_by_chance_is_refused_for_good() {
    let mut ledger = CrashLedger::default();
    crash(&mut ledger, part("sound"), &[1, 2, 3, 4, 5]);
    let mut probes_in = Vec::new();
    for runner in 6..=8 {
        match ledger.status(NOW, part("sound"), &BTreeSet::new()) {
            SubjectStatus::Quarantined { probe_in_ms } => probes_in.push(probe_in_ms),
            other => panic!("{other:?}"),
        }
        crash(&mut ledger, part("sound"), &[runner]);
    }
    assert_eq!(probes_in, [Some(160_000), Some(640_000), Some(2_560_000)]);
    let status = ledger.status(NOW, part("sound"), &BTreeSet::new());
    assert_eq!(status, SubjectStatus::Quarantined { probe_in_ms: None }, "three runners later");
}

fn prompt(request: u64, parts: &[&str]) -> Subjects {
    Subjects::new(SubjectDigest(request), parts.iter().map(|it| part(it)))
}

fn is_admitted(crashes: &mut Crashes<u64>, subjects: &Subjects) -> bool {
    matches!(crashes.admit(NOW, 0, subjects, |_| false), Admission::Admitted { .. })
}

#[test]
fn a_part_is_refused_while_the_network_of_the_gateway_fails() {
    let mut crashes = Crashes::default();
    for request in 0..40 {
        let subjects = prompt(request, &["shared"]);
        let runner = format!("i-{request}").as_str().into();
        let life = life(request as u32);
        crashes.record_suspicion(NOW, subjects.iter(), &runner, life, UnclearEnd::Failed);
    }
    assert!(is_admitted(&mut crashes, &prompt(100, &["shared"])));
    let events =
        crashes.resolve_suspicions(NOW.plus(100), |_, _| RunnerLiveness::ReportedAt(NOW.plus(90)));
    assert_eq!(events, []);
}

#[test]
fn an_end_that_is_confirmed_late_takes_back_a_later_success() {
    let mut crashes = Crashes::<u64>::default();
    let end = UnclearEnd::LooksComplete { is_reported: false };
    let (slow, fast) = ("slow".into(), "fast".into());
    crashes.record_suspicion(NOW, [REQUEST], &slow, life(1), end);
    crashes.record_suspicion(NOW.plus(400), [REQUEST], &fast, life(2), end);
    let liveness = |runner: &_, _| match *runner == fast {
        true => RunnerLiveness::ReportedAt(NOW.plus(490)),
        false => RunnerLiveness::ReportedAt(NOW),
    };
    crashes.resolve_suspicions(NOW.plus(500), liveness);
    crashes.resolve_suspicions(NOW.plus(600), liveness);
    let at = NOW.plus(3_300);
    assert_eq!(crashes.note_crash(at, &REQUEST.into(), &"i".into(), life(3)), []);
}

#[test]
fn a_request_is_admitted_though_one_part_of_its_prompt_is_refused() {
    let mut crashes = Crashes::default();
    for runner in 1..=4 {
        let subjects = prompt(runner, &["first", "bad"]);
        crashes.note_crash(NOW, &subjects, &"i".into(), life(runner as u32));
        crashes.note_success(NOW, prompt(99, &["first"]).iter());
    }
    assert!(!is_admitted(&mut crashes, &prompt(100, &["first", "bad"])));
    assert!(is_admitted(&mut crashes, &prompt(101, &["first", "other"])));
}

#[test]
fn a_request_with_two_refused_parts_is_a_probe_of_one_of_them() {
    let mut crashes = Crashes::default();
    crashes.note_crash(NOW, &prompt(1, &["a", "b"]), &"i".into(), life(1));
    crashes.note_crash(NOW, &prompt(2, &["a", "b"]), &"i".into(), life(2));
    crashes.note_crash(NOW, &prompt(3, &["a", "b"]), &"i".into(), life(3));
    let due = NOW.plus(10_000);
    let both = prompt(4, &["a", "b"]);
    let refused = crashes.admit(due, 4, &both, |digest| digest == part("a"));
    assert!(matches!(refused, Admission::Refused { .. }), "{refused:?}");
    assert_eq!(crashes.admit(due, 4, &both, |_| true), Admission::Admitted { is_suspect: true });
    let other = crashes.admit(due, 5, &prompt(5, &["a"]), |_| true);
    assert!(matches!(other, Admission::Refused { .. }), "one probe at a time: {other:?}");
}

#[test]
fn the_row_of_a_part_stays_in_the_store_after_others_explain_its_crashes() {
    let mut record = QuarantineRecord::new(NOW);
    let read = record.due(NOW, |_, _| None).unwrap();
    record.handle_answer(NOW, 0, &read, &QuarantineAnswer::Rows(Default::default()));
    let change = CrashChange::Explained(part("sound"));
    record.handle_change(NOW, 0, &CrashEvent::Changed { change, is_own: true });
    assert_eq!(record.due(NOW, |_, _| None), Some(QuarantineCall::Remove(part("sound"))));
}

proptest! {
    /// A part that is on every runner that crashes and never succeeds is refused, whatever accompanies it. Parts that
    /// accompany it on fewer of them are not.
    #[test]
    fn the_part_on_all_crashed_runners_is_blamed(
        company in prop::collection::vec(prop::collection::btree_set(0..12u32, 0..8), 0..20),
    ) {
        let mut ledger = CrashLedger::default();
        for (number, runners) in company.iter().enumerate() {
            let runners: Vec<u32> = runners.iter().copied().collect();
            crash(&mut ledger, part(&format!("company-{number}")), &runners);
        }
        let all: Vec<u32> = (0..12).collect();
        crash(&mut ledger, part("bad"), &all);
        prop_assert_eq!(ledger.quarantined(), vec![part("bad")]);
    }
}
