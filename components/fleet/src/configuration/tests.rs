//! Tests of `configuration`.

use super::*;

#[test]
fn can_find_the_revision_of_a_recent_plan_and_forgets_old_ones() {
    let mut configuration = Configuration::default();
    for number in 0..100 {
        let plan = PlanId(format!("p{number}"));
        configuration = configuration.apply(&plan, &Change::Leave("a".into()));
    }
    assert_eq!(configuration.revision, Revision(100));
    assert_eq!(configuration.revision_of(&"p99".into()), Some(Revision(100)));
    assert_eq!(configuration.revision_of(&"p1".into()), None);
    assert_eq!(configuration.recent.len(), RECENT_CHANGES);
}
