//! The names of all metrics, and their recorder; docs/OPERATIONS.md is their reference.

use std::sync::OnceLock;
use std::time::Duration;

use metrics::Unit;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

use crate::usage;

/// Calls by outcome: `answered` or a refusal code.
pub const CALLS: &str = "cumintrail_calls_total";
/// Calls that are not answered yet.
pub const CALLS_IN_FLIGHT: &str = "cumintrail_calls_in_flight";
/// Calls of these that wait for a slot.
pub const CALLS_WAITING: &str = "cumintrail_calls_waiting";
/// Attempts after the first of a call.
pub const RETRIES: &str = "cumintrail_retries_total";
/// Time from arrival to the first token, in seconds.
pub const FIRST_TOKEN_SECONDS: &str = "cumintrail_first_token_seconds";
/// Time from the head of a relayed call to the end of its answer, in seconds.
pub const RELAYED_CALL_SECONDS: &str = "cumintrail_relayed_call_seconds";
/// Answers of targets that belonged to another call.
pub const FOREIGN_RESPONSES: &str = "cumintrail_foreign_answers_total";
/// Log lines that were dropped, since too many waited to be written.
pub const DROPPED_LOG_LINES: &str = "cumintrail_dropped_log_lines_total";
/// Prompt tokens by where their state came from: `memory`, `store` or `computed`.
pub const PROMPT_TOKENS: &str = "cumintrail_prompt_tokens_total";
/// Bytes imported from stores.
pub const IMPORTED_BYTES: &str = "cumintrail_link_bytes_total";
/// Blocks by outcome of their import.
pub const IMPORTS: &str = "cumintrail_imports_total";
/// Blocks known in stores.
pub const STORED_BLOCKS: &str = "cumintrail_kept_blocks";
/// Reads of what stores hold, by kind: `summary`, `listing` or `changes`.
pub const STORE_READS: &str = "cumintrail_store_reads_total";
/// Streams that went on over a new connection.
pub const STREAM_RESUMES: &str = "cumintrail_stream_resumes_total";
/// Events that were dropped as late, repeated or foreign.
pub const DROPPED_EVENTS: &str = "cumintrail_dropped_events_total";
/// Recorded answers that were repeated under an idempotency key.
pub const REPLAYED_RESPONSES: &str = "cumintrail_replays_total";
/// Records of idempotency keys that were shrunk after they had expired.
pub const EXPIRED_RECORDS: &str = "cumintrail_expired_records_total";
/// Calls forwarded to the issuer of their operation key, by outcome: `answered` or `lost`.
pub const FORWARDS: &str = "cumintrail_forwards_total";
/// The generation in force.
pub const GENERATION: &str = "cumintrail_generation";
/// Targets by state.
pub const TARGETS: &str = "cumintrail_targets";
/// Stores by state.
pub const STORES: &str = "cumintrail_stores";
/// Peers by state.
pub const PEERS: &str = "cumintrail_peers";
/// Bytes sent to peers.
pub const PEER_BYTES: &str = "cumintrail_peer_bytes_total";
/// Bytes of control exchanges that this daemon opened, both ways, by the kind of the other end.
pub const CONTROL_BYTES: &str = "cumintrail_control_bytes_total";
/// Failed exchanges with the platform.
pub const PLATFORM_ERRORS: &str = "cumintrail_platform_errors_total";
/// Whether the last exchange with the platform was answered.
pub const PLATFORM_REACHABLE: &str = "cumintrail_platform_reachable";
/// Events that the control thread took.
pub const CONTROL_EVENTS: &str = "cumintrail_control_events_total";
/// Time that the control thread spent on events.
pub const CONTROL_BUSY_MICROSECONDS: &str = "cumintrail_control_busy_microseconds_total";
/// The longest time that the control thread spent on one event in the last second.
pub const CONTROL_SLOWEST_EVENT: &str = "cumintrail_control_slowest_event_seconds";
/// Events that wait for the control thread.
pub const CONTROL_QUEUE_LENGTH: &str = "cumintrail_control_queue";
/// Resident memory of the process.
pub const RESIDENT_BYTES: &str = "cumintrail_process_resident_bytes";
/// Processor time of the process.
pub const CPU_SECONDS: &str = "cumintrail_process_cpu_seconds";

const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(5);
const SECONDS_BUCKETS: [f64; 13] =
    [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 1.9, 2.5, 5.0, 10.0, 30.0];

/// Tells what a metric counts up or shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// Only grows.
    Counter,
    /// Shows the present.
    Gauge,
    /// Counts values by size.
    Histogram,
}

/// Describes one metric.
#[derive(Debug, Clone, Copy)]
pub struct MetricDescription {
    /// Its name.
    pub name: &'static str,
    /// Its kind.
    pub kind: MetricKind,
    /// Its unit.
    pub unit: Unit,
    /// Its label, if it has one.
    pub label: Option<&'static str>,
    /// What it tells.
    pub help: &'static str,
}

const fn counter(name: &'static str, unit: Unit, help: &'static str) -> MetricDescription {
    MetricDescription { name, kind: MetricKind::Counter, unit, label: None, help }
}

const fn gauge(name: &'static str, unit: Unit, help: &'static str) -> MetricDescription {
    MetricDescription { name, kind: MetricKind::Gauge, unit, label: None, help }
}

impl MetricDescription {
    const fn with_label(mut self, label: &'static str) -> Self {
        self.label = Some(label);
        self
    }
}

/// Describes all metrics.
pub const METRICS: [MetricDescription; 32] = [
    counter(CALLS, Unit::Count, "Calls by outcome").with_label("outcome"),
    gauge(CALLS_IN_FLIGHT, Unit::Count, "Calls that are not answered yet"),
    gauge(CALLS_WAITING, Unit::Count, "Calls that wait for a slot"),
    counter(RETRIES, Unit::Count, "Attempts after the first of a call"),
    MetricDescription {
        name: FIRST_TOKEN_SECONDS,
        kind: MetricKind::Histogram,
        unit: Unit::Seconds,
        label: None,
        help: "Time from arrival to the first token",
    },
    MetricDescription {
        name: RELAYED_CALL_SECONDS,
        kind: MetricKind::Histogram,
        unit: Unit::Seconds,
        label: None,
        help: "Time from the head of a relayed call to the end of its answer",
    },
    counter(FOREIGN_RESPONSES, Unit::Count, "Answers of targets that belonged to another call"),
    counter(DROPPED_LOG_LINES, Unit::Count, "Log lines dropped, since too many waited"),
    counter(PROMPT_TOKENS, Unit::Count, "Prompt tokens by source of their state")
        .with_label("source"),
    counter(IMPORTED_BYTES, Unit::Bytes, "Bytes imported from stores"),
    counter(IMPORTS, Unit::Count, "Blocks by outcome of their import").with_label("outcome"),
    gauge(STORED_BLOCKS, Unit::Count, "Blocks known in stores"),
    counter(STORE_READS, Unit::Count, "Reads of what stores hold by kind").with_label("read"),
    counter(STREAM_RESUMES, Unit::Count, "Streams that went on over a new connection"),
    counter(REPLAYED_RESPONSES, Unit::Count, "Recorded answers repeated under an idempotency key"),
    counter(EXPIRED_RECORDS, Unit::Count, "Records shrunk after they had expired"),
    counter(FORWARDS, Unit::Count, "Calls forwarded to the issuer of their operation key")
        .with_label("outcome"),
    counter(DROPPED_EVENTS, Unit::Count, "Late, repeated or foreign answer events")
        .with_label("reason"),
    gauge(GENERATION, Unit::Count, "The generation in force"),
    gauge(TARGETS, Unit::Count, "Declared targets by state").with_label("state"),
    gauge(STORES, Unit::Count, "Declared stores by state").with_label("state"),
    gauge(PEERS, Unit::Count, "Known peer daemons by state").with_label("state"),
    counter(PEER_BYTES, Unit::Bytes, "Bytes sent to peers"),
    counter(CONTROL_BYTES, Unit::Bytes, "Bytes of control exchanges, heads included")
        .with_label("part"),
    counter(PLATFORM_ERRORS, Unit::Count, "Failed exchanges with the platform").with_label("part"),
    gauge(PLATFORM_REACHABLE, Unit::Count, "Whether the platform answered last"),
    counter(CONTROL_EVENTS, Unit::Count, "Events that the control thread took"),
    counter(
        CONTROL_BUSY_MICROSECONDS,
        Unit::Microseconds,
        "Time that the control thread spent on events",
    ),
    gauge(CONTROL_SLOWEST_EVENT, Unit::Seconds, "The slowest control event of the last second"),
    gauge(CONTROL_QUEUE_LENGTH, Unit::Count, "Events that wait for the control thread"),
    gauge(RESIDENT_BYTES, Unit::Bytes, "Resident memory of the process"),
    gauge(CPU_SECONDS, Unit::Seconds, "Processor time of the process since its start"),
];

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the process's recorder once and returns the handle that renders it.
pub fn install_recorder() -> &'static PrometheusHandle {
    RECORDER.get_or_init(|| {
        let seconds = Matcher::Suffix("_seconds".into());
        let builder = PrometheusBuilder::new()
            .set_buckets_for_metric(seconds, &SECONDS_BUCKETS)
            .expect("the list of buckets is not empty");
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        // A second recorder is refused only if a test installed its own; ours is rendered anyway.
        let _ = metrics::set_global_recorder(recorder);
        METRICS.iter().for_each(describe);
        handle
    })
}

fn describe(entry: &MetricDescription) {
    match entry.kind {
        MetricKind::Counter => metrics::describe_counter!(entry.name, entry.unit, entry.help),
        MetricKind::Gauge => metrics::describe_gauge!(entry.name, entry.unit, entry.help),
        MetricKind::Histogram => metrics::describe_histogram!(entry.name, entry.unit, entry.help),
    }
}

/// Renders all metrics after a fresh look at the process itself.
pub fn render() -> String {
    let handle = install_recorder();
    let usage = usage::process_usage();
    metrics::gauge!(RESIDENT_BYTES).set(usage.resident_bytes as f64);
    metrics::gauge!(CPU_SECONDS).set(usage.cpu_time.as_secs_f64());
    handle.render()
}

/// Folds samples into histograms until the process ends, so that they take no memory unscraped.
pub async fn run_maintenance() {
    loop {
        actix_rt::time::sleep(MAINTENANCE_INTERVAL).await;
        install_recorder().run_upkeep();
    }
}
