//! Tests of requests that crash runners by one part of their prompts.
//!
//! The failure: requests of one kind crashed one runner after the other, two to four each second, although no request
//! was sent twice. They had one part of their prompts in common. The cause: crashes were attributed to whole requests
//! only, so each of them was a new one with one or two crashes.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use http::Method;
use platform_standin::{Answer, Caller, Run, RunnerFault};

use crate::support::{is_whole_stream, stream, wait_until, Deployment};

/// Number of runners.
const RUNNERS: usize = 10;
/// The part that all requests of the tests begin with.
const FIRST_PART: &str = "a0";
/// A part that crashes runners.
const BAD_PART: &str = "bad0";
/// Another part that crashes runners.
const OTHER_BAD_PART: &str = "bad1";
/// Number of crashes from which the bounds count.
const COUNTED_CRASHES: usize = 5;
/// Within what time after the last counted crash all gateways must know of the part, by the settings of the deployment.
const CONTACT: Duration = Duration::from_millis(3000);
/// Maximum number of requests with the part that runners start after that.
const MAX_LATE_RUNS: usize = 3;
/// How long requests are sent.
const SENDING_PERIOD: Duration = Duration::from_secs(16);
/// Pause between two requests with a part that crashes runners.
const BAD_PAUSE: Duration = Duration::from_millis(150);
/// Pause between two sound requests.
const SOUND_PAUSE: Duration = Duration::from_millis(90);
/// Number of middle parts of sound requests.
const SUBJECTS: usize = 8;

/// The runners and gateways of a test.
struct Parts {
    deployment: Deployment,
    runners: Vec<SocketAddr>,
    gateways: Vec<SocketAddr>,
}

/// A sound request that was sent.
struct Sound {
    id: String,
    sent_at: Instant,
    answer: Answer,
}

impl Parts {
    /// Starts a deployment whose runners crash on these parts, and waits until it serves.
    fn start(crashes_on: &[&str], fault: RunnerFault) -> Self {
        let mut deployment = Deployment::start();
        let runners: Vec<_> = (0..RUNNERS)
            .map(|it| deployment.add_model_runner(&format!("e{it}"), Some(1)))
            .collect();
        for runner in &runners {
            deployment.standin.change_runner(*runner, |it| {
                it.crashes_on_parts = crashes_on.iter().map(|it| (*it).to_owned()).collect();
                it.fault = fault;
            });
        }
        let gateways: Vec<_> = (0..2).map(|_| deployment.add_gateway()).collect();
        for gateway in &gateways {
            deployment.wait_until_ready(*gateway);
            wait_until("requests are served", || is_whole_stream(&stream(*gateway, "w"), "w"));
        }
        Self { deployment, runners, gateways }
    }

    /// Changes the route of streams so that they may not be resumed, and waits until all gateways know that.
    fn make_streams_final(&mut self) {
        self.deployment.standin.reconfigure(|configuration| {
            configuration["routes"][0]["resumable"] = false.into();
        });
        std::thread::sleep(Duration::from_secs(2));
    }

    /// Sends requests to the gateways in turn: some with these prompts, to which a part of their own is added, and sound
    /// ones with the same first part. No two are alike. When `CONTACT` has passed after the counted crashes, the
    /// machines of `killed` lose power once. Returns the sound requests.
    fn send(&mut self, bad_prompts: &[&[&str]], killed: &[IpAddr]) -> Vec<Sound> {
        let end = Instant::now() + SENDING_PERIOD;
        let gateways = self.gateways.clone();
        let sound_sender = {
            let gateways = gateways.clone();
            std::thread::spawn(move || send_sound(&gateways, end))
        };
        let mut pending = Some(killed);
        for (number, gateway) in gateways.iter().cycle().enumerate() {
            if Instant::now() > end {
                break;
            }
            let shared = bad_prompts[number % bad_prompts.len()];
            // The requests wait for nothing, as those of different callers.
            let request = request("bad", number, shared);
            let gateway = *gateway;
            std::thread::spawn(move || request.call(gateway));
            let counted = self.counted_crash();
            if counted.is_some_and(|it| it.elapsed() > CONTACT) {
                self.deployment.kill_and_restart(pending.take().unwrap_or_default());
            }
            std::thread::sleep(BAD_PAUSE);
        }
        sound_sender.join().unwrap()
    }

    /// When the last of the crashes that count was.
    fn counted_crash(&self) -> Option<Instant> {
        self.deployment.standin.crashes().get(COUNTED_CRASHES - 1).copied()
    }

    /// Checks how often runners started requests with bad parts later than `CONTACT` after the counted crashes.
    fn expect_few_late_runs(&self, max_late_runs: usize) {
        let counted = self.counted_crash().expect("there were enough crashes");
        let runs = self.deployment.standin.all_runs();
        let of_bad = runs.iter().filter(|(id, _)| id.starts_with("bad-"));
        let late = of_bad.flat_map(|(_, runs)| runs).filter(|it| it.at > counted + CONTACT).count();
        let crashes = self.deployment.standin.crashes().len();
        assert!(late <= max_late_runs, "{late} late runs, {crashes} crashes");
    }

    /// Checks that sound requests begin at least half as often as before the crashes, from twice `CONTACT` after the
    /// counted ones on.
    fn expect_sound_service(&self, sound: &[Sound]) {
        let crashes = self.deployment.standin.crashes();
        let counted = crashes.get(COUNTED_CRASHES - 1).or(crashes.last());
        let from = *counted.expect("there were crashes") + 2 * CONTACT;
        let late: Vec<_> = sound.iter().filter(|it| it.sent_at > from).collect();
        assert!(late.len() >= 20, "{} sound requests", late.len());
        let whole = late.iter().filter(|it| is_whole_stream(&it.answer, &it.id)).count();
        assert!(whole * 2 >= late.len(), "{whole} of {} sound requests served", late.len());
    }

    fn runs_of(&self, id: &str) -> Vec<Run> {
        self.deployment.standin.runs(id)
    }
}

fn request(kind: &str, number: usize, shared: &[&str]) -> Caller {
    let id = format!("{kind}-{number}");
    let mut caller = Caller::new(Method::POST, &format!("/s/{id}"), &id);
    caller.prompt = shared.iter().map(|it| (*it).to_owned()).collect();
    caller.prompt.push(format!("c{kind}{number}"));
    caller
}

/// Sends sound requests to the gateways in turn until `end`.
fn send_sound(gateways: &[SocketAddr], end: Instant) -> Vec<Sound> {
    let mut requests = Vec::new();
    for (number, gateway) in gateways.iter().cycle().enumerate() {
        let sent_at = Instant::now();
        if sent_at > end {
            break;
        }
        let subject = format!("b{}", number % SUBJECTS);
        let caller = request("sound", number, &[FIRST_PART, &subject]);
        let (id, gateway) = (caller.id.clone(), *gateway);
        requests.push((id, sent_at, std::thread::spawn(move || caller.call(gateway))));
        std::thread::sleep(SOUND_PAUSE);
    }
    let collect = |(id, sent_at, call): (String, Instant, std::thread::JoinHandle<Answer>)| Sound {
        id,
        sent_at,
        answer: call.join().unwrap(),
    };
    requests.into_iter().map(collect).collect()
}

#[test]
fn a_part_in_the_middle_of_prompts_goes_on_crashing_runners_though_no_request_is_repeated() {
    let mut parts = Parts::start(&[BAD_PART], RunnerFault::None);
    let sound = parts.send(&[&[FIRST_PART, BAD_PART]], &[]);
    parts.expect_few_late_runs(MAX_LATE_RUNS);
    parts.expect_sound_service(&sound);
}

#[test]
fn the_first_part_of_prompts_goes_on_crashing_runners_though_no_request_is_repeated() {
    let mut parts = Parts::start(&[BAD_PART], RunnerFault::None);
    let sound = parts.send(&[&[BAD_PART, "b0"], &[BAD_PART, "b1"]], &[]);
    parts.expect_few_late_runs(MAX_LATE_RUNS);
    parts.expect_sound_service(&sound);
}

/// Each of the two parts may reach `MAX_LATE_RUNS` runners after its own fifth crash.
#[test]
fn two_parts_that_crash_runners_at_the_same_time_hide_each_other() {
    let mut parts = Parts::start(&[BAD_PART, OTHER_BAD_PART], RunnerFault::None);
    let sound = parts.send(&[&[FIRST_PART, BAD_PART], &[FIRST_PART, OTHER_BAD_PART]], &[]);
    parts.expect_few_late_runs(2 * MAX_LATE_RUNS);
    parts.expect_sound_service(&sound);
}

#[test]
fn a_restarted_gateway_sends_parts_that_crash_runners_again() {
    let mut parts = Parts::start(&[BAD_PART], RunnerFault::None);
    let restarted = parts.gateways[0].ip();
    let sound = parts.send(&[&[FIRST_PART, BAD_PART]], &[restarted]);
    parts.expect_few_late_runs(MAX_LATE_RUNS);
    parts.expect_sound_service(&sound);
}

#[test]
fn a_part_that_crashed_runners_is_forgotten_when_all_processes_lose_power() {
    let mut parts = Parts::start(&[BAD_PART], RunnerFault::None);
    let all: Vec<_> = parts.gateways.iter().chain(&parts.runners).map(|it| it.ip()).collect();
    let sound = parts.send(&[&[FIRST_PART, BAD_PART]], &all);
    parts.expect_few_late_runs(MAX_LATE_RUNS);
    parts.expect_sound_service(&sound);
}

#[test]
fn a_stream_that_ends_with_its_connection_hides_the_crash_of_its_runner() {
    let mut parts = Parts::start(&[BAD_PART], RunnerFault::NoFraming);
    parts.make_streams_final();
    let sound = parts.send(&[&[FIRST_PART, BAD_PART]], &[]);
    parts.expect_few_late_runs(MAX_LATE_RUNS);
    parts.expect_sound_service(&sound);
}

#[test]
fn a_stream_that_cannot_be_resumed_and_ends_inside_an_event_looks_complete() {
    let mut parts = Parts::start(&[BAD_PART], RunnerFault::NoFraming);
    parts.make_streams_final();
    let caller = request("bad", 0, &[FIRST_PART, BAD_PART]);
    let answer = caller.call(parts.gateways[0]);
    assert_eq!((answer.status, parts.runs_of("bad-0").len()), (200, 1));
    assert!(!answer.is_complete, "{:?}", answer.body);
}
