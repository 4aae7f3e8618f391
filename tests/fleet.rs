//! Tests of small fleets that run the real daemon code, with faults.

use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_io::block_on;
use errors::Code;
use fleet::{Intent, ServiceName};
use lab::{ChatCaller, Lab, LabOptions, Outcome};
use settings::RequestKind;

/// Timeout of any single wait; a test that exceeds it fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

fn start(options: LabOptions) -> Lab {
    let executor = Arc::new(Executor::new());
    Lab::run_threads(&executor);
    let lab = block_on(Lab::start(&executor, options)).unwrap();
    block_on(lab.wait_ready(TEST_TIMEOUT)).unwrap();
    lab
}

fn content(seed: u8) -> Vec<u8> {
    (0..300_000u32).map(|n| (n % 251) as u8 ^ seed).collect()
}

/// Deploys a version to every engine and waits until it is live.
fn go_live(lab: &Lab, content: &[u8]) {
    let engines = lab.agents.iter().filter(|it| it.engine.is_some()).count();
    let manifest = block_on(lab.publish("v", content)).unwrap();
    block_on(lab.deploy("tips", manifest.version(), engines)).unwrap();
    block_on(lab.wait_live(manifest.version(), engines, TEST_TIMEOUT)).unwrap();
    block_on(lab.wait_routed(manifest.version(), engines)).unwrap();
}

fn caller(lab: &Lab) -> ChatCaller {
    ChatCaller {
        address: lab.entries[0].callers(),
        model: "tips".into(),
        tokens: 4,
        stream: true,
        timeout: TEST_TIMEOUT,
    }
}

#[test]
fn serves_complete_versions_over_corrupting_links() {
    let lab = start(LabOptions::default());
    lab.agents.iter().for_each(|agent| agent.link.set_corrupt_percent(20));
    lab.platform.origin.set_corrupt_percent(20);
    let content = content(1);
    go_live(&lab, &content);
    let answer = block_on(caller(&lab).chat("a question"));
    assert_eq!(answer.outcome, Outcome::Complete);
    assert_eq!(answer.fingerprint, blake3::hash(&content).to_hex().to_string());
    let damaged: u64 = lab.agents.iter().map(|agent| agent.link.corrupted_chunks()).sum();
    assert!(damaged > 0);
}

#[test]
fn fetches_one_copy_from_the_origin_if_one_is_allowed() {
    let lab = start(LabOptions { engines: 6, ..LabOptions::default() });
    let content = content(2);
    go_live(&lab, &content);
    assert_eq!(lab.platform.origin.sent_bytes(), content.len() as u64);
}

#[test]
fn distributes_to_a_restarted_agent_while_the_table_is_down() {
    let mut lab = start(LabOptions { engines: 4, ..LabOptions::default() });
    let content = content(3);
    go_live(&lab, &content);
    lab.platform.table.faults.set_down(true);
    lab.agents.iter().find(|it| it.id.0 == "engine-001").unwrap().node.kill();
    block_on(lab.add_engine("engine-001")).unwrap();
    let version = fleet::Manifest::describe("v", &content).unwrap().version();
    block_on(lab.wait_live(version, 4, TEST_TIMEOUT)).unwrap();
}

#[test]
fn answers_requests_while_a_version_is_replaced_and_rolled_back() {
    let lab = start(LabOptions::default());
    let (first, second) = (content(4), content(5));
    let known = [&first, &second].map(|it| blake3::hash(it).to_hex().to_string());
    go_live(&lab, &first);
    let operator = lab.operator(0);
    let manifest = block_on(lab.publish("v2", &second)).unwrap();
    block_on(lab.deploy("tips", manifest.version(), 3)).unwrap();
    let mut switched = false;
    while !switched {
        let answer = block_on(caller(&lab).chat("a question"));
        assert_eq!(answer.outcome, Outcome::Complete);
        assert!(known.contains(&answer.fingerprint));
        switched = lab.live(manifest.version()).len() == 3;
    }
    let plan = block_on(operator.plan(&Intent::Rollback { model: "tips".into() })).unwrap();
    block_on(operator.confirm(&plan.id)).unwrap();
    let old = fleet::Manifest::describe("v", &first).unwrap().version();
    block_on(lab.wait_live(old, 3, TEST_TIMEOUT)).unwrap();
}

#[test]
fn runs_a_request_with_an_idempotency_key_once_and_replays_its_answer() {
    let kind = RequestKind {
        name: "till".into(),
        path: "/till/".into(),
        service: Some(ServiceName("ledger".into())),
        repeatable: false,
        priority: 5,
        max_wait_ms: 1000,
    };
    let lab = start(LabOptions {
        engines: 0,
        services: vec![("ledger".into(), 2)],
        kinds: vec![kind],
        ..LabOptions::default()
    });
    let post = |entry: usize| {
        let address = lab.entries[entry].callers();
        let headers = [("idempotency-key", "shift-7")];
        block_on(lab::post(address, "/till/shift", &headers, b"total".to_vec(), TEST_TIMEOUT))
    };
    assert_eq!(post(0), Outcome::Complete);
    // Until the answer is stored, a repeated request is refused with `InProgress`.
    let mut again = post(1);
    while again != Outcome::Complete {
        assert_eq!(again, Outcome::Unknown(Code::InProgress));
        again = post(1);
    }
    let runs: u64 = lab
        .agents
        .iter()
        .filter_map(|it| it.service.as_ref())
        .flat_map(|it| it.runs().into_values())
        .sum();
    assert_eq!(runs, 1);
    lab.platform.table.faults.set_down(true);
    assert_eq!(post(0), Outcome::NotRun(Code::ClaimUnavailable));
}

#[test]
fn sends_no_new_requests_to_a_leaving_upstream() {
    let lab = start(LabOptions { engines: 2, ..LabOptions::default() });
    go_live(&lab, &content(6));
    let leaving_agent = &lab.agents[0];
    let operator = lab.operator(1);
    let plan =
        block_on(operator.plan(&Intent::Leave { instance: leaving_agent.id.clone() })).unwrap();
    let revision = block_on(operator.confirm(&plan.id)).unwrap();
    let has_applied_revision =
        || leaving_agent.node.with_state(|it| it.control.configuration().revision >= revision);
    block_on(lab.wait(TEST_TIMEOUT, has_applied_revision)).unwrap();
    let engine = leaving_agent.engine.as_ref().unwrap();
    let before = engine.completions_started();
    for number in 0..20 {
        let answer = block_on(caller(&lab).chat(&format!("question {number}")));
        assert_eq!(answer.outcome, Outcome::Complete);
    }
    assert_eq!(engine.completions_started(), before);
}

#[test]
fn a_small_adapter_goes_live_before_a_large_model_deployed_earlier() {
    let lab = start(LabOptions {
        link_bytes_per_s: 4 << 20,
        origin_bytes_per_s: 8 << 20,
        ..LabOptions::default()
    });
    go_live(&lab, &content(7));
    let large = vec![8; 16 << 20];
    let model = block_on(lab.publish("large", &large)).unwrap();
    block_on(lab.deploy("tips", model.version(), 3)).unwrap();
    let adapter = block_on(lab.publish("adapter", &content(9))).unwrap();
    let intent = Intent::Deploy {
        model: "tips-swahili".into(),
        version: adapter.version(),
        replicas: 3,
        role: fleet::Role::Serve,
        halls: Vec::new(),
        adapter_of: Some("tips".into()),
        priority: 1,
    };
    let operator = lab.operator(0);
    let plan = block_on(operator.plan(&intent)).unwrap();
    block_on(operator.confirm(&plan.id)).unwrap();
    block_on(lab.wait_live(adapter.version(), 3, TEST_TIMEOUT)).unwrap();
    // The model is about sixty times as large and was deployed first.
    assert!(lab.live(model.version()).is_empty());
    block_on(lab.wait_live(model.version(), 3, TEST_TIMEOUT)).unwrap();
}
