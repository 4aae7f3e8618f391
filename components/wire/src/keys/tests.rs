use super::*;

#[test]
fn codes_of_both_keys_are_valid_during_a_rotation() {
    let old = KeyRing::parse("old-key-old-key-old-key").unwrap();
    let both = KeyRing::parse("new-key-new-key-new-key\nold-key-old-key-old-key").unwrap();
    let tag = old.sign(&[b"hello"]);
    assert!(both.verify(&[b"hello"], &tag));
    assert!(!old.verify(&[b"hello"], &both.sign(&[b"hello"])));
    old.replace("new-key-new-key-new-key").unwrap();
    assert!(old.verify(&[b"hello"], &both.sign(&[b"hello"])));
}

#[test]
fn a_short_key_and_three_keys_are_rejected() {
    assert!(KeyRing::parse("short").is_err());
    assert!(KeyRing::parse(&"a-long-enough-key-1\n".repeat(3)).is_err());
}

#[test]
fn debug_output_does_not_contain_keys() {
    let ring = KeyRing::parse("a-very-secret-cluster-key").unwrap();
    assert_eq!(format!("{ring:?}"), "KeyRing(..)");
}
