//! Runners, and the ways to them.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use platform_standin::{Engine, RunnerFault};
use serde_json::{json, Value};

use super::{Conductor, End, AWAY};
use crate::faults::LimitWord;
use crate::fleet::{hall_name, COLD_START};
use crate::history::{Cold, Leaving, Target};
use crate::proxy::Harm;

/// How long such a request comes again at least: until all must have heard of it, and some time to see it kept.
const CRASHING: Duration = Duration::from_millis(5000);
/// How long a runner names a rate limit at least: until it binds, and the window in which requests are counted.
const LIMITED: Duration = Duration::from_millis(8000);

impl Conductor<'_> {
    /// Changes a runner and its entry in the list.
    pub(super) fn change_runner(&mut self, number: usize, change: impl FnOnce(&mut Engine)) {
        let engine = self.fleet.runners[number].engine;
        self.fleet.standin.change_runner(engine, change);
    }

    /// Has a runner write its entry as it stands now.
    pub(super) fn list_again(&mut self, number: usize) {
        self.change_runner(number, |_| {});
    }

    /// Harms the way to a runner for a while.
    pub(super) fn harm_runner_link(&mut self, number: usize, harm: Harm, until: Duration) {
        self.fleet.runners[number].proxy.set(harm);
        self.note(Target::Runner(number), until);
        self.later(until, End::HealRunnerLink(number));
    }

    /// Silences the connections to a runner that are open.
    pub(super) fn silence_runner_link(&mut self, number: usize) {
        self.fleet.runners[number].proxy.silence_open();
        self.note(Target::Runner(number), self.now());
    }

    /// Has a runner misbehave for a while.
    pub(super) fn harm_runner(&mut self, number: usize, fault: RunnerFault, until: Duration) {
        self.change_runner(number, |it| it.fault = fault);
        self.note(Target::Runner(number), until);
        self.later(until, End::HealRunner(number));
    }

    /// Starts a runner anew, empty and under another identity.
    pub(super) fn restart(&mut self, number: usize, until: Duration) {
        self.fleet.runners[number].restarts += 1;
        self.bear_again(number, until);
    }

    /// Starts a runner anew under the identity that it has.
    pub(super) fn bear_again(&mut self, number: usize, until: Duration) {
        let id = self.fleet.runners[number].id();
        self.change_runner(number, |it| it.restart(&id));
        self.note(Target::Runner(number), until);
    }

    /// Has a runner say that it leaves. Another one takes its place after a while.
    pub(super) fn drain(&mut self, number: usize, until: Duration) {
        self.change_runner(number, |it| it.draining = true);
        let runner = self.fleet.runners[number].id();
        self.history.leaving.push(Leaving { runner, at: self.now(), until: None });
        self.later(until + AWAY, End::Replace(number));
    }

    /// Puts another runner in the place of one that left.
    pub(super) fn replace(&mut self, number: usize) {
        let runner = &mut self.fleet.runners[number];
        let id = runner.id();
        runner.restarts += 1;
        let next = runner.id();
        self.change_runner(number, |it| it.restart(&next));
        let now = self.now();
        let open = self.history.leaving.iter_mut();
        open.filter(|it| it.runner == id && it.until.is_none()).for_each(|it| it.until = Some(now));
    }

    /// Has a runner turn everything away for a while and ask for rest each time.
    pub(super) fn shed(&mut self, number: usize, rest: Duration, until: Duration) {
        self.change_runner(number, |it| it.sheds = Some(rest));
        self.note(Target::Runner(number), until);
        self.later(until, End::Serve(number));
    }

    /// Has a runner name a rate limit for a while, another one than it may name already.
    pub(super) fn name_limit(
        &mut self,
        number: usize,
        word: LimitWord,
        reported: bool,
        until: Duration,
    ) {
        self.limits += 1;
        let limit = match word {
            LimitWord::Thousandths(rate) => {
                format!("{:.3}", f64::from(rate + self.limits) / 1000.0)
            }
            LimitWord::Unreadable => format!("some {}", self.limits),
        };
        self.change_runner(number, |it| {
            it.limit = Some(limit.clone());
            it.reports_name_limit = reported;
        });
        self.later(until + LIMITED, End::Unlimit(number, limit));
    }

    /// Has a runner name no rate limit any more, unless it names another one by now.
    pub(super) fn end_limit(&mut self, number: usize, limit: &str) {
        self.change_runner(number, |it| {
            if it.limit.as_deref() == Some(limit) {
                it.limit = None;
            }
        });
    }

    /// Starts a plain runner anew, cold.
    pub(super) fn start_cold(&mut self, number: usize) {
        let runner = &mut self.fleet.runners[number];
        runner.restarts += 1;
        let id = runner.id();
        let from = self.shared.begun.elapsed();
        self.fleet.standin.change_runner(runner.engine, |it| {
            it.restart(&id);
            it.cold_until = Some(Instant::now() + COLD_START);
        });
        let until = from + COLD_START;
        self.history.cold.push(Cold { runner: id, from, until });
        self.later(until, End::Warm(number));
    }

    /// Has callers send a request under which runners crash. Any model runner may be hit.
    pub(super) fn send_crashing(&mut self, until: Duration) {
        if self.ends.iter().any(|(_, end)| matches!(end, End::Crashing)) {
            return;
        }
        self.crashing += 1;
        self.shared.crashing.store(self.crashing, Ordering::Relaxed);
        let until = until + CRASHING;
        for runner in 0..self.fleet.sidecars.len() {
            self.note(Target::Runner(runner), until);
        }
        self.later(until, End::Crashing);
    }

    /// Writes rows of another writer: a new one, and one in the place of a runner's entry. That runner is to get nothing
    /// until its own entry is back, which the stand-in notes: runners write theirs whenever it changes. Every other time
    /// the rows can be read, and name a service that nobody knows.
    pub(super) fn write_foreign_rows(&mut self, number: usize, until: Duration) {
        let (runner, address) =
            (self.fleet.runners[number].id(), self.fleet.runners[number].engine);
        let rows = [json!({"state": "resting"}), json!([1]), json!("no entry")];
        self.foreign += 1;
        let row = match self.foreign % 2 {
            0 => entry_of_unknown_service(address),
            _ => rows[number % rows.len()].clone(),
        };
        self.fleet.standin.write_row("servers", "foreign", row.clone());
        self.fleet.standin.write_row("servers", &runner, row);
        self.note(Target::Runner(number), until + AWAY);
        self.later(until + AWAY, End::Relist(number));
    }
}

/// An entry that can be read and names no runner, for its service is none of the configuration.
fn entry_of_unknown_service(address: SocketAddr) -> Value {
    json!({
        "service": "neither here nor there", "address": address, "zone": hall_name(0), "version": "v1", "slots": 16,
        "state": "ready", "coldRemainingMs": 0, "sequence": 0,
    })
}
