//! Tests of `admission`.

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

const OPEN: Standing<'_> = Standing { leaving: false, serving: None, current: true };

#[test]
fn can_admit_up_to_the_limit_and_again_after_an_end() {
    let mut gate = Admission::new(1);
    let now = Millis(0);
    assert!(gate.admit(now, now, &call(1), &OPEN).is_ok());
    assert_eq!(gate.admit(now, now, &call(2), &OPEN), Err(Code::Overloaded));
    gate.end(call(1).request);
    assert!(gate.admit(now, now, &call(2), &OPEN).is_ok());
}

#[test]
fn refuses_new_work_when_leaving_or_stopping() {
    let mut gate = Admission::new(4);
    let now = Millis(0);
    let leaving = Standing { leaving: true, ..OPEN };
    assert_eq!(gate.admit(now, now, &call(1), &leaving), Err(Code::Leaving));
    gate.stop();
    assert_eq!(gate.admit(now, now, &call(1), &OPEN), Err(Code::Stopping));
    assert!(gate.is_drained());
}

#[test]
fn refuses_a_call_whose_time_ran_out_while_it_waited() {
    let mut gate = Admission::new(4);
    let late = gate.admit(Millis(5000), Millis(3000), &call(1), &OPEN);
    assert_eq!(late, Err(Code::TooLate));
}

#[test]
fn refuses_a_version_that_is_not_loaded() {
    let serving =
        [Serving { model: "tips".into(), version: VersionId([1; 32]), role: fleet::Role::Serve }];
    let standing = Standing { serving: Some(&serving), ..OPEN };
    let mut gate = Admission::new(4);
    let mut wanted = call(1);
    wanted.model = Some("tips".into());
    wanted.version = Some(VersionId([2; 32]));
    assert_eq!(gate.admit(Millis(0), Millis(0), &wanted, &standing), Err(Code::NotServing));
    wanted.version = Some(VersionId([1; 32]));
    assert!(gate.admit(Millis(0), Millis(0), &wanted, &standing).is_ok());
}
