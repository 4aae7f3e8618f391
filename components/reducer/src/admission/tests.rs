use super::*;
use fleet::Incarnation;

fn call(serial: u64) -> Call {
    Call {
        request: RequestId { entry: Incarnation(1), serial },
        model: None,
        version: None,
        workspace: "w".into(),
        method: "POST".into(),
        path: "/till/".into(),
        content_type: String::new(),
        budget_ms: 1000,
        priority: 1,
        idempotency_key: None,
        stream: false,
    }
}

const AVAILABLE: InstanceState<'_> = InstanceState { leaving: false, serving: None, current: true };

#[test]
fn admits_up_to_the_limit_and_again_after_a_request_has_ended() {
    let mut admission = Admission::new(1);
    let now = Millis(0);
    assert!(admission.admit(now, now, &call(1), &AVAILABLE).is_ok());
    assert_eq!(admission.admit(now, now, &call(2), &AVAILABLE), Err(Code::Overloaded));
    admission.end(call(1).request);
    assert!(admission.admit(now, now, &call(2), &AVAILABLE).is_ok());
}

#[test]
fn rejects_new_work_when_leaving_or_stopping() {
    let mut admission = Admission::new(4);
    let now = Millis(0);
    let leaving = InstanceState { leaving: true, ..AVAILABLE };
    assert_eq!(admission.admit(now, now, &call(1), &leaving), Err(Code::Leaving));
    admission.stop();
    assert_eq!(admission.admit(now, now, &call(1), &AVAILABLE), Err(Code::Stopping));
    assert!(admission.is_drained());
}

#[test]
fn rejects_a_call_whose_deadline_passed_while_it_waited() {
    let mut admission = Admission::new(4);
    let late = admission.admit(Millis(5000), Millis(3000), &call(1), &AVAILABLE);
    assert_eq!(late, Err(Code::TooLate));
}

#[test]
fn rejects_a_version_that_is_not_loaded() {
    let serving =
        [Serving { model: "tips".into(), version: VersionId([1; 32]), role: fleet::Role::Serve }];
    let state = InstanceState { serving: Some(&serving), ..AVAILABLE };
    let mut admission = Admission::new(4);
    let mut wanted = call(1);
    wanted.model = Some("tips".into());
    wanted.version = Some(VersionId([2; 32]));
    assert_eq!(admission.admit(Millis(0), Millis(0), &wanted, &state), Err(Code::NotServing));
    wanted.version = Some(VersionId([1; 32]));
    assert!(admission.admit(Millis(0), Millis(0), &wanted, &state).is_ok());
}
