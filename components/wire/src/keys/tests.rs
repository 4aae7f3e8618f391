//! Tests of `keys`.

use super::*;

#[test]
fn can_verify_with_either_key_during_a_change() {
    let old = KeyRing::parse("old-key-old-key-old-key").unwrap();
    let both = KeyRing::parse("new-key-new-key-new-key\nold-key-old-key-old-key").unwrap();
    let tag = old.sign(&[b"hello"]);
    assert!(both.verify(&[b"hello"], &tag));
    assert!(!old.verify(&[b"hello"], &both.sign(&[b"hello"])));
    old.replace("new-key-new-key-new-key").unwrap();
    assert!(old.verify(&[b"hello"], &both.sign(&[b"hello"])));
}

#[test]
fn errors_on_a_short_key_and_on_three_keys() {
    assert!(KeyRing::parse("short").is_err());
    assert!(KeyRing::parse(&"a-long-enough-key-1\n".repeat(3)).is_err());
}

#[test]
fn does_not_print_keys() {
    let ring = KeyRing::parse("a-very-secret-cluster-key").unwrap();
    assert_eq!(format!("{ring:?}"), "KeyRing(..)");
}
