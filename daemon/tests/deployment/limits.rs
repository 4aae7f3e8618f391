//! Runners that name the rate of requests that they take from all gateways together.
//!
//! Two of twenty runners named 1.6 and 1 requests a second and went on getting four to five, the even share of the work, to
//! the end of the day. Neither gateways nor sidecars read what they named.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use http::Method;
use platform_standin::{Caller, LimitedArrival};

use crate::neighbour;
use crate::support::{stream, wait_until, Deployment};

/// Within how long all must go by a rate, by the settings of the deployment.
const CONTACT: Duration = Duration::from_millis(3000);
/// The span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How many times the rate a runner may get in such a span, and how many requests on top.
const OVERRUN: f64 = 1.5;
const SLACK: f64 = 5.0;
/// How long callers go on while a runner names its rate.
const SPAN: Duration = Duration::from_secs(9);
/// Callers at the same time, and the pause of each between two calls.
const CALLERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(40);
/// Within how long after it names no rate any more a runner is used as before.
const BACK: Duration = Duration::from_millis(3500);
/// The span in which its requests are counted then, and how many no rate of these tests allows in it.
const AFTERWARDS: Duration = Duration::from_secs(3);
const UNLIMITED: usize = 9;

/// The most requests that reached a runner in one span, once all had to go by its rate.
fn most_in_window(arrivals: &[LimitedArrival]) -> usize {
    let Some(first) = arrivals.first() else {
        return 0;
    };
    let counted: Vec<Instant> =
        arrivals.iter().map(|it| it.at).filter(|at| *at > first.at + CONTACT).collect();
    let within = |from: Instant| {
        let window = from..from + WINDOW;
        counted.iter().filter(|at| window.contains(at)).count()
    };
    counted.iter().map(|from| within(*from)).max().unwrap_or(0)
}

/// Within how long a caller is refused that no runner takes: less than the part of its aim that it would wait for a place.
const AT_ONCE: Duration = Duration::from_millis(60);

/// Calls a gateway with a request of an id, and gives the status.
type Call = fn(SocketAddr, &str) -> u16;

/// A deployment in which callers go to all gateways in turn.
struct Limits {
    deployment: Deployment,
    gateways: Vec<SocketAddr>,
    calls: AtomicUsize,
}

impl Limits {
    /// Starts so many gateways before two model runners and two plain ones, and waits until they know each other.
    fn start(gateways: usize) -> (Self, SocketAddr) {
        let mut deployment = Deployment::start();
        let model = deployment.add_model_runner("e1", Some(1));
        deployment.add_model_runner("e2", Some(1));
        let gateways: Vec<_> = (0..gateways).map(|_| deployment.add_gateway()).collect();
        for gateway in &gateways {
            deployment.wait_until_ready(*gateway);
        }
        (Self { deployment, gateways, calls: AtomicUsize::new(0) }, model)
    }

    fn plain_runner(&self) -> SocketAddr {
        SocketAddr::new(neighbour(self.gateways[0], 1), 8001)
    }

    fn name(&self, runner: SocketAddr, limit: Option<&str>) {
        self.deployment.standin.change_runner(runner, |it| it.limit = limit.map(str::to_owned));
    }

    /// Callers go to one gateway after the other for a while. Gives how many calls were not served.
    fn call(&self, span: Duration, call: Call) -> usize {
        let end = Instant::now() + span;
        let refused = AtomicUsize::new(0);
        let come_again = || {
            while Instant::now() < end {
                let number = self.calls.fetch_add(1, Ordering::Relaxed);
                let gateway = self.gateways[number % self.gateways.len()];
                let served = call(gateway, &format!("c{number}")) == 200;
                refused.fetch_add(usize::from(!served), Ordering::Relaxed);
                std::thread::sleep(PAUSE);
            }
        };
        std::thread::scope(|scope| (0..CALLERS).for_each(|_| drop(scope.spawn(come_again))));
        refused.into_inner()
    }

    /// Requests that ran at a runner from a moment on.
    fn runs_since(&self, id: &str, from: Instant) -> usize {
        let runs = self.deployment.standin.all_runs();
        runs.values().flatten().filter(|it| it.runner == id && it.at >= from).count()
    }

    /// Has a runner name a rate while callers go on, and checks what reaches it, that others serve, and that it is used
    /// again when the limit ends.
    fn expect_rate(&self, runner: SocketAddr, per_s: f64, call: Call) {
        let id = self.deployment.standin.runner(runner).expect("the runner is there").id;
        self.call(Duration::from_secs(6), call);
        self.name(runner, Some(&per_s.to_string()));
        let refused = self.call(SPAN, call);
        let arrivals = self.deployment.standin.limited_arrivals();
        let most = most_in_window(&arrivals);
        let allowed = per_s * OVERRUN * WINDOW.as_secs_f64() + SLACK;
        assert!(
            most as f64 <= allowed,
            "{most} requests in {WINDOW:?} where {allowed} are allowed"
        );
        assert!(arrivals.len() > 2, "it is still used: {} arrivals", arrivals.len());
        assert_eq!(refused, 0, "the others serve");
        self.name(runner, None);
        self.call(BACK, call);
        let from = Instant::now();
        self.call(AFTERWARDS, call);
        let runs = self.runs_since(&id, from);
        assert!(runs >= UNLIMITED, "{runs} requests in {AFTERWARDS:?} after the limit has ended");
    }
}

fn assist(gateway: SocketAddr, id: &str) -> u16 {
    stream(gateway, id).status
}

fn get(gateway: SocketAddr, id: &str) -> u16 {
    Caller::new(Method::GET, "/get/x", id).call(gateway).status
}

#[test]
fn a_model_runner_gets_no_more_than_the_rate_it_names_from_all_gateways_together() {
    let (limits, model) = Limits::start(3);
    limits.expect_rate(model, 1.6, assist);
}

#[test]
fn a_plain_runner_gets_no_more_than_the_rate_it_names_from_all_gateways_together() {
    let (limits, _) = Limits::start(3);
    let plain = limits.plain_runner();
    limits.expect_rate(plain, 1.6, get);
}

#[test]
fn a_sidecar_that_starts_again_goes_by_the_rate_that_gateways_know() {
    let (mut limits, model) = Limits::start(2);
    limits.name(model, Some("0.5"));
    limits.call(Duration::from_secs(4), assist);
    limits.deployment.lose_power(&[model.ip()]);
    wait_until("the sidecar is back", || {
        limits.call(Duration::from_millis(100), assist);
        limits.deployment.log(model.ip()).matches("\"message\":\"started\"").count() > 1
    });
    limits.call(SPAN, assist);
    let most = most_in_window(&limits.deployment.standin.limited_arrivals());
    assert!(most <= 8, "{most} requests in {WINDOW:?} where 8 are allowed");
}

#[test]
fn callers_are_refused_at_once_while_every_runner_has_had_the_rate_that_it_names() {
    let (limits, model) = Limits::start(2);
    let other = SocketAddr::new(neighbour(model, 4), 8001);
    for runner in [model, other] {
        limits.name(runner, Some("0.4"));
    }
    limits.call(Duration::from_secs(4), assist);
    let answers: Vec<_> = (0..60)
        .map(|number| {
            std::thread::sleep(PAUSE);
            stream(limits.gateways[number % 2], &format!("r{number}"))
        })
        .collect();
    let refused: Vec<_> = answers.iter().filter(|it| it.status == 503).collect();
    assert!(refused.len() > 40, "{} of {} are refused", refused.len(), answers.len());
    let at_once = refused.iter().filter(|it| it.took < AT_ONCE).count();
    assert!(at_once * 10 >= refused.len() * 9, "{at_once} of {} at once", refused.len());
    assert!(refused.iter().all(|it| it.body.contains("RateLimited")), "{refused:?}");
    for answer in refused {
        let away: f64 = answer.headers["retry-after"].to_str().unwrap().parse().unwrap();
        assert!((0.25..=2.5).contains(&away), "back in {away} s, where a place comes within 2.5 s");
    }
}
