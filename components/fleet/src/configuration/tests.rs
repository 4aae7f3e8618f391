//! Unit tests for `configuration`.

use super::*;

#[test]
fn finds_the_revisions_of_recent_plans_only() {
    let mut configuration = Configuration::default();
    for number in 0..100 {
        let plan = PlanId(format!("p{number}"));
        configuration = configuration.apply(&plan, &Change::Leave("a".into()));
    }
    assert_eq!(configuration.revision, Revision(100));
    assert_eq!(configuration.revision_of(&"p99".into()), Some(Revision(100)));
    assert_eq!(configuration.revision_of(&"p1".into()), None);
    assert_eq!(configuration.recent.len(), MAX_RECENT_CHANGES);
}
