//! Origins whose manifests and chunks are none.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::garbage_proxy::{Garbage, GarbageProxy};
use crate::support::Deployment;

/// How long the origin sends garbage.
const GARBAGE_TIME: Duration = Duration::from_millis(1500);
/// How requests for manifests begin.
const MANIFEST: &str = "GET /-/manifest/";
/// How requests for chunks begin.
const CHUNK: &str = "GET /-/piece/";
/// The number of chunks of a version.
const CHUNKS: usize = 64;
/// The size of a chunk, in bytes.
const CHUNK_BYTES: usize = 4096;

/// A manifest of the version that is announced next.
fn manifest(version: u64, chunk_bytes: u64, digests: usize) -> Garbage {
    let digests = vec!["9f".repeat(32); digests];
    let manifest = json!({
        "model": "m", "version": version, "chunkBytes": chunk_bytes, "layers": 16,
        "digests": digests,
    });
    Garbage::with_body(&manifest.to_string())
}

/// Replaces answers of the origin while each version is announced, and expects that the runner holds the version once
/// the origin sends its own answers again.
fn check(replaced: impl IntoIterator<Item = (&'static str, fn(u64) -> Garbage)>) {
    let mut deployment = Deployment::start();
    let proxy = GarbageProxy::new("GET /-/");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let origin = proxy.start(any_port, deployment.standin.origin);
    deployment.standin.reconfigure(|it| it["services"][2]["origin"] = json!(origin.to_string()));
    let runner = deployment.add_model_runner("e1", Some(1));
    let gateway = deployment.add_gateway();
    deployment.wait_until_ready(gateway);
    for (version, (start, garbage)) in (2..).zip(replaced) {
        proxy.replace(Some((start, garbage(version))));
        deployment.standin.announce_version(version);
        thread::sleep(GARBAGE_TIME);
        let held = deployment.standin.runner(runner).unwrap().version;
        assert_eq!(held, Some(version - 1), "nothing of {version} is loaded");
        proxy.replace(None);
        deployment.wait_for_version(runner, version);
        assert!(!deployment.standin.runner(runner).unwrap().loaded_mixed_weights, "{version}");
    }
}

#[test]
fn a_version_is_loaded_once_its_manifest_is_one() {
    check([
        (MANIFEST, (|_| Garbage::with_body("no manifest")) as fn(u64) -> Garbage),
        (MANIFEST, |version| manifest(version, 0, CHUNKS)),
        (MANIFEST, |version| manifest(version, CHUNK_BYTES as u64, 0)),
        (MANIFEST, |version| manifest(version, CHUNK_BYTES as u64, CHUNKS)),
        (MANIFEST, |_| Garbage::Bytes("HTTP/1.1 200 OK\r\ncontent-le".to_owned())),
    ]);
}

#[test]
fn a_version_is_loaded_once_its_manifest_has_as_many_digests_as_chunks() {
    check([(MANIFEST, (|version| manifest(version, CHUNK_BYTES as u64, 1)) as fn(u64) -> Garbage)]);
}

#[test]
fn chunks_that_are_none_are_never_staged() {
    check([
        (CHUNK, (|_| Garbage::with_body(&"x".repeat(CHUNK_BYTES))) as fn(u64) -> Garbage),
        (CHUNK, |_| Garbage::with_body("")),
        (CHUNK, |_| Garbage::Bytes("HTTP/1.1 200 OK\r\ncontent-length: 4096\r\n\r\nx".to_owned())),
        (CHUNK, |_| Garbage::Bytes("no answer\r\n\r\n".to_owned())),
    ]);
}
