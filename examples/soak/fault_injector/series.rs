//! Planned work in series: rolling stops, and many reloads or configurations one after the other.

use std::time::Duration;

use serde_json::json;

use super::{DelayedAction, FaultInjector};
use crate::faults::{Rolling, RollingProcesses, Series};

/// Timeouts of the routes that a series of configurations sets in turn, in milliseconds. None is below the first one,
/// which the configuration has at the start.
const TIMEOUTS_MS: [u64; 4] = [4000, 6000, 5000, 8000];
/// Target latencies that it sets in turn, in milliseconds.
const TARGET_LATENCIES_MS: [u64; 3] = [400, 300, 600];
/// Number of the first routes whose timeouts and targets change: those for streams, safe and unsafe requests.
const CHANGED_ROUTES: usize = 3;

impl FaultInjector<'_> {
    /// Schedules the stops of several processes. With `upgrade` they start with the other build, if there are two.
    pub(super) fn schedule_rolling(&mut self, rolling: Rolling, upgrade: bool) {
        let gateways = self.fleet.gateways.len();
        let all = gateways + self.fleet.sidecars.len();
        let processes = match rolling.processes {
            RollingProcesses::Gateways => 0..gateways,
            RollingProcesses::Sidecars => gateways..all,
            RollingProcesses::All => 0..all,
        };
        for (number, time) in processes.zip(0..) {
            let at = self.series_time(rolling.interval_ms, time);
            self.schedule(at, DelayedAction::StopProcess(number, upgrade));
        }
    }

    /// Schedules a series of SIGHUPs to all processes, before every other of which the settings change.
    pub(super) fn schedule_reloads(&mut self, series: Series) {
        let all = self.fleet.gateways.len() + self.fleet.sidecars.len();
        for time in 0..series.count {
            let at = self.series_time(series.interval_ms, time);
            for number in 0..all {
                self.schedule(at, DelayedAction::ReloadProcess(number, time.is_multiple_of(2)));
            }
        }
    }

    /// Schedules a series of changes of the configuration.
    pub(super) fn schedule_configurations(&mut self, series: Series) {
        for time in 0..series.count {
            let at = self.series_time(series.interval_ms, time);
            self.schedule(at, DelayedAction::ChangeConfiguration(time));
        }
    }

    fn series_time(&self, interval_ms: u64, time: u64) -> Duration {
        self.now() + Duration::from_millis(interval_ms * time)
    }

    /// Stops a process of a rolling stop, unless it is not available.
    pub(super) fn stop_in_turn(&mut self, number: usize, upgrade: bool) {
        if !self.is_available(number) {
            return;
        }
        self.record_planned_work(format!("stop of {number}"));
        if upgrade {
            self.upgrade_process(number);
        } else {
            self.stop_process(number);
        }
    }

    /// Sends a SIGHUP of a series, after a change of the settings if `rewrite` is set.
    pub(super) fn reload_in_turn(&mut self, number: usize, rewrite: bool) -> eyre::Result<()> {
        if rewrite {
            self.process(number).rewrite_settings()?;
        }
        self.process(number).reload();
        Ok(())
    }

    /// Makes a change of a series: by turns a new route, other timeouts and targets, and another key of the workspace.
    pub(super) fn change_configuration(&mut self, time: u64) {
        match time % 3 {
            0 => self.add_configuration(),
            1 => self.change_timeouts(time as usize / 3),
            _ => self.change_keys(time),
        }
    }

    fn change_timeouts(&mut self, turn: usize) {
        self.fleet.standin.reconfigure(|it| {
            let routes = it["routes"].as_array_mut().into_iter().flatten();
            for route in routes.take(CHANGED_ROUTES) {
                route["timeoutMs"] = json!(TIMEOUTS_MS[(turn + 1) % TIMEOUTS_MS.len()]);
                let target = TARGET_LATENCIES_MS[turn % TARGET_LATENCIES_MS.len()];
                route["targetLatencyMs"] = json!(target);
            }
        });
    }

    /// Adds a key, or removes the one that was added before. The key of the callers stays.
    fn change_keys(&mut self, time: u64) {
        self.fleet.standin.reconfigure(|it| {
            if let Some(keys) = it["tenants"][0]["apiKeys"].as_array_mut() {
                keys.truncate(1);
                keys.extend(time.is_multiple_of(2).then(|| json!(format!("spare-{time}"))));
            }
        });
    }
}
