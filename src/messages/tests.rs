//! Tests of `messages`.

use super::*;

#[test]
fn can_draw_a_bar_of_staged_and_live_replicas() {
    let status =
        RolloutStatus { model: "tips".into(), label: "v7".into(), wanted: 4, live: 2, staged: 0.5 };
    let bar = bar(&status);
    assert!(bar.contains(&"#".repeat(30)), "{bar}");
    assert!(bar.ends_with("2 of 4 live"));
}
