//! The names of all metrics, and their recorder; docs/OPERATIONS.md is the reference.

use std::sync::OnceLock;
use std::time::Duration;

use metrics::Unit;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

use crate::usage;

/// Calls, by outcome: `answered` or a refusal code.
pub const CALLS: &str = "cumintrail_calls_total";
/// Calls without a complete response yet.
pub const CALLS_IN_FLIGHT: &str = "cumintrail_calls_in_flight";
/// Calls in flight that wait for a slot.
pub const CALLS_WAITING: &str = "cumintrail_calls_waiting";
/// Attempts of calls, not counting the first of each call.
pub const RETRIES: &str = "cumintrail_retries_total";
/// Calls sent to peers because this daemon reaches no target.
pub const DETOURS: &str = "cumintrail_detours_total";
/// Whether this daemon is partitioned from the targets of a model or service: one if it is.
pub const PARTITIONED: &str = "cumintrail_partitioned";
/// Whether this daemon reaches no target in a failure domain: one if it reaches none.
pub const UNREACHED_DOMAIN: &str = "cumintrail_unreached_domain";
/// Attempts that were ended before their response, by reason: `domain-unreached`,
/// `weights-replaced`, `target-withdrawn` or `content-quarantined`.
pub const ABANDONED_ATTEMPTS: &str = "cumintrail_abandoned_attempts_total";
/// Time from the announcement of a weight version to the first token of a call that begins on replaced
/// weights, in seconds.
pub const REPLACED_BEGIN_SECONDS: &str = "cumintrail_replaced_weights_begin_seconds";
/// Crashes of targets under calls of this daemon.
pub const TARGET_CRASHES: &str = "cumintrail_target_crashes_total";
/// Decisions about content under which targets crash, by outcome: `quarantined` or `lifted`.
pub const QUARANTINE_DECISIONS: &str = "cumintrail_quarantine_decisions_total";
/// Targets that named a limit of requests.
pub const LIMITED_TARGETS: &str = "cumintrail_limited_targets";
/// Cold targets, which are sent few requests.
pub const COLD_TARGETS: &str = "cumintrail_cold_targets";
/// Requests a second that this daemon may send to targets with a limit.
pub const LIMIT_ALLOWANCE: &str = "cumintrail_limit_allowance";
/// Calls that were refused because the limits of all their targets were used up.
pub const LIMIT_REFUSALS: &str = "cumintrail_limit_refusals_total";
/// Failure domains that the operator has evacuated.
pub const EVACUATED_DOMAINS: &str = "cumintrail_evacuated_domains";
/// Calls that were refused because all their targets are in evacuated failure domains.
pub const EVACUATION_REFUSALS: &str = "cumintrail_evacuation_refusals_total";
/// Calls that were refused because the regions to which they are restricted have no usable target.
pub const REGION_REFUSALS: &str = "cumintrail_region_refusals_total";
/// Calls that were held back because capacity was scarce and more urgent calls needed it.
pub const SHORTAGE_HELD: &str = "cumintrail_shortage_held_total";
/// Calls that were refused because capacity was scarce although a target was available.
pub const SHORTAGE_REFUSALS: &str = "cumintrail_shortage_refusals_total";
/// Attempts, by whether the target is in the own failure domain: `inside` or `outside`.
pub const DOMAIN_CALLS: &str = "cumintrail_domain_calls_total";
/// Bytes that this daemon holds for callers and peers.
pub const HELD_BYTES: &str = "cumintrail_held_bytes";
/// Connections of callers and peers, by port.
pub const HELD_CONNECTIONS: &str = "cumintrail_held_connections";
/// Connections that were closed or refused for what they hold, by reason.
pub const SHED_CONNECTIONS: &str = "cumintrail_shed_connections_total";
/// Time from arrival to the first token, in seconds.
pub const FIRST_TOKEN_SECONDS: &str = "cumintrail_first_token_seconds";
/// Time from the head of a relayed call to the end of its response, in seconds.
pub const RELAYED_CALL_SECONDS: &str = "cumintrail_relayed_call_seconds";
/// Responses of targets that belonged to another call.
pub const FOREIGN_RESPONSES: &str = "cumintrail_foreign_answers_total";
/// Log lines that were dropped because the queue of lines was full.
pub const DROPPED_LOG_LINES: &str = "cumintrail_dropped_log_lines_total";
/// Prompt tokens, by where their KV cache came from: `memory`, `store` or `computed`.
pub const PROMPT_TOKENS: &str = "cumintrail_prompt_tokens_total";
/// Bytes of blocks imported from stores.
pub const IMPORTED_BYTES: &str = "cumintrail_link_bytes_total";
/// Blocks to import, by the outcome of the import.
pub const IMPORTS: &str = "cumintrail_imports_total";
/// Blocks known to be stored.
pub const STORED_BLOCKS: &str = "cumintrail_kept_blocks";
/// Reads of the contents of stores, by kind: `summary`, `listing` or `changes`.
pub const STORE_READS: &str = "cumintrail_store_reads_total";
/// Streams that were resumed over a new connection.
pub const STREAM_RESUMES: &str = "cumintrail_stream_resumes_total";
/// Events that were dropped because they were late, repeated or of another call, by reason.
pub const DROPPED_EVENTS: &str = "cumintrail_dropped_events_total";
/// Recorded responses that were replayed under an idempotency key.
pub const REPLAYED_RESPONSES: &str = "cumintrail_replays_total";
/// Records of idempotency keys that were shrunk after they expired.
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
/// Bytes of digests sent to peers.
pub const PEER_BYTES: &str = "cumintrail_peer_bytes_total";
/// Bytes of control exchanges that this daemon initiated, in both directions, by kind of server.
pub const CONTROL_BYTES: &str = "cumintrail_control_bytes_total";
/// Failed exchanges with the platform.
pub const PLATFORM_ERRORS: &str = "cumintrail_platform_errors_total";
/// Whether the platform responded to the last exchange: 1 or 0.
pub const PLATFORM_REACHABLE: &str = "cumintrail_platform_reachable";
/// Time between two responses with the rows or changes of a table, by table.
pub const FEED_GAP_SECONDS: &str = "cumintrail_feed_gap_seconds";
/// Events that the control thread handled.
pub const CONTROL_EVENTS: &str = "cumintrail_control_events_total";
/// Time that the control thread spent on events, in microseconds.
pub const CONTROL_BUSY_MICROSECONDS: &str = "cumintrail_control_busy_microseconds_total";
/// The longest time spent on one event between two updates about a second apart, in seconds.
pub const CONTROL_SLOWEST_EVENT: &str = "cumintrail_control_slowest_event_seconds";
/// Messages that wait for the control thread.
pub const CONTROL_QUEUE_LENGTH: &str = "cumintrail_control_queue";
/// Resident memory of the process, in bytes.
pub const RESIDENT_BYTES: &str = "cumintrail_process_resident_bytes";
/// CPU time of the process since its start, in seconds.
pub const CPU_SECONDS: &str = "cumintrail_process_cpu_seconds";

const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(5);
const SECONDS_BUCKETS: [f64; 13] =
    [0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 1.9, 2.5, 5.0, 10.0, 30.0];

/// Describes how the value of a metric behaves, as in Prometheus.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricKind {
    /// A value that only increases.
    Counter,
    /// A current value, which may decrease.
    Gauge,
    /// Counts of values by buckets.
    Histogram,
}

/// Describes one metric.
#[derive(Debug, Clone, Copy)]
pub struct MetricDescription {
    /// The name under which the metric is exposed.
    pub name: &'static str,
    /// The type of the metric.
    pub kind: MetricKind,
    /// The unit of its values.
    pub unit: Unit,
    /// The name of its label, if it has one.
    pub label: Option<&'static str>,
    /// The help text.
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

/// Lists all metrics.
pub const METRICS: [MetricDescription; 53] = [
    counter(CALLS, Unit::Count, "Calls by outcome").with_label("outcome"),
    gauge(CALLS_IN_FLIGHT, Unit::Count, "Calls that are not answered yet"),
    gauge(CALLS_WAITING, Unit::Count, "Calls that wait for a slot"),
    counter(RETRIES, Unit::Count, "Attempts after the first of a call"),
    counter(DETOURS, Unit::Count, "Calls sent to peers because no target is reached"),
    gauge(PARTITIONED, Unit::Count, "Whether no target of a model or service is reached")
        .with_label("serves"),
    gauge(UNREACHED_DOMAIN, Unit::Count, "Whether no target in a failure domain is reached")
        .with_label("domain"),
    counter(ABANDONED_ATTEMPTS, Unit::Count, "Attempts that were ended before their response")
        .with_label("reason"),
    counter(TARGET_CRASHES, Unit::Count, "Crashes of targets under calls of this daemon"),
    counter(QUARANTINE_DECISIONS, Unit::Count, "Decisions about content under which targets crash")
        .with_label("outcome"),
    gauge(LIMITED_TARGETS, Unit::Count, "Targets that named a limit of requests"),
    gauge(COLD_TARGETS, Unit::Count, "Cold targets, which are sent few requests"),
    gauge(LIMIT_ALLOWANCE, Unit::Count, "Requests a second that limited targets may be sent"),
    counter(LIMIT_REFUSALS, Unit::Count, "Calls refused because of the limits of targets"),
    gauge(EVACUATED_DOMAINS, Unit::Count, "Evacuated failure domains"),
    counter(EVACUATION_REFUSALS, Unit::Count, "Calls refused because of evacuations"),
    counter(REGION_REFUSALS, Unit::Count, "Calls refused because of their allowed regions"),
    counter(SHORTAGE_HELD, Unit::Count, "Calls held back while capacity was scarce"),
    counter(SHORTAGE_REFUSALS, Unit::Count, "Calls refused because capacity was scarce"),
    counter(DOMAIN_CALLS, Unit::Count, "Attempts by the failure domain of their target")
        .with_label("to"),
    gauge(HELD_BYTES, Unit::Bytes, "Bytes held for callers and peers"),
    gauge(HELD_CONNECTIONS, Unit::Count, "Connections of callers and peers by port")
        .with_label("port"),
    counter(SHED_CONNECTIONS, Unit::Count, "Connections closed or refused for what they hold")
        .with_label("reason"),
    MetricDescription {
        name: FIRST_TOKEN_SECONDS,
        kind: MetricKind::Histogram,
        unit: Unit::Seconds,
        label: None,
        help: "Time from arrival to the first token",
    },
    MetricDescription {
        name: REPLACED_BEGIN_SECONDS,
        kind: MetricKind::Histogram,
        unit: Unit::Seconds,
        label: None,
        help: "Age of the newer version when a call begins on replaced weights",
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
    MetricDescription {
        name: FEED_GAP_SECONDS,
        kind: MetricKind::Histogram,
        unit: Unit::Seconds,
        label: Some("table"),
        help: "Time between two responses of the platform to the reads of a table",
    },
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

/// Installs the recorder of the process on the first call, and returns its handle.
pub fn install_recorder() -> &'static PrometheusHandle {
    RECORDER.get_or_init(|| {
        let seconds = Matcher::Suffix("_seconds".into());
        let builder = PrometheusBuilder::new()
            .set_buckets_for_metric(seconds, &SECONDS_BUCKETS)
            .expect("the list of buckets is not empty");
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        // This fails only if a test installed its own recorder; this one is rendered anyway.
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

/// Renders all metrics, with the current resource usage of the process.
pub fn render() -> String {
    let handle = install_recorder();
    let usage = usage::process_usage();
    metrics::gauge!(RESIDENT_BYTES).set(usage.resident_bytes as f64);
    metrics::gauge!(CPU_SECONDS).set(usage.cpu_time.as_secs_f64());
    handle.render()
}

/// Periodically folds samples into histograms until the process ends, so that samples do not
/// accumulate in memory when nothing scrapes the metrics.
pub async fn run_maintenance() {
    loop {
        actix_rt::time::sleep(MAINTENANCE_INTERVAL).await;
        install_recorder().run_upkeep();
    }
}
