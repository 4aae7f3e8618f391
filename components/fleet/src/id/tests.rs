//! Unit tests for `id`.

use super::*;

#[test]
fn version_id_round_trips_through_its_text() {
    let version = VersionId([7; 32]);
    assert_eq!(version.to_string().parse::<VersionId>().unwrap(), version);
}

#[test]
fn errors_on_a_short_version_id() {
    assert_eq!("abc".parse::<VersionId>().unwrap_err().code, Code::UnknownVersion);
}
