//! Tests of which requests get the same digest.

use fleet::WorkspaceId;
use quarantine::SubjectDigest;

fn digest(method: &str, path: &str, workspace: &str, body: &[u8]) -> SubjectDigest {
    SubjectDigest::of_request(method, path, Some(&WorkspaceId::from(workspace)), body)
}

#[test]
fn a_repeated_request_has_the_same_digest() {
    assert_eq!(digest("POST", "/a/b?c", "w", b"body"), digest("POST", "/a/b?c", "w", b"body"));
}

#[test]
fn the_digest_is_the_same_in_every_build() {
    assert_eq!(digest("POST", "/a/b?c", "w", b"body").to_string(), "83de13c29da3f60f");
}

#[test]
fn every_part_of_a_request_changes_the_digest() {
    let request = digest("POST", "/a", "w", b"body");
    assert_ne!(request, digest("PUT", "/a", "w", b"body"));
    assert_ne!(request, digest("POST", "/b", "w", b"body"));
    assert_ne!(request, digest("POST", "/a", "v", b"body"));
    assert_ne!(request, digest("POST", "/a", "w", b"other"));
    assert_ne!(request, SubjectDigest::of_request("POST", "/a", None, b"body"));
}

#[test]
fn moving_bytes_between_parts_changes_the_digest() {
    assert_ne!(digest("POST", "/ab", "c", b""), digest("POST", "/a", "bc", b""));
}

#[test]
fn the_digest_of_a_prompt_part_is_the_same_in_every_build_and_differs_from_that_of_a_request() {
    let part = SubjectDigest::of_part("5c1e07a2");
    assert_eq!(part.to_string(), "ffff5f9c56ac5a5b");
    assert!(part.is_part());
    assert_ne!(part, SubjectDigest::of_part("5c1e07a3"));
    assert!(!digest("POST", "/a", "w", b"body").is_part());
}
