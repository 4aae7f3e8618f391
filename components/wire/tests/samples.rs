//! Compares the encoding of every message with samples that earlier builds wrote.
//! `SILVERDOCK_SAMPLES=FOLDER cargo test -p wire --test samples` writes the samples of this build.

use std::fmt::Debug;
use std::path::{Path, PathBuf};

use errors::Code;
use fleet::{Bitmap, Incarnation, Location, Process, RequestId, Revision, Role, VersionId};
use proptest::prelude::*;
use quarantine::CrashList;
use serde::de::DeserializeOwned;
use serde::Serialize;
use wire::{
    Call, Datagram, DatagramBody, Load, MemberNews, MemberRecord, MemberState, Message, Serving,
    ServingTag,
};

/// The commits whose builds wrote the samples, oldest first.
const BUILDS: [&str; 6] = ["a81c536", "75577d2", "89549fe", "d0d2fa6", "efa0735", "3667619"];
const VERSION: VersionId = VersionId([7; 32]);

fn request() -> RequestId {
    RequestId { entry: Incarnation(5), serial: 900 }
}

fn chunks_held() -> Bitmap {
    let mut chunks_held = Bitmap::new(20);
    [0, 19].into_iter().for_each(|it| chunks_held.insert(it));
    chunks_held
}

fn load() -> Load {
    Load { running: 3, limit: 16, uploads: 1 }
}

fn messages() -> Vec<(&'static str, Message)> {
    let call = Call {
        request: request(),
        model: Some("tips".into()),
        version: Some(VERSION),
        workspace: "w".into(),
        method: "POST".into(),
        path: "/v1/chat/completions?x=1".into(),
        content_type: "application/json".into(),
        budget_ms: 6000,
        priority: 5,
        idempotency_key: Some("shift-7".into()),
        stream: true,
    };
    let refused = |code| Message::Refused { code, retry_after_ms: 1500, load: load() };
    vec![
        ("hello", Message::Hello { from: "engine-001".into() }),
        ("get-configuration", Message::GetConfiguration),
        ("configuration", Message::Configuration { revision: Revision(12) }),
        ("get-manifest", Message::GetManifest { version: VERSION }),
        ("manifest", Message::Manifest),
        ("get-progress", Message::GetProgress { version: VERSION }),
        ("progress", Message::Progress { held: 3, chunks: 20 }),
        ("get-chunk", Message::GetChunk { version: VERSION, index: 4, have: chunks_held() }),
        ("chunk", Message::Chunk { index: 4, have: chunks_held(), uploads: 2 }),
        ("refused", refused(Code::Overloaded)),
        ("call", Message::Call(call)),
        (
            "answer-head",
            Message::AnswerHead {
                request: request(),
                status: 200,
                content_type: "text/event-stream".into(),
                version: Some(VERSION),
            },
        ),
        ("answer-part", Message::AnswerPart { request: request() }),
        ("answer-end", Message::AnswerEnd { request: request(), bytes: 70_000, load: load() }),
        (
            "answer-failed",
            Message::AnswerFailed { request: request(), code: Code::CutShort, load: load() },
        ),
    ]
}

fn datagrams() -> Vec<(&'static str, Datagram)> {
    let serving = Serving { model: "tips".into(), version: VERSION, role: Role::Serve };
    let record = |state| MemberRecord {
        id: "engine-001".into(),
        incarnation: Incarnation(5),
        serial: 3,
        state,
        place: Location { region: "north".into(), hall: "a".into() },
        process: Process::Service("ledger".into()),
        address: ([10, 0, 0, 7], 7400).into(),
        serving: vec![ServingTag::of(&serving)],
    };
    let whole = |state| MemberNews::Whole(Box::new(record(state)));
    let datagram = |body, news| Datagram {
        from: "engine-001".into(),
        incarnation: Incarnation(5),
        revision: Revision(12),
        body,
        news,
    };
    vec![
        ("ping", datagram(DatagramBody::Ping { nonce: 77 }, Vec::new())),
        (
            "ack",
            datagram(
                DatagramBody::Ack { nonce: 77 },
                vec![MemberNews::listed(&record(MemberState::Alive))],
            ),
        ),
        ("ping-for", datagram(DatagramBody::PingFor { target: "e".into() }, Vec::new())),
        (
            "news",
            datagram(
                DatagramBody::News,
                vec![
                    whole(MemberState::Suspect),
                    whole(MemberState::Leaving),
                    whole(MemberState::Dead),
                ],
            ),
        ),
        (
            "summary",
            datagram(DatagramBody::Summary { version: VERSION, have: chunks_held() }, Vec::new()),
        ),
        ("crashes", datagram(DatagramBody::Crashes(CrashList(Vec::new())), Vec::new())),
    ]
}

/// The encoding of a code is its position in the enum, so the order of the codes must not change.
fn codes() -> Vec<(&'static str, Vec<Code>)> {
    vec![("codes", Code::all().collect())]
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap()
}

fn folder(build: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("samples").join(build)
}

fn compare<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    build: &str,
    samples: Vec<(&'static str, T)>,
) {
    for (name, value) in samples {
        let path = folder(build).join(name);
        let bytes = std::fs::read(&path).unwrap_or_else(|error| panic!("{path:?}: {error}"));
        assert_eq!(postcard::from_bytes::<T>(&bytes).unwrap(), value, "{build} {name}");
        assert_eq!(encode(&value), bytes, "{build} {name}");
    }
}

#[test]
fn messages_of_every_earlier_build_decode_and_encode_to_the_same_bytes() {
    for build in BUILDS {
        compare(build, messages());
        compare(build, datagrams());
        compare(build, vec![("codes", first_codes(build))]);
    }
}

/// The first codes of this build, as many as the given build has. New codes are appended at the end.
fn first_codes(build: &str) -> Vec<Code> {
    let bytes = std::fs::read(folder(build).join("codes")).unwrap();
    let earlier: Vec<Code> = postcard::from_bytes(&bytes).unwrap();
    Code::all().take(earlier.len()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// A newer build may append fields to a message, which must not change how the known fields are read.
    #[test]
    fn a_message_with_unknown_appended_fields_is_read_without_them(
        additions in prop::collection::vec(any::<u8>(), 0..60)
    ) {
        for (name, message) in messages() {
            let bytes = [encode(&message), additions.clone()].concat();
            prop_assert_eq!(postcard::from_bytes::<Message>(&bytes).unwrap(), message, "{}", name);
        }
        for (name, datagram) in datagrams() {
            let bytes = [encode(&datagram), additions.clone()].concat();
            prop_assert_eq!(postcard::from_bytes::<Datagram>(&bytes).unwrap(), datagram, "{}", name);
        }
    }
}

#[test]
fn samples_of_this_build_are_written_if_a_folder_is_given() {
    let Ok(folder) = std::env::var("SILVERDOCK_SAMPLES") else {
        return;
    };
    std::fs::create_dir_all(&folder).unwrap();
    let messages = messages().into_iter().map(|(name, it)| (name, encode(&it)));
    let datagrams = datagrams().into_iter().map(|(name, it)| (name, encode(&it)));
    let codes = codes().into_iter().map(|(name, it)| (name, encode(&it)));
    for (name, bytes) in messages.chain(datagrams).chain(codes) {
        std::fs::write(Path::new(&folder).join(name), bytes).unwrap();
    }
}
