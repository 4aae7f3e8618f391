//! Tests of `metrics`.

use super::*;

#[test]
fn renders_a_separate_counter_for_each_reason() {
    let metrics = Metrics::start().unwrap();
    metrics.count_refusal(Code::Leaving);
    metrics.count_refusal(Code::Leaving);
    metrics.count_retry(Code::PeerBusy);
    let text = metrics.render();
    assert!(text.contains("reason=\"Leaving\",otel_scope_name=\"silverdock\"} 2"), "{text}");
    assert!(text.contains("reason=\"PeerBusy\",otel_scope_name=\"silverdock\"} 1"), "{text}");
}

#[test]
fn connections_that_end_for_different_reasons_are_not_counted_together() {
    let metrics = Metrics::start().unwrap();
    metrics.count_connection_end("callers", "stop", "idle");
    metrics.count_connection_end("callers", "stop", "waiting");
    let text = metrics.render();
    let mut ends = text.lines().filter(|it| it.starts_with("silverdock_connection_ends"));
    assert_eq!(ends.by_ref().filter(|it| it.ends_with(" 1")).count(), 2, "{text}");
}
