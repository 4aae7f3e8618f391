//! Tests that the checker of the soak example reports every violated guarantee and nothing else.

#[path = "soak_checker/answers.rs"]
mod answers;
#[path = "soak_checker/beside.rs"]
mod beside;
#[path = "../examples/soak/checker/mod.rs"]
mod checker;
#[path = "../examples/soak/history.rs"]
mod history;

use std::time::Duration;

use checker::{check, complete_body, is_close_race};
use history::*;

fn at(millis: u64) -> Moment {
    Duration::from_millis(millis)
}

fn answer(status: u16, body: &str) -> Outcome {
    Outcome::Answer { status, whole: true, body: body.into() }
}

fn request(id: &str, kind: Kind, outcome: Outcome) -> Request {
    let (sent, ended) = (at(10_000), at(10_050));
    let ending = match &outcome {
        Outcome::Answer { whole: true, .. } => Ending::Complete,
        _ => Ending::Closed,
    };
    Request {
        id: id.into(),
        kind,
        gateway: (0, 0),
        sent,
        ended,
        received: matches!(outcome, Outcome::Answer { .. }),
        outcome,
        ending,
        on_kept_connection: true,
        deadline: at(4_000),
        leave_notice: None,
        limit: None,
    }
}

fn run_at(runner: &str, millis: u64) -> Run {
    Run {
        runner: runner.into(),
        life: 1,
        service: "ledger".into(),
        tenant: Some("t1".into()),
        version: 0,
        saw_key: false,
        hall: "a".into(),
        at: at(millis),
        ended: Some(at(millis + 20)),
        broken_off: false,
    }
}

fn disruption(target: Target, from: u64, until: u64) -> Disruption {
    Disruption { target, from: at(from), until: at(until), planned: false }
}

/// Returns a history of one request with its runs.
fn history(request: Request, runs: Vec<Run>) -> History {
    let mut history = History { faults_ended_at: at(100_000), ..History::default() };
    history.runs.insert(request.id.clone(), runs);
    history.requests.push(request);
    history
}

/// Returns the guarantee that a history violates, if any, and fails if there are several violations.
fn violated_guarantee(history: &History) -> Option<&'static str> {
    let violations = check(history);
    assert!(violations.len() <= 1, "{violations:?}");
    violations.first().map(|it| it.guarantee)
}

#[test]
fn complete_answers_of_single_runs_violate_nothing() {
    let safe = request("a", Kind::Safe, answer(200, "ledger a"));
    assert_eq!(violated_guarantee(&history(safe, vec![run_at("l1", 10_010)])), None);
    let body = complete_body(Kind::Stream, "b");
    let stream = request("b", Kind::Stream, answer(200, &body));
    let run = Run { service: "assistant".into(), ..run_at("e1", 10_010) };
    assert_eq!(violated_guarantee(&history(stream, vec![run])), None);
}

#[test]
fn an_answer_to_another_request_is_reported() {
    let mixed_up = request("a", Kind::Safe, answer(200, "ledger b"));
    assert_eq!(
        violated_guarantee(&history(mixed_up, vec![])),
        Some("a whole answer is the caller's own")
    );
}

#[test]
fn a_complete_stream_without_one_of_its_events_is_reported() {
    let body = complete_body(Kind::Stream, "a").replace("id: 5\ndata: a/5\n\n", "");
    let stream = request("a", Kind::Stream, answer(200, &body));
    assert_eq!(
        violated_guarantee(&history(stream, vec![])),
        Some("a whole answer is the caller's own")
    );
}

#[test]
fn a_second_run_of_an_unsafe_request_is_reported() {
    let ran_twice = request("a", Kind::Unsafe, answer(200, "ledger a"));
    let runs = vec![run_at("l1", 10_010), run_at("l2", 10_030)];
    assert_eq!(violated_guarantee(&history(ran_twice, runs)), Some("runs at most once"));
}

#[test]
fn a_refusal_of_a_request_that_ran_is_reported() {
    let refused = request("a", Kind::Unsafe, answer(503, ""));
    let history = history(refused, vec![run_at("l1", 10_010)]);
    assert_eq!(violated_guarantee(&history), Some("what is refused did not run"));
}

#[test]
fn a_wrong_service_a_wrong_workspace_and_a_forwarded_key_are_reported() {
    let elsewhere = Run { service: "assistant".into(), ..run_at("e1", 10_010) };
    let safe = || request("a", Kind::Safe, answer(200, "ledger a"));
    let guarantee = violated_guarantee(&history(safe(), vec![elsewhere]));
    assert_eq!(guarantee, Some("runs where its route says"));
    for run in [
        Run { saw_key: true, ..run_at("l1", 10_010) },
        Run { tenant: Some("t2".into()), ..run_at("l1", 10_010) },
        Run { tenant: None, ..run_at("l1", 10_010) },
    ] {
        let guarantee = violated_guarantee(&history(safe(), vec![run]));
        assert_eq!(guarantee, Some("the key stays, the workspace is named"));
    }
}

const ANSWERED: &str = "planned work ends no request without an answer";

/// Returns a history in which a request that one runner started ended without an answer.
fn lost_history() -> History {
    let lost = Request { ended: at(10_400), ..request("a", Kind::Safe, Outcome::Lost) };
    history(lost, vec![run_at("l1", 10_010)])
}

#[test]
fn a_request_without_an_answer_is_reported_unless_there_was_an_unplanned_disruption() {
    let mut history = lost_history();
    assert_eq!(violated_guarantee(&history), Some(ANSWERED), "nothing was done at all");
    history.stops.push(Stop { gateway: 0, at: at(9_000) });
    assert_eq!(violated_guarantee(&history), Some(ANSWERED), "the gateway was stopped");
    for target in [Target::Runner(1), Target::Gateway(0)] {
        history.disruptions = vec![disruption(target, 8_000, 9_500)];
        assert_eq!(violated_guarantee(&history), None, "{target:?} was harmed shortly before");
        history.disruptions = vec![disruption(target, 5_000, 6_000)];
        assert_eq!(
            violated_guarantee(&history),
            Some(ANSWERED),
            "{target:?} was harmed long before"
        );
    }
    for target in [Target::Store, Target::SlowStore, Target::Gateway(1)] {
        history.disruptions = vec![disruption(target, 8_000, 9_500)];
        assert_eq!(violated_guarantee(&history), Some(ANSWERED), "{target:?} did not take it");
    }
}

#[test]
fn a_planned_disruption_excuses_no_request_without_an_answer() {
    let mut history = lost_history();
    for target in [Target::Runner(1), Target::Gateway(0)] {
        let planned = Disruption { planned: true, ..disruption(target, 8_000, 9_500) };
        history.disruptions = vec![planned];
        assert_eq!(violated_guarantee(&history), Some(ANSWERED));
    }
}

#[test]
fn a_disruption_of_runners_of_another_service_excuses_no_request_without_an_answer() {
    let mut history = lost_history();
    history.model_runners = 2;
    history.disruptions = vec![disruption(Target::Runner(1), 8_000, 9_500)];
    assert_eq!(
        violated_guarantee(&history),
        Some(ANSWERED),
        "a model runner serves no plain request"
    );
    history.disruptions = vec![disruption(Target::Runner(2), 8_000, 9_500)];
    assert_eq!(violated_guarantee(&history), None);
}

#[test]
fn a_request_that_its_runner_broke_off_is_not_reported_as_lost() {
    let mut history = lost_history();
    history.runs.values_mut().flatten().for_each(|it| it.broken_off = true);
    assert_eq!(violated_guarantee(&history), None);
}

#[test]
fn only_a_request_that_crosses_the_close_of_its_connection_may_be_lost_without_a_run() {
    let with = |change: &dyn Fn(&mut Request)| {
        let mut crossing = request("a", Kind::Safe, Outcome::Lost);
        change(&mut crossing);
        let mut history = history(crossing, vec![]);
        history.stops.push(Stop { gateway: 0, at: at(9_000) });
        history
    };
    for ending in [Ending::Closed, Ending::Reset] {
        let crossing = with(&|it| it.ending = ending);
        assert_eq!(violated_guarantee(&crossing), None);
        assert!(is_close_race(&crossing, &crossing.requests[0], &[]));
    }
    for (gateway, stopped) in [(1, 9_000), (0, 10_100), (0, 1_900)] {
        let mut elsewhere = with(&|_| {});
        elsewhere.stops = vec![Stop { gateway, at: at(stopped) }];
        assert_eq!(violated_guarantee(&elsewhere), Some(ANSWERED), "the gateway was not stopping");
    }
    let late = with(&|it| it.ended = at(10_210));
    assert_eq!(violated_guarantee(&late), Some(ANSWERED), "it was closed too late");
    for ending in [Ending::TimedOut, Ending::Invalid] {
        let not_closed = with(&|it| it.ending = ending);
        assert_eq!(violated_guarantee(&not_closed), Some(ANSWERED), "{ending:?} is no close");
    }
    let refused = with(&|it| it.received = true);
    assert_eq!(violated_guarantee(&refused), Some(ANSWERED), "a part of an answer arrived");
    let mut ran = with(&|_| {});
    ran.runs.insert("a".into(), vec![run_at("l1", 10_010)]);
    assert_eq!(violated_guarantee(&ran), Some(ANSWERED), "a runner started it");
}

#[test]
fn a_request_of_which_nothing_was_sent_is_not_reported_as_lost() {
    let refused = request("a", Kind::Safe, Outcome::NoConnection);
    let mut history = history(refused, vec![]);
    history.stops.push(Stop { gateway: 0, at: at(9_000) });
    assert_eq!(violated_guarantee(&history), None);
}

/// Returns a history in which a stream with a deadline of nine seconds, sent at 10 s, is cut at `ended` within its
/// answer. Its runner is at work until then.
fn cut_history(kind: Kind, ended: u64) -> History {
    let body = complete_body(kind, "a")[..5].to_owned();
    let outcome = Outcome::Answer { status: 200, whole: false, body };
    let (deadline, ended) = (at(9_000), at(ended));
    let cut = Request { deadline, ended, ..request("a", kind, outcome) };
    let service = if kind.is_stream() { "assistant" } else { "ledger" };
    let run = Run { service: service.into(), ended: Some(ended), ..run_at("e1", 10_010) };
    history(cut, vec![run])
}

#[test]
fn a_cut_answer_is_reported_before_the_deadline_and_the_timeout_of_the_route() {
    let long = |ended| cut_history(Kind::LongStream(9_000), ended);
    assert_eq!(violated_guarantee(&long(18_998)), Some(ANSWERED));
    assert_eq!(violated_guarantee(&long(18_999)), None);
    let stream = |ended| cut_history(Kind::Stream, ended);
    assert_eq!(violated_guarantee(&stream(13_900)), Some(ANSWERED));
    assert_eq!(violated_guarantee(&stream(14_000)), None, "the timeout of the route has passed");
    let mut held = long(20_000);
    held.requests[0].ending = Ending::TimedOut;
    assert_eq!(violated_guarantee(&held), Some(ANSWERED), "the gateway did not end it");
}

#[test]
fn only_a_stream_at_work_at_the_end_of_the_grace_period_may_be_cut_by_a_stop() {
    let stopped = |kind, ended, stop| {
        let mut history = cut_history(kind, ended);
        history.stops.push(Stop { gateway: 0, at: at(stop) });
        history
    };
    let stream = Kind::LongStream(9_000);
    assert_eq!(violated_guarantee(&stopped(stream, 17_700, 10_000)), None);
    let early = stopped(stream, 16_000, 10_000);
    assert_eq!(violated_guarantee(&early), Some(ANSWERED), "the grace period was not used");
    let late = stopped(stream, 14_700, 6_900);
    assert_eq!(violated_guarantee(&late), Some(ANSWERED), "it was sent long after the stop");
    let plain = stopped(Kind::LongUnsafe(9_000), 17_700, 10_000);
    assert_eq!(violated_guarantee(&plain), Some(ANSWERED), "a plain request can be answered");
    let mut finished = stopped(stream, 17_700, 10_000);
    finished.runs.values_mut().flatten().for_each(|it| it.ended = Some(at(16_000)));
    assert_eq!(violated_guarantee(&finished), Some(ANSWERED), "its runner had finished");
    let mut elsewhere = stopped(stream, 17_700, 10_000);
    elsewhere.stops[0].gateway = 1;
    assert_eq!(violated_guarantee(&elsewhere), Some(ANSWERED), "another gateway was stopped");
}

#[test]
fn a_second_run_of_a_long_unsafe_request_is_reported() {
    let ran_twice = request("a", Kind::LongUnsafe(2_000), answer(200, "ledger a"));
    let runs = vec![run_at("l1", 10_010), run_at("l2", 10_030)];
    assert_eq!(violated_guarantee(&history(ran_twice, runs)), Some("runs at most once"));
}

#[test]
fn a_run_at_a_leaving_runner_is_reported_after_the_bound() {
    let safe = request("a", Kind::Safe, answer(200, "ledger a"));
    let mut history = history(safe, vec![run_at("l1", 10_010)]);
    history.leaving.push(Leaving { runner: "l1".into(), at: at(9_000), until: None });
    assert_eq!(violated_guarantee(&history), None, "the bound has not passed");
    history.leaving[0].at = at(7_000);
    assert_eq!(violated_guarantee(&history), Some("a runner that leaves gets nothing new"));
    for target in [Target::Gateway(0), Target::Store] {
        history.disruptions.push(disruption(target, 8_000, 9_500));
        assert_eq!(violated_guarantee(&history), None, "{target:?} was harmed shortly before");
        history.disruptions.clear();
    }
    history.leaving[0].until = Some(at(10_000));
    assert_eq!(violated_guarantee(&history), None, "the runner stays again");
}

#[test]
fn a_return_to_an_older_configuration_is_reported_within_one_process() {
    let probe = |id: &str, version, life, sent: u64| Request {
        gateway: (0, life),
        sent: at(sent),
        ended: at(sent + 20),
        ..request(id, Kind::Probe(version), answer(200, &format!("ledger {id}")))
    };
    let mut history = history(probe("a", 2, 0, 10_000), vec![]);
    history.requests.push(probe("b", 1, 1, 11_000));
    assert_eq!(
        violated_guarantee(&history),
        None,
        "a restarted process may know an older configuration"
    );
    history.requests.push(probe("c", 1, 0, 12_000));
    assert_eq!(violated_guarantee(&history), Some("a configuration does not go back"));
}

#[test]
fn a_configuration_that_is_not_in_force_in_time_is_reported() {
    let change =
        |version, taken| ConfigurationChange { version, sent: at(taken - 100), taken: at(taken) };
    let probe = |version, status| {
        let body = if status == 200 { "ledger a" } else { "" };
        let mut history = history(request("a", Kind::Probe(version), answer(status, body)), vec![]);
        history.configuration_changes = vec![change(1, 3_000), change(2, 7_500)];
        history
    };
    let guarantee = Some("a configuration is in force in time");
    assert_eq!(violated_guarantee(&probe(2, 200)), None, "the newest one is served");
    assert_eq!(violated_guarantee(&probe(1, 404)), None, "the one before is not");
    assert_eq!(violated_guarantee(&probe(2, 404)), guarantee, "refused by an older configuration");
    assert_eq!(violated_guarantee(&probe(1, 200)), guarantee, "served by an older configuration");
    assert_eq!(
        violated_guarantee(&probe(2, 503)),
        None,
        "a 503 does not tell whether the route exists"
    );

    let mut late = probe(2, 404);
    late.configuration_changes[1].taken = at(8_500);
    assert_eq!(violated_guarantee(&late), None, "the bound has not passed");
    let mut next = probe(2, 404);
    next.configuration_changes.push(change(3, 10_140));
    assert_eq!(violated_guarantee(&next), None, "a newer one may be in force already");
    for target in [Target::Gateway(0), Target::Store] {
        let mut disrupted = probe(2, 404);
        disrupted.disruptions.push(disruption(target, 7_000, 7_100));
        assert_eq!(violated_guarantee(&disrupted), None, "{target:?} was harmed shortly before");
    }
}

#[test]
fn a_bound_request_in_another_region_is_reported_despite_disruptions() {
    let bound = || request("a", Kind::Bound, answer(200, "ledger a"));
    assert_eq!(violated_guarantee(&history(bound(), vec![run_at("l1", 10_010)])), None);
    let elsewhere = Run { hall: "b".into(), ..run_at("l2", 10_010) };
    let mut history = history(bound(), vec![elsewhere]);
    let target = Target::Gateway(0);
    history.disruptions.push(disruption(target, 9_000, 11_000));
    assert_eq!(violated_guarantee(&history), Some("a bound request stays in its region"));
}

#[test]
fn a_stream_outside_its_home_regions_is_reported() {
    let body = complete_body(Kind::Stream, "a");
    let run = Run { service: "assistant".into(), ..run_at("e1", 10_010) };
    let mut history = history(request("a", Kind::Stream, answer(200, &body)), vec![run]);
    let homes = |hall: &str, taken| StreamHomes {
        hall: Some(hall.into()),
        sent: at(taken - 100),
        taken: at(taken),
    };
    history.homes = vec![homes("a", 5_000)];
    assert_eq!(violated_guarantee(&history), None, "it ran at home");
    history.homes = vec![homes("b", 5_000)];
    assert_eq!(violated_guarantee(&history), Some("streams run in their homes"));
    history.homes = vec![homes("b", 9_000)];
    assert_eq!(violated_guarantee(&history), None, "the bound has not passed");
    history.homes = vec![homes("b", 5_000), homes("a", 10_100)];
    assert_eq!(violated_guarantee(&history), None, "a newer one allows it");
    history.homes = vec![homes("b", 5_000)];
    history.disruptions.push(disruption(Target::Store, 8_000, 9_500));
    assert_eq!(violated_guarantee(&history), None, "the store was harmed shortly before");
}

#[test]
fn a_run_in_an_evacuated_hall_is_reported_after_the_bound() {
    let safe = request("a", Kind::Safe, answer(200, "ledger a"));
    let mut history = history(safe, vec![run_at("l1", 10_010)]);
    let evacuation = |from, until| Evacuation { hall: "a".into(), at: at(from), until };
    history.evacuations = vec![evacuation(8_000, None)];
    assert_eq!(violated_guarantee(&history), None, "the bound has not passed");
    history.evacuations = vec![evacuation(7_000, None)];
    assert_eq!(violated_guarantee(&history), Some("an evacuated hall gets nothing new"));
    history.evacuations = vec![evacuation(7_000, Some(at(10_000)))];
    assert_eq!(violated_guarantee(&history), None, "the evacuation has ended");
    history.evacuations = vec![Evacuation { hall: "b".into(), ..evacuation(7_000, None) }];
    assert_eq!(violated_guarantee(&history), None, "another hall was evacuated");
}

#[test]
fn too_many_requests_to_a_cold_runner_within_a_second_are_reported() {
    let runs = |count: u64, pause: u64| -> Vec<Run> {
        (0..count).map(|it| run_at("l1", 10_000 + it * pause)).collect()
    };
    let safe = || request("a", Kind::Safe, answer(200, "ledger a"));
    let cold = Cold { runner: "l1".into(), from: at(9_900), until: at(12_900) };
    let with = |runs| {
        let mut history = history(safe(), runs);
        history.cold.push(cold.clone());
        history
    };
    assert_eq!(violated_guarantee(&with(runs(14, 10))), None);
    assert_eq!(violated_guarantee(&with(runs(15, 10))), Some("a cold runner gets what it bears"));
    assert_eq!(
        violated_guarantee(&with(runs(15, 72))),
        None,
        "they arrived within more than a second"
    );
    let mut warm = with(runs(15, 10));
    warm.cold[0].until = at(9_990);
    assert_eq!(violated_guarantee(&warm), None, "it was warm again");
}

#[test]
fn processes_that_end_unasked_are_reported() {
    let mut history = History::default();
    history.ended_processes.push("127.0.0.1: signal: 1 (SIGHUP)".into());
    assert_eq!(
        violated_guarantee(&history),
        Some("a process ends only when it is told to, and without a failure")
    );
}

#[test]
fn mixed_weights_are_reported() {
    let safe = request("a", Kind::Safe, answer(200, "ledger a"));
    let mut history = history(safe, vec![]);
    history.mixed_weights.push("e1".into());
    assert_eq!(violated_guarantee(&history), Some("no runner takes partial or mixed weights"));
}

#[test]
fn a_gateway_that_does_not_recover_is_reported() {
    let refused = request("a", Kind::Safe, answer(503, ""));
    let mut history = history(refused, vec![]);
    history.faults_ended_at = Duration::ZERO;
    history.requests[0].sent = at(13_000);
    assert_eq!(violated_guarantee(&history), Some("back in service soon after the last fault"));
}

/// Returns a history of attempts of a request that crashes its runners, with the times at which they reached
/// one.
fn crash_history(moments: &[u64]) -> History {
    let mut history = History { faults_ended_at: at(100_000), ..History::default() };
    for (number, moment) in moments.iter().enumerate() {
        let id = format!("k{number}");
        let (sent, ended) = (at(moment - 10), at(moment + 40));
        let crashed = request(&id, Kind::Crash(1), Outcome::Lost);
        history.requests.push(Request { sent, ended, ..crashed });
        let run = run_at("e1", *moment);
        let run = Run { service: "assistant".into(), broken_off: true, ..run };
        history.runs.insert(id, vec![run]);
    }
    history
}

#[test]
fn repeated_runs_of_a_crashing_request_are_reported() {
    let early = [10_000, 10_500, 11_000, 11_500, 13_900, 14_000];
    assert_eq!(
        violated_guarantee(&crash_history(&early)),
        None,
        "not every gateway must know of it yet"
    );
    let few = [10_000, 10_500, 11_000, 14_100, 20_000, 30_000];
    assert_eq!(violated_guarantee(&crash_history(&few)), None, "three more runs are allowed");
    let many = [10_000, 10_500, 11_000, 14_100, 20_000, 30_000, 40_000];
    let guarantee = "a request that crashes its runners is not sent on";
    assert_eq!(violated_guarantee(&crash_history(&many)), Some(guarantee));
    let mut disrupted = crash_history(&many);
    disrupted.disruptions.push(disruption(Target::Gateway(0), 19_000, 20_000));
    assert_eq!(
        violated_guarantee(&disrupted),
        None,
        "one was sent by a gateway that was disrupted"
    );
}

/// Returns a history of requests with a part that crashes runners, with the times at which they reached one, and of sound
/// requests every 100 ms from 1 s to 40 s. Those sent from `unserved_from` to 30 s reach no runner.
fn part_history(moments: &[u64], unserved_from: u64) -> History {
    let mut history = History { faults_ended_at: at(100_000), ..History::default() };
    for (number, moment) in moments.iter().enumerate() {
        let id = format!("k{number}");
        let crashed = request(&id, Kind::CrashPart(1), Outcome::Lost);
        let (sent, ended) = (at(moment - 10), at(moment + 40));
        history.requests.push(Request { sent, ended, ..crashed });
        let run = Run { service: "assistant".into(), broken_off: true, ..run_at("e1", *moment) };
        history.runs.insert(id, vec![run]);
    }
    for moment in (1_000..40_000).step_by(100) {
        let id = format!("s{moment}");
        let (sent, ended) = (at(moment), at(moment + 50));
        let is_served = !(unserved_from..30_000).contains(&moment);
        let outcome = match is_served {
            true => answer(200, &complete_body(Kind::Stream, &id)),
            false => answer(503, ""),
        };
        history.requests.push(Request { sent, ended, ..request(&id, Kind::Stream, outcome) });
        let run = Run { service: "assistant".into(), ..run_at("e1", moment + 10) };
        history.runs.insert(id, if is_served { vec![run] } else { Vec::new() });
    }
    let (from, until) = (at(10_000), at(30_000));
    history.part_periods.push(PartPeriod { number: 1, from, until });
    history.disruptions.push(disruption(Target::Runner(0), 10_000, 30_000));
    history
}

#[test]
fn requests_with_a_part_that_crashes_runners_are_reported() {
    let few = [10_000, 10_200, 10_400, 10_600, 10_800, 12_000, 14_000, 16_000, 18_000];
    assert_eq!(violated_guarantee(&part_history(&few, 30_000)), None, "three late runs");
    let many = [&few[..], &[20_000]].concat();
    let guarantee = "requests with a part that crashes runners are not sent on";
    assert_eq!(violated_guarantee(&part_history(&many, 30_000)), Some(guarantee));
    let mut disrupted = part_history(&many, 30_000);
    disrupted.disruptions.push(disruption(Target::Gateway(0), 15_000, 16_000));
    assert_eq!(violated_guarantee(&disrupted), None, "a gateway was disrupted");
    let mut old = part_history(&many, 30_000);
    old.old_builds.insert((0, 0));
    assert_eq!(violated_guarantee(&old), None, "the gateway runs an earlier build");
}

#[test]
fn sound_requests_that_are_refused_beside_a_part_that_crashes_runners_are_reported() {
    let crashes = [10_000, 10_200, 10_400, 10_600, 10_800];
    let guarantee = "sound requests are served beside a part that crashes runners";
    assert_eq!(violated_guarantee(&part_history(&crashes, 24_000)), None, "over half begin");
    assert_eq!(violated_guarantee(&part_history(&crashes, 20_000)), Some(guarantee));
    let mut disrupted = part_history(&crashes, 20_000);
    disrupted.disruptions.push(disruption(Target::Store, 10_000, 30_000));
    assert_eq!(violated_guarantee(&disrupted), None, "the store was disrupted as well");
}

/// Returns a history in which the answer to `a` stated at 5 s that a runner leaves, and `b` is sent at 10 s and
/// runs there.
fn history_with_leave_notice(life: u64) -> History {
    let later = request("b", Kind::Safe, answer(200, "ledger b"));
    let mut history = history(later, vec![run_at("l1", 10_010)]);
    let leave_notice = LeaveNotice { runner: "l1".into(), life, at: at(5_000) };
    let first = request("a", Kind::Safe, answer(200, "ledger a"));
    history.requests.push(Request {
        leave_notice: Some(leave_notice),
        sent: at(4_900),
        ended: at(5_010),
        ..first
    });
    history
}

#[test]
fn a_request_after_a_leave_notice_is_reported() {
    let guarantee = "a runner that says it leaves is left";
    assert_eq!(violated_guarantee(&history_with_leave_notice(1)), Some(guarantee));
    assert_eq!(
        violated_guarantee(&history_with_leave_notice(0)),
        None,
        "the notice was from an earlier incarnation"
    );
    let mut paused = history_with_leave_notice(1);
    paused.pauses.push(Stop { gateway: 0, at: at(7_000) });
    assert_eq!(violated_guarantee(&paused), None);
    let mut disrupted = history_with_leave_notice(1);
    let target = Target::Gateway(0);
    disrupted.disruptions.push(disruption(target, 6_000, 11_000));
    assert_eq!(
        violated_guarantee(&disrupted),
        Some(guarantee),
        "a disconnection excuses no violation"
    );
}

#[test]
fn requests_during_a_rest_period_are_reported() {
    let mut history = History { faults_ended_at: at(100_000), ..History::default() };
    for number in 0..4 {
        let id = format!("r{number}");
        history.requests.push(request(&id, Kind::Safe, answer(503, "")));
        history.turned_away.push(TurnedAway {
            runner: "l1".into(),
            life: 1,
            request: id,
            at: at(10_000 + 700 * number),
            rest: at(2_000),
        });
    }
    assert_eq!(violated_guarantee(&history), None, "two requests within each rest period");
    history.requests.push(request("r4", Kind::Safe, answer(200, "ledger r4")));
    history.runs.insert("r4".into(), vec![run_at("l1", 11_000)]);
    assert_eq!(violated_guarantee(&history), Some("a runner that wants rest is left alone"));
}

/// Returns a history in which two gateways learn at `stated_at` that a runner takes one request a second, and
/// `arrivals` requests reach it through both gateways in turn within two seconds from `from` on.
fn limited_history(stated_at: u64, arrivals: u64, from: u64) -> History {
    let mut history = History { faults_ended_at: at(100_000), ..History::default() };
    let notice = |millis| LimitNotice {
        runner: "l1".into(),
        life: 1,
        limit: "1.000".into(),
        at: at(millis),
    };
    for gateway in 0..2 {
        let id = format!("told{gateway}");
        let safe = request(&id, Kind::Safe, answer(200, &format!("ledger {id}")));
        let limit = Some(notice(stated_at));
        history.requests.push(Request { gateway: (gateway, 0), limit, ..safe });
        history.limited_requests.push((id, notice(stated_at)));
    }
    for number in 0..arrivals {
        let id = format!("r{number}");
        let safe = request(&id, Kind::Safe, answer(200, &format!("ledger {id}")));
        let gateway = ((number % 2) as usize, 0);
        history.requests.push(Request { gateway, ..safe });
        history.limited_requests.push((id, notice(from + number * 2000 / arrivals)));
    }
    history
}

#[test]
fn requests_above_a_rate_limit_are_reported() {
    let guarantee = "a runner gets no more than the rate that it names";
    assert_eq!(
        violated_guarantee(&limited_history(10_000, 11, 14_000)),
        None,
        "one and a half times the rate, and five requests"
    );
    assert_eq!(
        violated_guarantee(&limited_history(10_000, 12, 14_000)),
        Some(guarantee),
        "summed over both gateways"
    );
    assert_eq!(
        violated_guarantee(&limited_history(10_000, 12, 10_600)),
        None,
        "the limit is not enforced yet"
    );
    let mut restarted = limited_history(10_000, 12, 14_000);
    restarted.requests.iter_mut().for_each(|it| it.gateway.1 += u32::from(it.limit.is_none()));
    assert_eq!(
        violated_guarantee(&restarted),
        None,
        "another process that does not know the limit"
    );
    let mut disrupted = limited_history(10_000, 12, 14_000);
    let target = Target::Gateway(1);
    disrupted.disruptions.push(disruption(target, 13_000, 13_500));
    assert_eq!(violated_guarantee(&disrupted), None, "one gateway was disconnected");
    let mut unreadable = limited_history(10_000, 30, 14_000);
    unreadable.limited_requests.iter_mut().for_each(|it| it.1.limit = "some".into());
    assert_eq!(violated_guarantee(&unreadable), None);
}

/// Returns a history of a request that began on version 1 at `begun`; version 2 became the target version at
/// one second.
fn on_version_one(begun: u64) -> History {
    let body = complete_body(Kind::Stream, "a");
    let mut stream = request("a", Kind::Stream, answer(200, &body));
    (stream.sent, stream.ended) = (at(begun - 300), at(begun + 100));
    let run = Run { service: "assistant".into(), version: 1, ..run_at("e1", begun) };
    let mut history = history(stream, vec![run]);
    history.target_versions.push(TargetVersion { version: 2, taken: at(1000) });
    history
}

const VERSION_GUARANTEE: &str = "requests begin on a version that is new enough";

#[test]
fn a_run_on_an_old_version_after_its_bound_is_reported() {
    assert_eq!(violated_guarantee(&on_version_one(9000)), None);
    assert_eq!(violated_guarantee(&on_version_one(9010)), Some(VERSION_GUARANTEE));
    let mut newer = on_version_one(9010);
    newer.runs.values_mut().flatten().for_each(|it| it.version = 2);
    assert_eq!(violated_guarantee(&newer), None);
}

#[test]
fn the_bound_of_an_old_version_starts_after_a_store_outage_and_a_margin() {
    let violation_at = |begun| {
        let mut history = on_version_one(begun);
        let outage = disruption(Target::Store, 1500, 2500);
        history.disruptions.push(outage);
        violated_guarantee(&history)
    };
    assert_eq!(violation_at(13_900), None);
    assert_eq!(violation_at(14_100), Some(VERSION_GUARANTEE));
}

#[test]
fn faults_of_runners_and_other_gateways_and_a_slow_store_excuse_no_old_version() {
    for target in [Target::Runner(0), Target::Gateway(1), Target::SlowStore] {
        let mut history = on_version_one(9010);
        history.disruptions.push(disruption(target, 8000, 9000));
        assert_eq!(violated_guarantee(&history), Some(VERSION_GUARANTEE));
    }
}
