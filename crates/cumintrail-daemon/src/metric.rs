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
pub const FIRST_TOKEN: &str = "cumintrail_first_token_seconds";
/// Time from the head of a relayed call to the end of its answer, in seconds.
pub const CALL_SECONDS: &str = "cumintrail_relayed_call_seconds";
/// Answers of targets that belonged to another call.
pub const FOREIGN_ANSWERS: &str = "cumintrail_foreign_answers_total";
/// Log lines that were dropped, since too many waited to be written.
pub const DROPPED_LINES: &str = "cumintrail_dropped_log_lines_total";
/// Prompt tokens by where their state came from: `memory`, `store` or `computed`.
pub const PROMPT_TOKENS: &str = "cumintrail_prompt_tokens_total";
/// Bytes imported from stores.
pub const LINK_BYTES: &str = "cumintrail_link_bytes_total";
/// Blocks by outcome of their import.
pub const IMPORTS: &str = "cumintrail_imports_total";
/// Blocks known in stores.
pub const KEPT_BLOCKS: &str = "cumintrail_kept_blocks";
/// Reads of what stores hold, by kind: `summary`, `listing` or `changes`.
pub const STORE_READS: &str = "cumintrail_store_reads_total";
/// Streams that went on over a new connection.
pub const RESUMES: &str = "cumintrail_stream_resumes_total";
/// Events that were dropped as late, repeated or foreign.
pub const DROPPED_EVENTS: &str = "cumintrail_dropped_events_total";
/// Recorded answers that were repeated under an idempotency key.
pub const REPLAYS: &str = "cumintrail_replays_total";
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
pub const CONTROL_BUSY: &str = "cumintrail_control_busy_microseconds_total";
/// The longest time that the control thread spent on one event in the last second.
pub const CONTROL_SLOWEST: &str = "cumintrail_control_slowest_event_seconds";
/// Events that wait for the control thread.
pub const CONTROL_QUEUE: &str = "cumintrail_control_queue";
/// Resident memory of the process.
pub const RESIDENT: &str = "cumintrail_process_resident_bytes";
/// Processor time of the process.
pub const PROCESSOR: &str = "cumintrail_process_cpu_seconds";

const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
const FIRST_TOKEN_BUCKETS_S: [f64; 13] =
    [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 1.9, 2.5, 5.0, 10.0, 30.0];

/// Tells what a metric counts up or shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Only grows.
    Counter,
    /// Shows the present.
    Gauge,
    /// Counts values by size.
    Histogram,
}

/// Describes one metric.
#[derive(Debug, Clone, Copy)]
pub struct Description {
    /// Its name.
    pub name: &'static str,
    /// Its kind.
    pub kind: Kind,
    /// Its unit.
    pub unit: Unit,
    /// Its label, if it has one.
    pub label: Option<&'static str>,
    /// What it tells.
    pub help: &'static str,
}

const fn counter(name: &'static str, unit: Unit, help: &'static str) -> Description {
    Description { name, kind: Kind::Counter, unit, label: None, help }
}

const fn gauge(name: &'static str, unit: Unit, help: &'static str) -> Description {
    Description { name, kind: Kind::Gauge, unit, label: None, help }
}

impl Description {
    const fn by(mut self, label: &'static str) -> Self {
        self.label = Some(label);
        self
    }
}

/// Describes all metrics.
pub const METRICS: [Description; 32] = [
    counter(CALLS, Unit::Count, "Calls by outcome").by("outcome"),
    gauge(CALLS_IN_FLIGHT, Unit::Count, "Calls that are not answered yet"),
    gauge(CALLS_WAITING, Unit::Count, "Calls that wait for a slot"),
    counter(RETRIES, Unit::Count, "Attempts after the first of a call"),
    Description {
        name: FIRST_TOKEN,
        kind: Kind::Histogram,
        unit: Unit::Seconds,
        label: None,
        help: "Time from arrival to the first token",
    },
    Description {
        name: CALL_SECONDS,
        kind: Kind::Histogram,
        unit: Unit::Seconds,
        label: None,
        help: "Time from the head of a relayed call to the end of its answer",
    },
    counter(FOREIGN_ANSWERS, Unit::Count, "Answers of targets that belonged to another call"),
    counter(DROPPED_LINES, Unit::Count, "Log lines dropped, since too many waited"),
    counter(PROMPT_TOKENS, Unit::Count, "Prompt tokens by source of their state").by("source"),
    counter(LINK_BYTES, Unit::Bytes, "Bytes imported from stores"),
    counter(IMPORTS, Unit::Count, "Blocks by outcome of their import").by("outcome"),
    gauge(KEPT_BLOCKS, Unit::Count, "Blocks known in stores"),
    counter(STORE_READS, Unit::Count, "Reads of what stores hold by kind").by("read"),
    counter(RESUMES, Unit::Count, "Streams that went on over a new connection"),
    counter(REPLAYS, Unit::Count, "Recorded answers repeated under an idempotency key"),
    counter(EXPIRED_RECORDS, Unit::Count, "Records shrunk after they had expired"),
    counter(FORWARDS, Unit::Count, "Calls forwarded to the issuer of their operation key")
        .by("outcome"),
    counter(DROPPED_EVENTS, Unit::Count, "Late, repeated or foreign answer events").by("reason"),
    gauge(GENERATION, Unit::Count, "The generation in force"),
    gauge(TARGETS, Unit::Count, "Declared targets by state").by("state"),
    gauge(STORES, Unit::Count, "Declared stores by state").by("state"),
    gauge(PEERS, Unit::Count, "Known peer daemons by state").by("state"),
    counter(PEER_BYTES, Unit::Bytes, "Bytes sent to peers"),
    counter(CONTROL_BYTES, Unit::Bytes, "Bytes of control exchanges, heads included").by("part"),
    counter(PLATFORM_ERRORS, Unit::Count, "Failed exchanges with the platform").by("part"),
    gauge(PLATFORM_REACHABLE, Unit::Count, "Whether the platform answered last"),
    counter(CONTROL_EVENTS, Unit::Count, "Events that the control thread took"),
    counter(CONTROL_BUSY, Unit::Microseconds, "Time that the control thread spent on events"),
    gauge(CONTROL_SLOWEST, Unit::Seconds, "The slowest control event of the last second"),
    gauge(CONTROL_QUEUE, Unit::Count, "Events that wait for the control thread"),
    gauge(RESIDENT, Unit::Bytes, "Resident memory of the process"),
    gauge(PROCESSOR, Unit::Seconds, "Processor time of the process since its start"),
];

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the process's recorder once and returns the handle that renders it.
pub fn install_recorder() -> &'static PrometheusHandle {
    RECORDER.get_or_init(|| {
        let seconds = Matcher::Suffix("_seconds".into());
        let builder = PrometheusBuilder::new()
            .set_buckets_for_metric(seconds, &FIRST_TOKEN_BUCKETS_S)
            .expect("the list of buckets is not empty");
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        // A second recorder is refused only if a test installed its own; ours is rendered anyway.
        let _ = metrics::set_global_recorder(recorder);
        METRICS.iter().for_each(describe);
        handle
    })
}

fn describe(metric: &Description) {
    match metric.kind {
        Kind::Counter => metrics::describe_counter!(metric.name, metric.unit, metric.help),
        Kind::Gauge => metrics::describe_gauge!(metric.name, metric.unit, metric.help),
        Kind::Histogram => metrics::describe_histogram!(metric.name, metric.unit, metric.help),
    }
}

/// Renders all metrics after a fresh look at the process itself.
pub fn render() -> String {
    let handle = install_recorder();
    let used = usage::of_process();
    metrics::gauge!(RESIDENT).set(used.resident_bytes as f64);
    metrics::gauge!(PROCESSOR).set(used.processor.as_secs_f64());
    handle.render()
}

/// Folds samples into histograms until the process ends, so that they take no memory unscraped.
pub async fn upkeep() {
    loop {
        actix_rt::time::sleep(UPKEEP_INTERVAL).await;
        install_recorder().run_upkeep();
    }
}
