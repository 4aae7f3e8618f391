//! The rate limit of an upstream, as advertised in its responses.

use fleet::*;

fn rate(per_s: f64) -> Rate {
    Rate::from_per_s(per_s).unwrap()
}

fn limited(per_s: f64) -> AdvertisedLimit {
    AdvertisedLimit::Limited(rate(per_s))
}

#[test]
fn limit_is_parsed_as_a_decimal_number_of_requests_per_second() {
    for (text, per_s) in [("1.6", 1.6), (" 12 ", 12.0), ("0", 0.0), ("0.0004", 0.0), (".5", 0.5)] {
        assert_eq!(AdvertisedLimit::read(text), limited(per_s), "{text}");
    }
    for text in ["", "soon", "-1", "NaN", "inf", "1,5", "1.6/s", "1.6, 2"] {
        assert_eq!(AdvertisedLimit::read(text), AdvertisedLimit::Unreadable, "{text}");
    }
}

#[test]
fn newest_response_determines_the_limit() {
    let mut limit = RateLimit::default();
    assert!(limit.apply_response(Millis(10), Millis(5), limited(1.6)));
    assert!(!limit.apply_response(Millis(20), Millis(12), limited(1.6)), "the limit is unchanged");
    assert!(limit.apply_response(Millis(30), Millis(22), limited(0.4)));
    assert_eq!(limit.rate(), Some(rate(0.4)));
    assert!(limit.apply_response(Millis(40), Millis(32), AdvertisedLimit::Unlimited));
    assert_eq!(limit.rate(), None);
}

#[test]
fn response_to_an_earlier_request_does_not_end_a_limit() {
    let mut limit = RateLimit::default();
    limit.apply_response(Millis(100), Millis(80), limited(1.0));
    assert!(
        !limit.apply_response(Millis(101), Millis(90), AdvertisedLimit::Unlimited),
        "sent before the limit was received"
    );
    assert_eq!(limit.rate(), Some(rate(1.0)));
}

#[test]
fn unparsable_limit_keeps_the_previous_limit_or_uses_the_default() {
    let mut limit = RateLimit::default();
    limit.apply_response(Millis(10), Millis(5), AdvertisedLimit::Unreadable);
    assert_eq!(limit.rate(), Some(Rate::UNREADABLE));
    limit.apply_response(Millis(20), Millis(15), limited(7.5));
    limit.apply_response(Millis(30), Millis(25), AdvertisedLimit::Unreadable);
    assert_eq!(limit.rate(), Some(rate(7.5)));
}

fn report(per_s: Option<f64>, age_ms: u32) -> ReportedLimit {
    ReportedLimit { born: Some(9), rate: per_s.map(rate), age_ms }
}

#[test]
fn reports_of_other_processes_apply_if_newer_and_of_the_same_run() {
    let mut limit = RateLimit::default();
    assert!(limit.apply_report(Millis(1000), Some(9), report(Some(2.0), 100)));
    assert!(
        !limit.apply_report(Millis(1000), Some(9), report(None, 200)),
        "the reported end is older"
    );
    assert!(
        !limit.apply_report(Millis(1000), Some(8), report(Some(1.0), 0)),
        "the report is about another run"
    );
    assert!(limit.apply_report(Millis(1000), None, report(Some(1.0), 50)));
    assert!(limit.apply_report(Millis(2000), Some(9), report(None, 10)));
}

#[test]
fn end_of_a_limit_overrides_an_older_report_of_the_limit() {
    let mut limit = RateLimit::default();
    limit.apply_report(Millis(1000), None, report(None, 100));
    assert!(
        !limit.apply_report(Millis(1000), None, report(Some(2.0), 300)),
        "that limit has ended"
    );
    assert_eq!(limit.to_report(Millis(1000), None).map(|it| it.rate), Some(None));
}

#[test]
fn mutual_reports_do_not_lower_the_age_of_a_limit() {
    let (mut process_a, mut process_b) = (RateLimit::default(), RateLimit::default());
    process_a.apply_response(Millis(0), Millis(0), limited(2.0));
    for second in 1..60 {
        let at = Millis(second * 1000);
        process_b.apply_report(at.plus(40), None, process_a.to_report(at, None).unwrap());
        process_a.apply_report(at.plus(80), None, process_b.to_report(at.plus(40), None).unwrap());
    }
    let age = process_a.to_report(Millis(60_000), None).unwrap().age_ms;
    assert!(age >= 59_900, "{age}");
}

#[test]
fn end_of_a_limit_is_reported_for_a_while_and_again_after_an_outdated_report() {
    let mut limit = RateLimit::default();
    limit.apply_response(Millis(0), Millis(0), limited(2.0));
    limit.apply_response(Millis(1000), Millis(900), AdvertisedLimit::Unlimited);
    assert_eq!(limit.to_report(Millis(2000), None).map(|it| it.rate), Some(None));
    assert_eq!(limit.to_report(Millis(30_000), None), None);
    assert!(!limit.apply_report(Millis(30_000), None, report(Some(2.0), 29_500)));
    assert_eq!(limit.to_report(Millis(31_000), None).map(|it| it.rate), Some(None));
}
