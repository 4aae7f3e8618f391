//! Reports from logs that are complete, out of order, truncated or lack a process.

use account::{Account, Gap};

const GATEWAY: &str = r#"{"ts_ms":1000,"instance":"g1","request":"r1","decision":"routed","route":"a","service":"s","configuration":7,"kind":"resumable_stream","held_ms":6000}
{"ts_ms":1001,"instance":"g1","request":"r1","decision":"chosen","runner":"i-1","attempt":1,"occupancy":3,"report_age_ms":40,"candidates":2}
{"ts_ms":1005,"instance":"g1","request":"r1","decision":"no_place","runner":"i-1","outcome":"denied"}
{"ts_ms":1090,"instance":"g1","request":"r1","decision":"ended","outcome":"refused","code":103,"name":"Overloaded","status":503,"retry_after_ms":400,"runners":2,"usable":0}
{"ts_ms":1090,"instance":"g1","level":"INFO","message":"something else about r1"}"#;
const SIDECAR: &str = r#"{"ts_ms":1003,"instance":"c1","request":"r1","decision":"denied","reason":"leaving","taken":2,"slots":16,"version":1}
{"ts_ms":1003,"instance":"c1","request":"r12","decision":"denied","reason":"full","taken":16,"slots":16,"version":1}"#;

#[test]
fn the_cause_of_a_refusal_is_the_reason_that_the_sidecar_logged() {
    let account = Account::of("r1", [SIDECAR, GATEWAY]);
    assert_eq!(account.lines.len(), 5);
    assert!(account.cause.contains("leaving"), "{}", account.cause);
    assert_eq!(account.gaps, [Gap::Unreadable(1)]);
    let times: Vec<u64> = account.lines.iter().map(|it| it.ts_ms).collect();
    assert!(times.is_sorted());
}

#[test]
fn a_missing_log_of_a_sidecar_is_reported_as_a_gap() {
    let account = Account::of("r1", [GATEWAY]);
    assert!(account.gaps.contains(&Gap::Sidecar));
    assert!(account.to_string().contains("missing: the sidecar's line"));
}

#[test]
fn a_truncated_log_gives_a_report_with_gaps() {
    let cut = &GATEWAY[..GATEWAY.find("\"decision\":\"ended\"").unwrap()];
    let account = Account::of("r1", [cut]);
    assert!(account.gaps.contains(&Gap::End));
    assert!(account.gaps.contains(&Gap::Unreadable(1)));
    assert!(account.cause.contains("not known"), "{}", account.cause);
}

#[test]
fn unordered_and_repeated_lines_give_the_same_lines() {
    let reversed: Vec<&str> = GATEWAY.lines().rev().collect();
    let twice = format!("{}\n{GATEWAY}", reversed.join("\n"));
    let account = Account::of("r1", [twice.as_str()]);
    assert_eq!(account.lines, Account::of("r1", [GATEWAY]).lines);
}

#[test]
fn a_request_without_lines_is_reported_as_a_gap() {
    let account = Account::of("r9", [GATEWAY, SIDECAR]);
    assert_eq!(account.gaps, [Gap::Nothing]);
}

const NO_HOME: &str = r#"{"ts_ms":1001,"instance":"g1","request":"r2","decision":"chosen","runner":"i-1","attempt":1,"occupancy":3,"report_age_ms":40,"candidates":2,"homes":["north"]}
{"ts_ms":1090,"instance":"g1","request":"r2","decision":"ended","outcome":"refused","code":115,"name":"NoHome","status":503,"retry_after_ms":400,"runners":2,"usable":0,"homes":["south"]}"#;

#[test]
fn a_refusal_without_a_home_region_is_reported_with_the_homes() {
    let account = Account::of("r2", [NO_HOME]);
    assert!(account.cause.contains("in its homes south"), "{}", account.cause);
    let text = account.to_string();
    assert!(text.contains("homes north") && text.contains("homes south"), "{text}");
}

#[test]
fn a_refusal_reports_the_number_of_runners_in_evacuated_halls() {
    let ended = |evacuated: u32, usable: u32| {
        format!(
            r#"{{"ts_ms":1090,"instance":"g1","request":"r1","decision":"ended","outcome":"refused","code":116,"name":"Withdrawn","status":503,"retry_after_ms":400,"runners":5,"usable":{usable},"evacuated":{evacuated}}}"#
        )
    };
    let (all, some) = (ended(5, 0), ended(2, 1));
    let account = Account::of("r1", [all.as_str()]);
    assert!(account.cause.contains("each of 5 listed runners is in an evacuated hall"));
    let account = Account::of("r1", [some.as_str()]);
    assert!(account.to_string().contains("1 of 5 runners usable, 2 in evacuated halls"));
}

#[test]
fn a_request_without_time_left_is_reported_as_a_later_try() {
    let line = r#"{"ts_ms":1001,"instance":"g1","request":"r1","decision":"chosen","runner":"i-1","attempt":1,"occupancy":3,"report_age_ms":40,"candidates":2,"left_ms":0}"#;
    let text = Account::of("r1", [line]).to_string();
    assert!(text.contains("a later try by its deadline"), "{text}");
}

#[test]
fn a_silence_is_not_taken_for_the_end_of_a_connection() {
    let lines = r#"{"ts_ms":1001,"instance":"g1","request":"r1","decision":"silent","runner":"i-1","silent_ms":1000,"begun":true}
{"ts_ms":1001,"instance":"g1","request":"r1","decision":"failed","runner":"i-1","code":111,"name":"CutShort","not_run":false,"took_ms":1600}"#;
    let text = Account::of("r1", [lines]).to_string();
    let silence = "i-1 has been silent for 1000 ms in its response, its connection is open";
    assert!(text.contains(silence), "{text}");
}

#[test]
fn bytes_that_are_no_event_are_not_told_from_a_lost_connection() {
    let lines = r#"{"ts_ms":1001,"instance":"g1","request":"r1","decision":"broke_off","runner":"i-1","end":"status_line","ends_with_connection":true,"events":12,"last_id":12}
{"ts_ms":1001,"instance":"g1","request":"r1","decision":"failed","runner":"i-1","code":601,"name":"MalformedAnswer","not_run":false,"took_ms":160}"#;
    let text = Account::of("r1", [lines]).to_string();
    let end = "the stream of i-1, framed by its connection, ends after 12 events, the last with id 12: status_line";
    assert!(text.contains(end), "{text}");
}
