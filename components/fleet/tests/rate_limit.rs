//! The rate limit of an upstream, by what its answers say.

use fleet::*;

fn rate(per_s: f64) -> Rate {
    Rate::from_per_s(per_s).unwrap()
}

fn limited(per_s: f64) -> RateWord {
    RateWord::Limited(rate(per_s))
}

#[test]
fn a_limit_is_a_decimal_number_of_requests_a_second() {
    for (text, per_s) in [("1.6", 1.6), (" 12 ", 12.0), ("0", 0.0), ("0.0004", 0.0), (".5", 0.5)] {
        assert_eq!(RateWord::read(text), limited(per_s), "{text}");
    }
    for text in ["", "soon", "-1", "NaN", "inf", "1,5", "1.6/s", "1.6, 2"] {
        assert_eq!(RateWord::read(text), RateWord::Unreadable, "{text}");
    }
}

#[test]
fn the_newest_word_counts() {
    let mut limit = RateLimit::default();
    assert!(limit.hear(Millis(10), Millis(5), limited(1.6)));
    assert!(!limit.hear(Millis(20), Millis(12), limited(1.6)), "no news");
    assert!(limit.hear(Millis(30), Millis(22), limited(0.4)));
    assert_eq!(limit.rate(), Some(rate(0.4)));
    assert!(limit.hear(Millis(40), Millis(32), RateWord::Unlimited));
    assert_eq!(limit.rate(), None);
}

#[test]
fn an_answer_that_was_overtaken_does_not_end_a_limit() {
    let mut limit = RateLimit::default();
    limit.hear(Millis(100), Millis(80), limited(1.0));
    assert!(
        !limit.hear(Millis(101), Millis(90), RateWord::Unlimited),
        "sent before the limit was heard of"
    );
    assert_eq!(limit.rate(), Some(rate(1.0)));
}

#[test]
fn a_limit_that_cannot_be_read_is_the_one_before_or_a_low_one() {
    let mut limit = RateLimit::default();
    limit.hear(Millis(10), Millis(5), RateWord::Unreadable);
    assert_eq!(limit.rate(), Some(Rate::UNREADABLE));
    limit.hear(Millis(20), Millis(15), limited(7.5));
    limit.hear(Millis(30), Millis(25), RateWord::Unreadable);
    assert_eq!(limit.rate(), Some(rate(7.5)));
}

fn told(per_s: Option<f64>, age_ms: u32) -> ToldLimit {
    ToldLimit { born: Some(9), rate: per_s.map(rate), age_ms }
}

#[test]
fn what_others_tell_counts_where_it_is_newer_and_of_the_same_life() {
    let mut limit = RateLimit::default();
    assert!(limit.learn(Millis(1000), Some(9), told(Some(2.0), 100)));
    assert!(!limit.learn(Millis(1000), Some(9), told(None, 200)), "an end from before");
    assert!(!limit.learn(Millis(1000), Some(8), told(Some(1.0), 0)), "another life");
    assert!(limit.learn(Millis(1000), None, told(Some(1.0), 50)));
    assert!(limit.learn(Millis(2000), Some(9), told(None, 10)));
}

#[test]
fn the_end_of_a_limit_is_known_also_to_whoever_never_heard_of_the_limit() {
    let mut limit = RateLimit::default();
    limit.learn(Millis(1000), None, told(None, 100));
    assert!(!limit.learn(Millis(1000), None, told(Some(2.0), 300)), "that had ended");
    assert_eq!(limit.told(Millis(1000), None).map(|it| it.rate), Some(None));
}

#[test]
fn a_limit_gets_no_younger_by_being_told_to_and_fro() {
    let (mut near, mut far) = (RateLimit::default(), RateLimit::default());
    near.hear(Millis(0), Millis(0), limited(2.0));
    for second in 1..60 {
        let at = Millis(second * 1000);
        far.learn(at.plus(40), None, near.told(at, None).unwrap());
        near.learn(at.plus(80), None, far.told(at.plus(40), None).unwrap());
    }
    let age = near.told(Millis(60_000), None).unwrap().age_ms;
    assert!(age >= 59_900, "{age}");
}

#[test]
fn the_end_of_a_limit_is_told_for_a_while_and_again_to_whoever_does_not_know_of_it() {
    let mut limit = RateLimit::default();
    limit.hear(Millis(0), Millis(0), limited(2.0));
    limit.hear(Millis(1000), Millis(900), RateWord::Unlimited);
    assert_eq!(limit.told(Millis(2000), None).map(|it| it.rate), Some(None));
    assert_eq!(limit.told(Millis(30_000), None), None);
    assert!(!limit.learn(Millis(30_000), None, told(Some(2.0), 29_500)));
    assert_eq!(limit.told(Millis(31_000), None).map(|it| it.rate), Some(None));
}
