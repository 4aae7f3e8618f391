//! Tests of `engine_cache`.

use super::*;

#[test]
fn publishes_events_with_gaps_and_exports_blocks_to_another_cache() {
    let mut cache = PrefixCache::new(100);
    cache.event_loss.set_percent(50);
    let prompt = "x".repeat(BLOCK_BYTES * 4);
    assert_eq!(cache.add_prompt(&prompt), 4);
    assert_eq!(cache.add_prompt(&prompt), 0);
    let events = cache.events_after(0, Duration::ZERO);
    assert_eq!(events.len(), 2);
    assert!(cache.events_after(0, Duration::from_secs(60)).is_empty());
    let mut other = PrefixCache::new(100);
    assert_eq!(other.import(&cache.export(&prompt)), 4);
    assert_eq!(other.add_prompt(&prompt), 0);
}
