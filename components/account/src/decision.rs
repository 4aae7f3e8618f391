//! One decision on a request, as it stands in a log.

use serde::{Deserialize, Serialize};

/// A decision with what it was made by and its outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum Decision {
    /// The configuration names a route.
    Routed {
        /// The route.
        route: String,
        /// The service that was drawn.
        service: String,
        /// The version of the configuration.
        configuration: u64,
        /// `safe`, `unsafe`, `stream` or `resumable_stream`.
        kind: String,
        /// How long it may be held, in milliseconds.
        held_ms: u64,
        /// What the request is made of, the same for each try of its caller. Empty in older lines.
        #[serde(default)]
        digest: String,
    },
    /// The configuration names no route for it, or not the key.
    Unrouted {
        /// The version of the configuration.
        configuration: u64,
        /// How long ago the store last said that there is no newer one, in milliseconds.
        age_ms: Option<u64>,
    },
    /// A runner was chosen.
    Chosen {
        /// Its incarnation.
        runner: String,
        /// How often one was chosen before.
        attempt: u32,
        /// Requests there, as far as known.
        occupancy: u32,
        /// The age of the report on it, in milliseconds. Absent without one.
        report_age_ms: Option<u64>,
        /// Runners that were fit for it.
        candidates: u32,
        /// The regions where it might be served. Empty where it is not bound, or where its route and its workspace
        /// have none in common.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        homes: Vec<String>,
        /// What was left of its aim, in milliseconds: zero where it looks like a later try of a caller that was
        /// refused. Absent in older lines.
        #[serde(default)]
        left_ms: Option<u64>,
    },
    /// The sidecar beside a runner gave no place, or did not answer.
    NoPlace {
        /// The runner.
        runner: String,
        /// `denied` or `silent`.
        outcome: String,
    },
    /// A sidecar gave no place.
    Denied {
        /// Why: `evacuated`, `runner_leaves`, `leaving`, `too_old`, `full`, `reading`, `unheard`, `not_serving` or `cold`.
        reason: String,
        /// Requests at the runner and on their way to it.
        taken: u32,
        /// Places that it has.
        slots: u32,
        /// The version that it holds, zero for none.
        version: u64,
    },
    /// An attempt did not end in an answer.
    Failed {
        /// The runner.
        runner: String,
        /// The code.
        code: u16,
        /// Its name.
        name: String,
        /// Whether the runner certainly did not run it.
        not_run: bool,
        /// How long the attempt took, in milliseconds.
        took_ms: u64,
    },
    /// A runner said of itself, in its answer, that it wants no more requests.
    Told {
        /// The runner.
        runner: String,
        /// Whether it is leaving.
        leaving: bool,
        /// How long it wants to be left alone, in milliseconds. Absent where it did not turn the request away for a
        /// time.
        rest_ms: Option<u64>,
        /// The rate limit that it names, in requests a second. Absent where it names none, and in lines of earlier builds.
        #[serde(default)]
        limit_per_s: Option<f64>,
    },
    /// A runner began to answer.
    Answered {
        /// The runner.
        runner: String,
        /// Its status.
        status: u16,
        /// From the arrival of the request, in milliseconds.
        after_ms: u64,
    },
    /// A stream goes on behind an event.
    Resumed {
        /// The event, empty for the start.
        after_event: String,
    },
    /// The request has ended.
    Ended {
        /// `whole`, `refused`, `unknown`, `failed`, `cut` or `left`.
        outcome: String,
        /// The code, zero for none.
        code: u16,
        /// Its name.
        name: String,
        /// The status that the caller got, zero for none.
        status: u16,
        /// When it was asked to come back, in milliseconds.
        retry_after_ms: Option<u64>,
        /// Runners of the service that are listed.
        runners: u32,
        /// Runners of the service that were fit at the end.
        usable: u32,
        /// As when a runner is chosen.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        homes: Vec<String>,
        /// Those of the listed ones that stood in a data hall that is evacuated.
        #[serde(default)]
        evacuated: u32,
    },
}

/// A line of a log on a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestLine {
    /// The time of day, in milliseconds.
    pub ts_ms: u64,
    /// The process.
    pub instance: String,
    /// The request, by the id that its caller gave it.
    pub request: String,
    /// What was decided.
    #[serde(flatten)]
    pub decision: Decision,
}

/// A decision with the moment it was made.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The time of day, in milliseconds.
    pub ts_ms: u64,
    /// What was decided.
    pub decision: Decision,
}
