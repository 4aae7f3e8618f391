//! Garbage in answers, and odd rows of foreign writers.

use std::time::Duration;

use platform_standin::{Garbage, RunnerFault};
use serde_json::{json, Value};

use super::{DelayedAction, FaultInjector, ProcessorTime};
use crate::faults::OddRow;
use crate::fleet::hall_name;
use crate::history::{Beside, FloodCost, Target};

/// Minimum time that a flood goes on, in which it is checked that other requests are served.
const MIN_FLOOD: Duration = Duration::from_millis(2000);
/// Minimum time that an odd row stands: until it must have been read, and some time in which requests are checked.
const MIN_ODD_ROW: Duration = Duration::from_millis(4000);
/// Depth of a row that is nested deeply.
const DEEP_LEVELS: usize = 10_000;

impl FaultInjector<'_> {
    /// Has a runner send garbage in its answers to requests.
    pub(super) fn send_garbage(&mut self, number: usize, garbage: Garbage, until: Duration) {
        if !garbage.is_endless {
            return self.set_runner_fault(number, RunnerFault::Garbage(garbage), until);
        }
        let (from, until) = (self.action_start, until + MIN_FLOOD);
        self.set_runner_fault(number, RunnerFault::Garbage(garbage), until);
        let runner = Some(number);
        self.history.beside.push(Beside { what: format!("{garbage:?}"), runner, from, until });
        let before = self.processor_times();
        self.schedule(until, DelayedAction::RecordFloodCost(from, before));
    }

    /// Records the processor time that each gateway has used since a flood began, unless it was restarted.
    pub(super) fn record_flood_cost(&mut self, from: Duration, before: &[ProcessorTime]) {
        let until = self.now();
        let now = self.processor_times();
        for (gateway, (before, now)) in before.iter().zip(now).enumerate() {
            if before.0 == now.0 {
                let used = now.1.saturating_sub(before.1);
                self.history.flood_costs.push(FloodCost { gateway, from, until, used });
            }
        }
    }

    fn processor_times(&self) -> Vec<ProcessorTime> {
        self.fleet.gateways.iter().map(|it| (it.restarts, it.processor_time())).collect()
    }

    /// Has a model runner send garbage in its answers to its sidecar.
    pub(super) fn send_garbage_to_sidecar(
        &mut self,
        number: usize,
        garbage: Garbage,
        until: Duration,
    ) {
        self.change_runner(number, |it| it.garbage_for_sidecar = Some(garbage));
        self.record_disruption(Target::Runner(number), until);
        self.schedule(until, DelayedAction::EndGarbageForSidecar(number));
    }

    /// Has the origin of weights send garbage in its answers. As with the store, no new weights are due meanwhile.
    pub(super) fn send_garbage_from_origin(&mut self, garbage: Garbage, until: Duration) {
        self.fleet.standin.set_origin_garbage(Some(garbage));
        self.record_disruption(Target::Store, until);
        self.schedule(until, DelayedAction::EndGarbageOfOrigin);
    }

    /// Writes an odd row on behalf of a foreign writer. It excuses nothing.
    pub(super) fn write_odd_row(&mut self, row: OddRow, stays: bool, until: Duration) {
        self.odd_rows += 1;
        let number = self.odd_rows;
        let (table, key, value, further_fields) = match row {
            OddRow::Deep(in_op) => {
                let deep = format!("{}{}", "[".repeat(DEEP_LEVELS), "]".repeat(DEEP_LEVELS));
                (table(in_op), format!("odd-{number}"), json!({}), format!(",\"note\":{deep}"))
            }
            OddRow::LargeNumber(in_op) => {
                (table(in_op), format!("odd-{number}"), json!({}), ",\"note\":1e999".to_owned())
            }
            OddRow::StrangeKey(runner) => {
                let key = format!("odd-{number}\r\nx: \u{1}\"\\/../\u{2028}\u{e9}");
                ("servers", key, self.borrowed_entry(runner, 16), String::new())
            }
            OddRow::BorrowedAddress(runner) => {
                let value = self.borrowed_entry(runner, u32::MAX);
                ("servers", format!("odd-{number}"), value, String::new())
            }
        };
        self.fleet.standin.write_odd_row(table, &key, value, further_fields);
        let (from, until) = (self.action_start, until + MIN_ODD_ROW);
        self.history.beside.push(Beside { what: format!("{row:?}"), runner: None, from, until });
        if !stays {
            self.schedule(until, DelayedAction::DeleteRow(table, key));
        }
    }

    /// An entry with the address and the service of a runner.
    fn borrowed_entry(&self, runner: usize, slots: u32) -> Value {
        let is_model = runner < self.fleet.sidecars.len();
        let service = if is_model { "assistant" } else { "ledger" };
        let mut entry = json!({
            "service": service, "address": self.fleet.runners[runner].proxy.address,
            "zone": hall_name(runner), "version": "v1", "slots": slots, "state": "ready",
            "coldRemainingMs": 0, "sequence": 0,
        });
        if is_model {
            let version = self.version;
            entry["models"] = json!([{"name": "m", "version": version, "adapters": []}]);
            entry["layers"] = json!({"from": 0, "targetVersion": 16, "version": version});
        }
        entry
    }
}

/// The table of a row: that of the configuration or that of the runners.
fn table(in_op: bool) -> &'static str {
    if in_op {
        "op"
    } else {
        "servers"
    }
}
