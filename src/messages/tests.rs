//! Tests of `messages`.

use super::*;

#[test]
fn progress_bar_counts_staged_and_live_replicas() {
    let status =
        RolloutStatus { model: "tips".into(), label: "v7".into(), wanted: 4, live: 2, staged: 0.5 };
    let bar = format_progress_bar(&status);
    assert!(bar.contains(&"#".repeat(30)), "{bar}");
    assert!(bar.ends_with("2 of 4 live"));
}
