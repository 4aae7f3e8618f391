//! Tests of daemons as separate processes, with signals and kills.

mod garbage_engine;
mod support;

use std::time::{Duration, Instant};

use errors::Code;
use lab::{ChatCaller, Outcome};
use rustix::process::Signal;
use standins::EngineOptions;
use support::{retry, run_daemon, wait_until, Daemon, TestCluster, OPERATOR_TOKEN, TEST_TIMEOUT};

/// Number of tokens of a stream during which a process is stopped.
const LONG_STREAM_TOKENS: u32 = 40;
/// Number of tokens of a stream that would last for hours.
const ENDLESS_STREAM_TOKENS: u32 = 1_000_000;
/// A grace period that is shorter than a request.
const SHORT_GRACE: Duration = Duration::from_secs(2);

fn caller(entry: &Daemon, tokens: u32, stream: bool) -> ChatCaller {
    ChatCaller {
        address: entry.callers,
        model: "tips".into(),
        tokens,
        stream,
        timeout: TEST_TIMEOUT,
    }
}

/// Options of an engine whose streams of `LONG_STREAM_TOKENS` last about a second.
fn slow_engine() -> EngineOptions {
    EngineOptions { token_time: Duration::from_millis(25), ..EngineOptions::default() }
}

/// Starts a stream and returns how it ended. `during` runs once the engine has begun to answer.
fn stream_during(entry: &Daemon, agent: &Daemon, tokens: u32, during: impl FnOnce()) -> Outcome {
    let caller = caller(entry, tokens, true);
    let call = std::thread::spawn(move || async_io::block_on(caller.chat("a long question")));
    wait_until(|| agent.engine.as_ref().is_some_and(|engine| engine.completions_started() > 0));
    during();
    call.join().unwrap().outcome
}

#[test]
fn answers_plain_and_streamed_requests() {
    let cluster = TestCluster::new("answer");
    let entry = cluster.entry("entry-1");
    let _agents =
        [cluster.engine("engine-1", slow_engine()), cluster.engine("engine-2", slow_engine())];
    cluster.deploy(&entry, 2);
    for stream in [false, true] {
        let answer = async_io::block_on(caller(&entry, 4, stream).chat("a question"));
        assert_eq!(answer.outcome, Outcome::Complete);
    }
}

#[test]
fn a_stopping_agent_cuts_off_no_request() {
    let cluster = TestCluster::new("agent-stop");
    let entry = cluster.entry("entry-1");
    let mut agent = cluster.engine("engine-1", slow_engine());
    cluster.deploy(&entry, 1);
    let outcome = stream_during(&entry, &agent, LONG_STREAM_TOKENS, || agent.signal(Signal::TERM));
    assert_eq!(outcome, Outcome::Complete);
    assert_eq!(agent.wait_exit().code(), Some(0));
}

#[test]
fn a_stopping_entry_cuts_off_no_request() {
    let cluster = TestCluster::new("entry-stop");
    let mut entry = cluster.entry("entry-1");
    let agent = cluster.engine("engine-1", slow_engine());
    cluster.deploy(&entry, 1);
    let outcome = stream_during(&entry, &agent, LONG_STREAM_TOKENS, || entry.signal(Signal::TERM));
    assert_eq!(outcome, Outcome::Complete);
    assert_eq!(entry.wait_exit().code(), Some(0));
}

#[test]
fn a_request_at_the_end_of_an_entry_s_grace_period_does_not_end_without_an_answer() {
    let mut cluster = TestCluster::new("entry-grace");
    cluster.stop_grace_s = SHORT_GRACE.as_secs();
    let mut entry = cluster.entry("entry-1");
    let agent = cluster.engine("engine-1", slow_engine());
    cluster.deploy(&entry, 1);
    let endless = caller(&entry, ENDLESS_STREAM_TOKENS, false);
    let call = std::thread::spawn(move || async_io::block_on(endless.chat("an endless question")));
    wait_until(|| agent.engine.as_ref().is_some_and(|engine| engine.completions_started() > 0));
    let began = Instant::now();
    entry.signal(Signal::TERM);
    assert_eq!(call.join().unwrap().outcome, Outcome::Unknown(Code::TimedOut));
    assert!(began.elapsed() < SHORT_GRACE, "{:?}", began.elapsed());
    assert_ne!(entry.wait_exit().code(), Some(0), "the stop is not reported as complete");
}

#[test]
fn the_answer_of_a_killed_agent_is_not_passed_on_as_complete() {
    let cluster = TestCluster::new("agent-kill");
    let entry = cluster.entry("entry-1");
    let agent = cluster.engine("engine-1", slow_engine());
    cluster.deploy(&entry, 1);
    let outcome =
        stream_during(&entry, &agent, ENDLESS_STREAM_TOKENS, || agent.signal(Signal::KILL));
    assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
}

#[test]
fn refuses_a_wrong_token_and_accepts_a_new_one_after_sighup() {
    let cluster = TestCluster::new("token");
    let entry = cluster.entry("entry-1");
    retry(|| async_io::block_on(entry.operator(OPERATOR_TOKEN).status()));
    let wrong = async_io::block_on(entry.operator("a-token-nobody-knows").status());
    assert_eq!(wrong.unwrap_err().code, Code::Unauthorized);
    std::fs::write(cluster.directory.join("token"), "the-next-token-of-all").unwrap();
    entry.signal(Signal::HUP);
    wait_until(|| async_io::block_on(entry.operator("the-next-token-of-all").status()).is_ok());
    let old = async_io::block_on(entry.operator(OPERATOR_TOKEN).status());
    assert_eq!(old.unwrap_err().code, Code::Unauthorized);
}

#[test]
fn reports_all_faults_of_its_settings_and_exits_with_code_two() {
    let cluster = TestCluster::new("faults");
    let path = cluster.directory.join("broken.ini");
    std::fs::write(&path, "[node]\nrole = captain\nlisten = here\n[surprise]\nkey = 1\n").unwrap();
    let output = run_daemon(&path).stderr(std::process::Stdio::piped()).output().unwrap();
    let report = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2));
    for fault in [
        "[node] role = \"captain\"",
        "[node] listen = \"here\"",
        "[surprise] key",
        "[platform] table",
    ] {
        assert!(report.contains(fault), "{report}");
    }
}
