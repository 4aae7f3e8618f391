//! Tests of `id`.

use super::*;

#[test]
fn can_read_back_a_version_from_its_text() {
    let version = VersionId([7; 32]);
    assert_eq!(version.to_string().parse::<VersionId>().unwrap(), version);
}

#[test]
fn errors_on_a_short_version() {
    assert_eq!("abc".parse::<VersionId>().unwrap_err().code, Code::UnknownVersion);
}
