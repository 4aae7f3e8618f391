//! Tests of increasing eras and of answers that arrive out of order.

use http::HeaderValue;

use super::*;

fn answer(era: Option<&str>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Some(era) = era {
        headers.insert(store::ERA, HeaderValue::from_str(era).unwrap());
    }
    headers
}

fn era() -> Era {
    Era::new(Rc::new(Metrics::start().unwrap()))
}

#[test]
fn answers_without_an_era_are_accepted_from_a_store_without_eras() {
    let era = era();
    assert_eq!(era.record(&answer(None)).unwrap(), None);
    assert_eq!(era.current(), None);
}

#[test]
fn only_an_increase_after_the_first_era_notifies() {
    let era = era();
    let notifications = era.subscribe();
    era.record(&answer(Some("7"))).unwrap();
    assert!(notifications.try_recv().is_err());
    era.record(&answer(Some("7"))).unwrap();
    assert!(notifications.try_recv().is_err());
    era.record(&answer(Some("8"))).unwrap();
    assert!(notifications.try_recv().is_ok());
    assert_eq!(era.current(), Some(8));
}

#[test]
fn answers_with_a_lower_or_missing_era_are_errors_after_one_with_an_era() {
    let era = era();
    era.record(&answer(Some("8"))).unwrap();
    assert!(era.record(&answer(Some("7"))).is_err());
    assert!(era.record(&answer(None)).is_err());
    assert!(era.record(&answer(Some("soon"))).is_err());
    assert_eq!(era.current(), Some(8));
}
