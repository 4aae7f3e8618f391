use super::*;

#[test]
fn only_chunks_that_match_the_manifest_are_stored() {
    let content = vec![7; 10_000];
    let manifest = Arc::new(Manifest::describe_with("m", &content, 4096).unwrap());
    let staging = Staging::default();
    staging.add_version(&manifest);
    let version = manifest.version();
    assert_eq!(staging.put(version, 0, vec![8; 4096]), PutResult::Corrupt);
    assert_eq!(staging.put(version, 9, vec![7; 4096]), PutResult::Corrupt);
    assert_eq!(staging.put(version, 0, vec![7; 4096]), PutResult::Staged);
    assert_eq!(staging.bytes(), 4096);
    staging.drop_version(version);
    assert!(staging.get(version, 0).is_none());
    assert_eq!(staging.put(version, 0, vec![7; 4096]), PutResult::UnknownVersion);
}
