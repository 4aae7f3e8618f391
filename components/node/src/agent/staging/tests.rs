//! Tests of `staging`.

use super::*;

#[test]
fn takes_only_the_chunks_that_the_manifest_names() {
    let content = vec![7; 10_000];
    let manifest = Arc::new(Manifest::describe_with("m", &content, 4096).unwrap());
    let staging = Staging::default();
    staging.open(&manifest);
    let version = manifest.version();
    assert_eq!(staging.put(version, 0, vec![8; 4096]), Put::Corrupt);
    assert_eq!(staging.put(version, 9, vec![7; 4096]), Put::Corrupt);
    assert_eq!(staging.put(version, 0, vec![7; 4096]), Put::Staged);
    assert_eq!(staging.bytes(), 4096);
    staging.drop_version(version);
    assert!(staging.get(version, 0).is_none());
    assert_eq!(staging.put(version, 0, vec![7; 4096]), Put::Unwanted);
}
