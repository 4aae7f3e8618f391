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
