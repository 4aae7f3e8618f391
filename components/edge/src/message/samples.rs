//! Samples of every message, as written by landed builds. `SILVERDOCK_SAMPLES=FOLDER cargo test -p edge
//! samples` writes the samples of this build.

use std::path::{Path, PathBuf};

use fleet::{Evacuation, IncarnationReport, Millis};
use gateway::{KnownGateway, WeightsHeld};
use quarantine::{CrashLedger, IncarnationDigest, ListScope, SubjectDigest};
use rollout::ColdPlan;

use super::*;
use crate::extensions::{decode_datagram, encode_datagram};

/// The builds that have landed, oldest first.
const BUILDS: [&str; 6] = ["a81c536", "75577d2", "89549fe", "d0d2fa6", "efa0735", "3667619"];
/// The builds that append the store's era to messages.
const BUILDS_WITH_ERAS: [&str; 5] = ["75577d2", "89549fe", "d0d2fa6", "efa0735", "3667619"];

fn address(last: u8, port: u16) -> SocketAddr {
    ([10, 0, 0, last], port).into()
}

fn evacuations() -> EvacuationList {
    let evacuation = |hall: &str, age_ms| Evacuation { hall: hall.into(), age_ms };
    let evacuated = vec![evacuation("nbo-hall-a", Some(1500)), evacuation("mba-hall-a", None)];
    EvacuationList { place: 530.into(), evacuated }
}

fn crashes() -> CrashList {
    let mut ledger = CrashLedger::default();
    for number in 0..3 {
        let life = IncarnationDigest::of(&format!("i-{number}").as_str().into(), Some(1));
        ledger.note_crash(Millis(1_000_000), SubjectDigest(77), life, Millis(500_000));
    }
    ledger.list(Millis(1_000_000), ListScope::Suspects, 0)
}

fn named() -> AnnouncedVersion {
    AnnouncedVersion { model: "m".into(), version: 3, age_ms: Some(700), after_ms: None }
}

fn stored_chunks() -> Bitmap {
    let mut stored_chunks = Bitmap::new(64);
    [0, 5, 63].into_iter().for_each(|it| stored_chunks.insert(it));
    stored_chunks
}

fn place() -> Location {
    Location { region: "nairobi".into(), hall: "nbo-hall-a".into() }
}

fn load() -> RunnerLoad {
    RunnerLoad {
        life: IncarnationReport { born: Some(1_764_720_000_000), sequence: 4 },
        running: 3,
        waiting: 1,
        busy: true,
        pace: 1.25,
        reading_ms: 40,
        weights: Some(WeightsHeld { model: "m".into(), version: 2, whole: true }),
        serves_in_ms: Some(900),
        named: Some(named()),
    }
}

fn services() -> Vec<WeightsService> {
    let plan = WeightsPlan {
        model: "m".into(),
        warm_ms: 300,
        origin_bytes_per_s: 1_237_500,
        slots: 16,
        prompt_tokens_per_ms: 19.1,
        cold: Some(ColdPlan { start_ms: 3000, requests_per_s: 6.0 }),
    };
    vec![WeightsService { service: "s1".into(), origin: address(3, 8006), layers: 16, plan }]
}

/// Every datagram, by name.
fn datagrams() -> Vec<(&'static str, Datagram)> {
    let sidecars = vec![
        ListedSidecar { machine: [10, 0, 0, 7].into(), version: Some(2) },
        ListedSidecar { machine: [10, 0, 0, 8].into(), version: None },
    ];
    let part = SidecarsPart {
        question: 9,
        part: 0,
        parts: 2,
        fresh: true,
        hall: "nbo-hall-a".into(),
        sidecars,
    };
    let known = KnownGateway { address: address(2, 7700), tenths: 12 };
    let reserved = |reply| Datagram::Reserved {
        question: 300,
        reply,
        load: Some(load()),
        evacuations: evacuations(),
        limit: None,
    };
    vec![
        (
            "subscribe",
            Datagram::Subscribe {
                hall: "nbo-hall-a".into(),
                named: vec![named()],
                services: services(),
                evacuations: evacuations(),
                cold_ms: Some(2500),
                crashes: crashes(),
                wants_gateways: true,
                limits: Vec::new(),
                clock_ms: None,
            },
        ),
        (
            "gateways",
            Datagram::Gateways(GatewayList { asker: address(1, 7700), gateways: vec![known] }),
        ),
        ("crashes", Datagram::Crashes { crashes: crashes(), limits: Vec::new() }),
        (
            "load",
            Datagram::Load {
                runner: address(5, 8528),
                load: load(),
                evacuations: evacuations(),
                crashes: crashes(),
                clock_ms: None,
            },
        ),
        (
            "reserve",
            Datagram::Reserve {
                question: 300,
                request: "b23c7ba3fb5513d1".into(),
                prompt_tokens: 977,
                rank: 12,
                left_ms: 380,
                wait_ms: 88,
                limit: None,
                pinned_ms: None,
            },
        ),
        ("reserved-granted", reserved(Reply::Granted)),
        ("reserved-queued", reserved(Reply::Queued)),
        ("reserved-denied", reserved(Reply::Denied { again_ms: 60, short_ms: None })),
        ("want-sidecars", Datagram::WantSidecars { question: 9, service: "s1".into() }),
        ("sidecars", Datagram::Sidecars(part)),
        ("ordered", Datagram::Ordered),
        ("who-ordered", Datagram::WhoOrdered),
        ("you-ordered-last", Datagram::YouOrderedLast),
        (
            "summary",
            Datagram::Summary {
                from: "10.0.0.7".into(),
                place: place(),
                version: 3,
                have: stored_chunks(),
            },
        ),
    ]
}

/// Every datagram that no landed build writes, by name.
fn unlanded_datagrams() -> Vec<(&'static str, Datagram)> {
    vec![("pin-ended", Datagram::PinEnded { question: 300 })]
}

/// Every datagram with the store's era, by name.
fn datagrams_with_eras() -> Vec<(&'static str, Datagram)> {
    let names = [
        ("subscribe", "subscribe-era"),
        ("load", "load-era"),
        ("reserved-granted", "reserved-era"),
    ];
    let with_era = |(of, name)| {
        let mut all = datagrams().into_iter();
        let mut datagram = all.find(|it| it.0 == of).expect("it has a sample").1;
        let evacuations = datagram.evacuations_mut().expect("it has a list of evacuations");
        evacuations.place.era = Some(9);
        (name, datagram)
    };
    names.into_iter().map(with_era).collect()
}

/// Every request over TCP, by name.
fn requests() -> Vec<(&'static str, PeerRequest)> {
    let chunk = ChunkRequest {
        version: 3,
        index: 17,
        from: "10.0.0.7".into(),
        place: place(),
        have: stored_chunks(),
    };
    vec![
        ("request-chunk", PeerRequest::Chunk(chunk)),
        ("request-manifest", PeerRequest::Manifest { version: 3 }),
    ]
}

/// Every answer over TCP, by name.
fn answers() -> Vec<(&'static str, PeerAnswer)> {
    let manifest = Manifest::describe("v3", &[7; 5000]).expect("it has chunks");
    vec![
        ("answer-manifest", PeerAnswer::Manifest(manifest)),
        ("answer-chunk", PeerAnswer::Chunk { bytes: vec![1, 2, 3, 250], have: stored_chunks() }),
        ("answer-missing", PeerAnswer::Missing),
        ("answer-busy", PeerAnswer::Busy),
    ]
}

fn directory(build: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("samples").join(build)
}

fn sample(build: &str, name: &str) -> Vec<u8> {
    let path = directory(build).join(name);
    std::fs::read(&path).unwrap_or_else(|error| panic!("{path:?}: {error}"))
}

/// Compares the format with what a build wrote: each sample decodes to its value, and the value encodes to
/// the same bytes.
fn assert_format_unchanged<T>(build: &str, samples: Vec<(&'static str, T)>)
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    for (name, value) in samples {
        let bytes = sample(build, name);
        assert_eq!(decode::<T>(&bytes).unwrap(), value, "{build} {name}");
        assert_eq!(encode(&value), bytes, "{build} {name}");
    }
}

#[test]
fn every_message_of_each_landed_build_is_read_and_written_as_it_was() {
    for build in BUILDS {
        assert_format_unchanged(build, datagrams());
        assert_format_unchanged(build, requests());
        assert_format_unchanged(build, answers());
    }
}

/// Builds without eras read everything except the era.
#[test]
fn every_datagram_with_an_era_is_read_and_written_as_it_was() {
    for build in BUILDS_WITH_ERAS {
        for (name, value) in datagrams_with_eras() {
            let bytes = sample(build, name);
            let (read, additions) = decode_datagram(&bytes).unwrap();
            assert_eq!((&read, additions.unknown), (&value, 0), "{build} {name}");
            assert_eq!(encode_datagram(&value), bytes, "{build} {name}");
            let mut without = value;
            without.evacuations_mut().expect("it has a list").place.era = None;
            assert_eq!(decode::<Datagram>(&bytes).unwrap(), without, "{build} {name}");
        }
    }
}

/// Any landed build may exchange datagrams with a build that is two landings older or newer.
#[test]
fn samples_are_identical_in_all_landed_builds() {
    let names = datagrams().into_iter().map(|it| it.0);
    let names = names.chain(requests().into_iter().map(|it| it.0));
    for name in names.chain(answers().into_iter().map(|it| it.0)) {
        let first = sample(BUILDS[0], name);
        assert!(BUILDS.iter().all(|build| sample(build, name) == first), "{name}");
    }
}

#[test]
fn every_kind_of_datagram_has_a_sample() {
    let all = datagrams().into_iter().chain(unlanded_datagrams());
    let variants: std::collections::BTreeSet<u8> = all.map(|(_, it)| encode(&it)[0]).collect();
    assert_eq!(variants, (0..variants.len() as u8).collect());
    assert!(decode::<Datagram>(&[variants.len() as u8]).is_err(), "a variant has no sample");
}

#[test]
fn samples_of_this_build_are_written_on_request() {
    let Ok(directory) = std::env::var("SILVERDOCK_SAMPLES") else {
        return;
    };
    let all_datagrams = datagrams().into_iter().chain(unlanded_datagrams());
    let datagram_bytes = all_datagrams.map(|(name, it)| (name, encode(&it)));
    let request_bytes = requests().into_iter().map(|(name, it)| (name, encode(&it)));
    let answer_bytes = answers().into_iter().map(|(name, it)| (name, encode(&it)));
    let datagram_with_era_bytes =
        datagrams_with_eras().into_iter().map(|(name, it)| (name, encode_datagram(&it)));
    let all =
        datagram_bytes.chain(datagram_with_era_bytes).chain(request_bytes).chain(answer_bytes);
    std::fs::create_dir_all(&directory).unwrap();
    for (name, bytes) in all {
        std::fs::write(Path::new(&directory).join(name), bytes).unwrap();
    }
}
