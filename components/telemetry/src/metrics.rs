//! Metrics of a daemon, rendered in the Prometheus text format.

use errors::{Code, Error, Result};
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// A measured duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MeasuredDuration {
    /// From the arrival of a request to the first byte of its response.
    FirstByte,
    /// Between two successive events of a stream.
    EventGap,
    /// From the arrival of a request to the end of its response.
    FullResponse,
    /// From the arrival of a request to its first reservation at a runner.
    QueueWait,
    /// From sending a request to a runner to receiving its response headers.
    RunnerHeaders,
    /// A call to the platform's store, except for the time that a feed call waits for changes.
    StoreCall,
}

impl MeasuredDuration {
    /// Returns the name of the duration in the metrics.
    fn metric_name(self) -> &'static str {
        match self {
            Self::FirstByte => "first_byte",
            Self::EventGap => "event_gap",
            Self::FullResponse => "whole_answer",
            Self::QueueWait => "queue_wait",
            Self::RunnerHeaders => "runner_head",
            Self::StoreCall => "store_call",
        }
    }
}

/// Upper bounds of the histogram buckets for durations, in seconds.
const DURATION_BUCKETS_S: [f64; 12] =
    [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

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
    orders: Counter<u64>,
    crashes: Counter<u64>,
    runner_life_reports: Counter<u64>,
    runner_load_notices: Counter<u64>,
    silences: Counter<u64>,
    slow_readers: Counter<u64>,
    connection_ends: Counter<u64>,
    crossings: Counter<u64>,
    store_restores: Counter<u64>,
    foreign_messages: Counter<u64>,
    malformed_answers: Counter<u64>,
    suspensions: Counter<u64>,
    reloaded_settings: Counter<u64>,
    state: Gauge<u64>,
    durations: Histogram<f64>,
}

impl Metrics {
    /// Creates the metrics and their exporter.
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
            orders: meter
                .u64_counter("silverdock_orders")
                .with_description(
                    "Orders to the runner to load a version, by why they were sent then",
                )
                .build(),
            crashes: meter
                .u64_counter("silverdock_crashes")
                .with_description("Runners that crashed under requests, and what became of these")
                .build(),
            runner_life_reports: meter
                .u64_counter("silverdock_runner_lives")
                .with_description("Words about runners that are not of the life that is known")
                .build(),
            runner_load_notices: meter
                .u64_counter("silverdock_runner_words")
                .with_description("Answers in which a runner says what requests it takes")
                .build(),
            silences: meter
                .u64_counter("silverdock_silences")
                .with_description("Silences of runners whose connections are open, by what came")
                .build(),
            slow_readers: meter
                .u64_counter("silverdock_slow_readers")
                .with_description("Connections that were closed on callers who did not read")
                .build(),
            connection_ends: meter
                .u64_counter("silverdock_connection_ends")
                .with_description(
                    "Connections that ended, by server, cause and what was under way on them",
                )
                .build(),
            crossings: meter
                .u64_counter("silverdock_crossed_requests")
                .with_description(
                    "Requests that arrived after the end of their connections, by server and cause",
                )
                .build(),
            store_restores: meter
                .u64_counter("silverdock_store_eras")
                .with_description("How often the platform's store came back from an older copy")
                .build(),
            foreign_messages: meter
                .u64_counter("silverdock_foreign_messages")
                .with_description(
                    "Messages of other builds that were passed over, wholly or in part, by kind",
                )
                .build(),
            malformed_answers: meter
                .u64_counter("silverdock_malformed_answers")
                .with_description(
                    "Answers of servers that break the protocol, by what was read and by the fault",
                )
                .build(),
            suspensions: meter
                .u64_counter("silverdock_suspensions")
                .with_description("How often the machine was suspended while the process ran")
                .build(),
            reloaded_settings: meter
                .u64_counter("silverdock_reloads")
                .with_description("Settings of a file that was read again, by what became of them")
                .build(),
            durations: meter
                .f64_histogram("silverdock_span")
                .with_unit("s")
                .with_description("How long things took, by what")
                .with_boundaries(DURATION_BUCKETS_S.to_vec())
                .build(),
            state: meter
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

    /// Counts a rejection, by its code.
    pub fn count_refusal(&self, code: Code) {
        self.refusals.add(1, &[KeyValue::new("reason", code.name())]);
    }

    /// Counts a denied reservation at a runner, by the reason.
    pub fn count_denial(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a retry, by the code of the preceding failure.
    pub fn count_retry(&self, code: Code) {
        self.retries.add(1, &[KeyValue::new("reason", code.name())]);
    }

    /// Counts an attempt that could not be sent or did not end in a response, by its code.
    pub fn count_failed_attempt(&self, code: Code) {
        self.failed_attempts.add(1, &[KeyValue::new("reason", code.name())]);
    }

    /// Counts a chunk by its outcome: read from the `origin` or a `peer`, `sent` to a peer, or the name of a code.
    pub fn count_chunk(&self, outcome: &'static str) {
        self.chunks.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts bytes of control messages, by direction.
    pub fn count_control(&self, direction: &'static str, bytes: u64) {
        self.control_bytes.add(bytes, &[KeyValue::new("direction", direction)]);
    }

    /// Counts a call to the platform, by service and outcome.
    pub fn count_platform_call(&self, service: &'static str, outcome: &'static str) {
        let service = KeyValue::new("service", service);
        self.platform_calls.add(1, &[service, KeyValue::new("outcome", outcome)]);
    }

    /// Counts bytes read from a table of the platform's store, by cause: a `listing` or a `feed`.
    pub fn count_store_bytes(&self, table: &'static str, cause: &'static str, bytes: u64) {
        let table = KeyValue::new("table", table);
        self.store_bytes.add(bytes, &[table, KeyValue::new("cause", cause)]);
    }

    /// Counts a data hall evacuation that `began` or `ended`.
    pub fn count_evacuation(&self, change: &'static str) {
        self.evacuations.add(1, &[KeyValue::new("change", change)]);
    }

    /// Counts an order to the runner to load a version, by why it was sent then.
    pub fn count_order(&self, reason: &'static str) {
        self.orders.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a runner that `crashed` while it executed a request, or a subject that was `quarantined`, `cleared` or
    /// `explained` by the crashes of others.
    pub fn count_crash(&self, what: &'static str) {
        self.crashes.add(1, &[KeyValue::new("what", what)]);
    }

    /// Counts a report about a runner whose process start differs from the known one: the runner has restarted
    /// (`began`), the report is from before the known start (`earlier`), or it no longer states a start (`untold`).
    pub fn count_incarnation_change(&self, change: &'static str) {
        self.runner_life_reports.add(1, &[KeyValue::new("change", change)]);
    }

    /// Counts a response in which a runner restricts its load: it is `leaving`, asks for a pause (`rest`), or
    /// advertises a rate `limit`.
    pub fn count_load_notice(&self, notice: &'static str) {
        self.runner_load_notices.add(1, &[KeyValue::new("word", notice)]);
    }

    /// Counts a silence of a runner whose connection is open: one that `began` before or within a response, or
    /// after which the runner `continued`.
    pub fn count_silence(&self, what: &'static str) {
        self.silences.add(1, &[KeyValue::new("what", what)]);
    }

    /// Counts a connection that was closed because the caller did not read, by the reason: `stalled`, `late` or
    /// `memory`.
    pub fn count_slow_reader(&self, reason: &'static str) {
        self.slow_readers.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a connection to a server of this process that ended, by the cause and by what was under way on it.
    pub fn count_connection_end(
        &self,
        server: &'static str,
        cause: &'static str,
        state: &'static str,
    ) {
        let labels = [("server", server), ("reason", cause), ("state", state)];
        self.connection_ends.add(1, &labels.map(|(name, value)| KeyValue::new(name, value)));
    }

    /// Counts a request that arrived on a connection which had just been ended, by the cause.
    pub fn count_crossing(&self, server: &'static str, cause: &'static str) {
        let server = KeyValue::new("server", server);
        self.crossings.add(1, &[server, KeyValue::new("reason", cause)]);
    }

    /// Counts that the platform's store was restored from an older copy.
    pub fn count_store_restore(&self) {
        self.store_restores.add(1, &[]);
    }

    /// Counts a message of another build that was ignored: a whole `datagram`, `request` or `answer`, or only the
    /// `additions` that are appended to one.
    pub fn count_foreign_message(&self, kind: &'static str) {
        self.foreign_messages.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts an answer that breaks the protocol, by what was read (`stream`, `answer`, `report`, `store`, ..) and by the
    /// fault.
    pub fn count_malformed_answer(&self, source: &'static str, fault: &'static str) {
        let source = KeyValue::new("source", source);
        self.malformed_answers.add(1, &[source, KeyValue::new("fault", fault)]);
    }

    /// Counts a suspension of the machine.
    pub fn count_suspension(&self) {
        self.suspensions.add(1, &[]);
    }

    /// Counts a changed setting of a reloaded file that was `applied`, or `refused` because it requires a restart; or a
    /// whole file that is `faulty` or `unreadable`.
    pub fn count_setting(&self, outcome: &'static str) {
        self.reloaded_settings.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records a duration, in milliseconds.
    pub fn record_duration(&self, duration: MeasuredDuration, millis: u64) {
        self.durations
            .record(millis as f64 / 1000.0, &[KeyValue::new("what", duration.metric_name())]);
    }

    /// Sets the gauge with this name.
    pub fn set_gauge(&self, name: &'static str, value: u64) {
        self.state.record(value, &[KeyValue::new("name", name)]);
    }

    /// Renders all metrics in the Prometheus text format.
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
