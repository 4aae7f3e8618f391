//! The log format of a decision about a request.

use serde::{Deserialize, Serialize};

/// A decision about a request, with its inputs and its outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum Decision {
    /// The request matched a route of the configuration.
    Routed {
        /// The route.
        route: String,
        /// The service, which is selected at random by the weights of the route.
        service: String,
        /// The version of the configuration.
        configuration: u64,
        /// `safe`, `unsafe`, `stream` or `resumable_stream`.
        kind: String,
        /// The longest time that the gateway may hold the request, in milliseconds.
        held_ms: u64,
        /// A digest of the request, which is the same for each retry by its caller. Empty in lines of builds that
        /// did not write it.
        #[serde(default)]
        digest: String,
        /// Digests of the parts of its prompt that other requests may share.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        parts: Vec<String>,
    },
    /// The configuration has no route for the request or does not know its API key.
    Unrouted {
        /// The version of the configuration.
        configuration: u64,
        /// The time since the store last confirmed that the configuration is the newest, in milliseconds. Absent if it
        /// never did.
        age_ms: Option<u64>,
    },
    /// The gateway selected a runner.
    Chosen {
        /// The id of the runner.
        runner: String,
        /// The number of this attempt.
        attempt: u32,
        /// The number of requests at the runner, as far as the gateway knew.
        occupancy: u32,
        /// The age of the runner's last load report, in milliseconds. Absent if there is none.
        report_age_ms: Option<u64>,
        /// The number of eligible runners.
        candidates: u32,
        /// The regions in which the request may run. Empty if it may run anywhere, or if its route and its workspace
        /// have no region in common.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        homes: Vec<String>,
        /// The time left to the latency target of the route, in milliseconds. Zero if the request looks like a retry by
        /// a caller that was refused before. Absent in lines of builds that did not write it.
        #[serde(default)]
        left_ms: Option<u64>,
    },
    /// The sidecar of a runner did not reserve a slot for the request.
    NoPlace {
        /// The runner.
        runner: String,
        /// `denied`, `silent` if the sidecar did not answer, or `expired` if the reservation was used too late.
        outcome: String,
    },
    /// A sidecar denied a reservation. Logged by the sidecar.
    Denied {
        /// The reason: `evacuated`, `runner_leaves`, `leaving`, `too_old`, `last_order`, `cold`, `limited`, `full`,
        /// `reading`, `later`, `unheard` or `not_serving`.
        reason: String,
        /// The number of requests at the runner or on their way to it.
        taken: u32,
        /// The number of requests that the runner takes at once.
        slots: u32,
        /// The version that the runner holds; zero for none.
        version: u64,
    },
    /// An attempt ended without a response.
    Failed {
        /// The runner.
        runner: String,
        /// The result code.
        code: u16,
        /// The name of the result code.
        name: String,
        /// Whether the runner is known not to have run the request.
        not_run: bool,
        /// The duration of the attempt, in milliseconds.
        took_ms: u64,
        /// How long the runner had been responding, in milliseconds. Absent if its response had not begun.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        answering_ms: Option<u64>,
    },
    /// The response of a runner asked for fewer requests or none.
    Told {
        /// The runner.
        runner: String,
        /// Whether the runner is shutting down.
        leaving: bool,
        /// The time for which the runner asked for no requests, in milliseconds. Absent if it did not reject the
        /// request for a time.
        rest_ms: Option<u64>,
        /// The rate limit that the runner asked for, in requests per second. Absent if it asked for none, and in lines
        /// of builds that did not write it.
        #[serde(default)]
        limit_per_s: Option<f64>,
    },
    /// The head of a runner's response arrived.
    Answered {
        /// The runner.
        runner: String,
        /// The HTTP status.
        status: u16,
        /// The time since the arrival of the request, in milliseconds.
        after_ms: u64,
        /// Whether the response ends with its connection, without a length or chunks.
        #[serde(default, skip_serializing_if = "is_false")]
        ends_with_connection: bool,
    },
    /// A runner whose connection is open has been silent for longer than expected.
    Silent {
        /// The runner.
        runner: String,
        /// How long it has been silent, in milliseconds.
        silent_ms: u64,
        /// Whether its response had begun.
        begun: bool,
    },
    /// A runner that was silent goes on.
    Continued {
        /// The runner.
        runner: String,
        /// The time since the arrival of the request, in milliseconds.
        after_ms: u64,
    },
    /// The part of a stream that a runner sent did not end well.
    BrokeOff {
        /// The runner.
        runner: String,
        /// `cut` within the framing of the answer, `within_event`, `without_event`, or the fault of bytes that are not an
        /// event.
        end: String,
        /// Whether the response ends with its connection, without a length or chunks.
        #[serde(default, skip_serializing_if = "is_false")]
        ends_with_connection: bool,
        /// The number of events of the stream that were forwarded, including those of earlier runners.
        events: u64,
        /// The id of the last of them.
        last_id: Option<u64>,
    },
    /// A stream was resumed after an interruption.
    Resumed {
        /// The id of the last event that was received; empty if there was none.
        after_event: String,
    },
    /// The request ended.
    Ended {
        /// `whole`, `refused`, `unknown`, `failed`, `cut` or `left`.
        outcome: String,
        /// The result code; zero for none.
        code: u16,
        /// The name of the result code.
        name: String,
        /// The HTTP status that the caller received; zero for none.
        status: u16,
        /// The time after which the caller was asked to retry, in milliseconds.
        retry_after_ms: Option<u64>,
        /// The number of listed runners of the service.
        runners: u32,
        /// The number of these that were eligible and had capacity when the request ended.
        usable: u32,
        /// The regions in which the request may run, as in [`Decision::Chosen`].
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        homes: Vec<String>,
        /// The number of listed runners in evacuated data halls.
        #[serde(default)]
        evacuated: u32,
    },
}

/// A log line about a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestLine {
    /// The Unix time, in milliseconds.
    pub ts_ms: u64,
    /// The process that logged the line.
    pub instance: String,
    /// The id that the caller gave the request.
    pub request: String,
    /// The decision.
    #[serde(flatten)]
    pub decision: Decision,
}

/// A decision and its time, before it is logged.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedDecision {
    /// The Unix time, in milliseconds.
    pub ts_ms: u64,
    /// The decision.
    pub decision: Decision,
}

fn is_false(value: &bool) -> bool {
    !value
}
