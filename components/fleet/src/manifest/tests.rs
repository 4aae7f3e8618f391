//! Unit tests for `manifest`.

use super::*;

#[test]
fn can_find_and_verify_every_chunk() {
    let content: Vec<u8> = (0..10_000u32).map(|n| n as u8).collect();
    let manifest = Manifest::describe_with("m", &content, 4096).unwrap();
    assert_eq!(manifest.chunks(), 3);
    assert_eq!(manifest.range(2), (8192, 1808));
    assert!(manifest.verify(2, &content[8192..]));
    assert!(!manifest.verify(1, &content[8192..]));
}

#[test]
fn errors_on_a_manifest_of_another_version() {
    let manifest = Manifest::describe_with("m", &[1; 5000], 4096).unwrap();
    let bytes = manifest.encode();
    assert_eq!(Manifest::decode(manifest.version(), &bytes).unwrap(), manifest);
    assert!(Manifest::decode(VersionId([0; 32]), &bytes).is_err());
}
