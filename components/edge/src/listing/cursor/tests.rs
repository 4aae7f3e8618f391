use platform::store::{self, Page, Table};
use proptest::prelude::*;
use serde_json::json;

use super::Cursor;

/// Returns a page with rows of these keys, and one whose key cannot be read for each `None`.
fn page(keys: &[Option<&str>], more: bool) -> Page {
    let rows: Vec<_> = keys.iter().map(|it| json!({"privateKey": it, "ver": 1})).collect();
    let body = json!({"rows": rows, "more": more, "ver": 9}).to_string();
    store::read(Table::Runners, body.as_bytes()).unwrap()
}

#[test]
fn a_listing_continues_after_the_last_readable_key_until_there_are_no_more_rows() {
    let mut cursor = Cursor::default();
    assert_eq!(cursor.start(), "");
    assert!(cursor.advance(&page(&[Some("a"), Some("b"), None], true)).unwrap());
    assert_eq!(cursor.start(), "b%00");
    assert!(!cursor.advance(&page(&[None], false)).unwrap());
}

#[test]
fn a_page_without_a_readable_key_is_requested_once_more_with_the_most_rows() {
    let mut cursor = Cursor::default();
    assert!(cursor.advance(&page(&[Some("a")], true)).unwrap());
    assert!(cursor.advance(&page(&[None, None], true)).unwrap());
    assert!(cursor.needs_whole_page());
    assert_eq!(cursor.start(), "a%00");
    assert!(cursor.advance(&page(&[None, None, Some("b")], true)).unwrap());
    assert!(!cursor.needs_whole_page());
    assert_eq!(cursor.start(), "b%00");
}

#[test]
fn a_listing_does_not_repeat_pages_without_end() {
    for repeated in [&[][..], &[None], &[Some("a")], &[Some("b")], &[Some("b"), Some("a")]] {
        let mut cursor = Cursor::default();
        assert!(cursor.advance(&page(&[Some("a"), Some("b")], true)).unwrap());
        assert!(cursor.advance(&page(repeated, true)).unwrap());
        assert!(cursor.advance(&page(repeated, true)).is_err(), "{repeated:?}");
    }
}

proptest! {
    #[test]
    fn any_pages_move_a_listing_forward_or_end_it(
        pages in prop::collection::vec(prop::collection::vec(prop::option::of("[a-c]{1,2}"), 0..4), 1..50)
    ) {
        let mut cursor = Cursor::default();
        let mut repeated = 0;
        for keys in pages {
            let keys: Vec<Option<&str>> = keys.iter().map(Option::as_deref).collect();
            let before = cursor.last_key.clone();
            if cursor.advance(&page(&keys, true)).is_err() {
                break;
            }
            prop_assert!(cursor.last_key >= before);
            repeated = if cursor.last_key > before { 0 } else { repeated + 1 };
            prop_assert!(repeated <= 1);
        }
    }
}
