//! Counters and gauges of a daemon, in the text format that scrapers expect.

use errors::{Code, Error, Result};
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// A span of time that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Span {
    /// From the arrival of a request to the first byte of its answer.
    First,
    /// Between two events of a stream.
    Gap,
    /// From the arrival of a request to the end of its answer.
    Whole,
    /// From the arrival of a request to its first place at a runner.
    Queue,
    /// From the sending of a request to the head of the runner's answer.
    Runner,
    /// A call to the platform's store, the wait of a feed apart.
    Store,
}

impl Span {
    /// Its name in the metrics.
    fn name(self) -> &'static str {
        match self {
            Self::First => "first_byte",
            Self::Gap => "event_gap",
            Self::Whole => "whole_answer",
            Self::Queue => "queue_wait",
            Self::Runner => "runner_head",
            Self::Store => "store_call",
        }
    }
}

/// Upper bounds of the classes of spans, in seconds.
const SPAN_BOUNDS: [f64; 12] = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// The metrics of one daemon.
pub struct Metrics {
    registry: Registry,
    // Dropping the provider would stop the export.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    failed_attempts: Counter<u64>,
    chunks: Counter<u64>,
    control_bytes: Counter<u64>,
    platform_calls: Counter<u64>,
    store_bytes: Counter<u64>,
    evacuations: Counter<u64>,
    crashes: Counter<u64>,
    lives: Counter<u64>,
    runner_words: Counter<u64>,
    slow_readers: Counter<u64>,
    eras: Counter<u64>,
    foreign_messages: Counter<u64>,
    suspensions: Counter<u64>,
    settings: Counter<u64>,
    gauges: Gauge<u64>,
    spans: Histogram<f64>,
}

impl Metrics {
    /// Starts an empty set of metrics.
    pub fn start() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| Error::new(Code::Internal, error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("silverdock");
        Ok(Self {
            registry,
            requests: meter
                .u64_counter("silverdock_requests")
                .with_description("Requests that ended, by kind and outcome")
                .build(),
            refusals: meter
                .u64_counter("silverdock_refusals")
                .with_description("Refused requests, by the name of a code")
                .build(),
            retries: meter
                .u64_counter("silverdock_retries")
                .with_description(
                    "Requests sent again, by the name of the code of the failure before",
                )
                .build(),
            failed_attempts: meter
                .u64_counter("silverdock_failed_attempts")
                .with_description("Attempts that did not end in an answer, by the name of a code")
                .build(),
            chunks: meter
                .u64_counter("silverdock_chunks")
                .with_description("Chunks, by what became of them")
                .build(),
            control_bytes: meter
                .u64_counter("silverdock_control_bytes")
                .with_description("Bytes of messages between daemons, by direction")
                .build(),
            platform_calls: meter
                .u64_counter("silverdock_platform_calls")
                .with_description("Calls to the platform, by service and outcome")
                .build(),
            store_bytes: meter
                .u64_counter("silverdock_store_bytes")
                .with_description(
                    "Bytes of the platform's store that were read, by table and cause",
                )
                .build(),
            evacuations: meter
                .u64_counter("silverdock_evacuations")
                .with_description("Evacuations of data halls that were heard of, by what changed")
                .build(),
            crashes: meter
                .u64_counter("silverdock_crashes")
                .with_description("Runners that crashed under requests, and what became of these")
                .build(),
            lives: meter
                .u64_counter("silverdock_runner_lives")
                .with_description("Words about runners that are not of the life that is known")
                .build(),
            runner_words: meter
                .u64_counter("silverdock_runner_words")
                .with_description("Answers in which a runner says what requests it takes")
                .build(),
            slow_readers: meter
                .u64_counter("silverdock_slow_readers")
                .with_description("Connections that were closed on callers who did not read")
                .build(),
            eras: meter
                .u64_counter("silverdock_store_eras")
                .with_description("How often the platform's store came back from an older copy")
                .build(),
            foreign_messages: meter
                .u64_counter("silverdock_foreign_messages")
                .with_description(
                    "Messages of other builds that were passed over, wholly or in part, by kind",
                )
                .build(),
            suspensions: meter
                .u64_counter("silverdock_suspensions")
                .with_description("How often the machine was suspended while the process ran")
                .build(),
            settings: meter
                .u64_counter("silverdock_reloads")
                .with_description("Settings of a file that was read again, by what became of them")
                .build(),
            spans: meter
                .f64_histogram("silverdock_span")
                .with_unit("s")
                .with_description("How long things took, by what")
                .with_boundaries(SPAN_BOUNDS.to_vec())
                .build(),
            gauges: meter
                .u64_gauge("silverdock_state")
                .with_description("What is believed, by name")
                .build(),
            _provider: provider,
        })
    }

    /// Counts a request that ended, by kind and outcome.
    pub fn count_request(&self, kind: &str, outcome: &str) {
        let kind = KeyValue::new("kind", kind.to_owned());
        self.requests.add(1, &[kind, KeyValue::new("outcome", outcome.to_owned())]);
    }

    /// Counts something refused, by its code.
    pub fn count_refusal(&self, code: Code) {
        self.refusals.add(1, &[KeyValue::new("reason", code.name())]);
    }

    /// Counts a place at a runner that was not given, by the reason.
    pub fn count_denial(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts something tried again, by the code of the try before.
    pub fn count_retry(&self, code: Code) {
        self.retries.add(1, &[KeyValue::new("reason", code.name())]);
    }

    /// Counts an attempt that was sent, or could not be, and did not end in an answer, by its code.
    pub fn count_failed_attempt(&self, code: Code) {
        self.failed_attempts.add(1, &[KeyValue::new("reason", code.name())]);
    }

    /// Counts a chunk, by what became of it: `origin`, `peer`, `sent` or the name of a code.
    pub fn count_chunk(&self, outcome: &'static str) {
        self.chunks.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts bytes that control messages cost, by direction.
    pub fn count_control(&self, direction: &'static str, bytes: u64) {
        self.control_bytes.add(bytes, &[KeyValue::new("direction", direction)]);
    }

    /// Counts a call to the platform, by service and outcome.
    pub fn count_platform(&self, service: &'static str, outcome: &'static str) {
        let service = KeyValue::new("service", service);
        self.platform_calls.add(1, &[service, KeyValue::new("outcome", outcome)]);
    }

    /// Counts bytes of a table of the platform's store, by what they were read for: a `listing` or a `feed`.
    pub fn count_store_bytes(&self, table: &'static str, cause: &'static str, bytes: u64) {
        let table = KeyValue::new("table", table);
        self.store_bytes.add(bytes, &[table, KeyValue::new("cause", cause)]);
    }

    /// Counts an evacuation of a data hall that `began` or `ended`.
    pub fn count_evacuation(&self, change: &'static str) {
        self.evacuations.add(1, &[KeyValue::new("change", change)]);
    }

    /// Counts a runner that crashed under a request, or a request whose status changed: `crashed`, `quarantined` or `cleared`.
    pub fn count_crash(&self, what: &'static str) {
        self.crashes.add(1, &[KeyValue::new("what", what)]);
    }

    /// Counts a word about a runner that is not of the life that is known: `began`, `earlier` or `untold`.
    pub fn count_life(&self, change: &'static str) {
        self.lives.add(1, &[KeyValue::new("change", change)]);
    }

    /// Counts an answer in which a runner says what it takes: `leaving`, `rest` or `limit`.
    pub fn count_runner_word(&self, word: &'static str) {
        self.runner_words.add(1, &[KeyValue::new("word", word)]);
    }

    /// Counts a connection that was closed on a caller who did not read: `stalled`, `late` or `memory`.
    pub fn count_slow_reader(&self, reason: &'static str) {
        self.slow_readers.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts that the platform's store came back from an older copy.
    pub fn count_era(&self) {
        self.eras.add(1, &[]);
    }

    /// Counts a message of another build that was passed over: a `datagram`, `request` or `answer`, or only what rides
    /// behind one as `additions`.
    pub fn count_foreign_message(&self, kind: &'static str) {
        self.foreign_messages.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts that the machine was suspended.
    pub fn count_suspension(&self) {
        self.suspensions.add(1, &[]);
    }

    /// Counts a setting of a file that was read again: `applied`, `refused` until the next start, or a whole file
    /// that is `faulty` or `unreadable`.
    pub fn count_setting(&self, outcome: &'static str) {
        self.settings.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Notes how long something took, in milliseconds.
    pub fn note_span(&self, span: Span, millis: u64) {
        self.spans.record(millis as f64 / 1000.0, &[KeyValue::new("what", span.name())]);
    }

    /// Sets a gauge, by name.
    pub fn set(&self, name: &'static str, value: u64) {
        self.gauges.record(value, &[KeyValue::new("name", name)]);
    }

    /// Renders everything in the text format of scrapers.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        match TextEncoder::new().encode(&families, &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }
}

#[cfg(test)]
mod tests;
