//! Metrics of the control thread; their handles are looked up once.

use std::time::{Duration, Instant};

use cumintrail_control::{Counts, StateCounts};
use metrics::{Counter, Gauge};

use crate::metric;

const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// Accumulates the control thread's work between updates of the metrics, one second apart.
pub struct ControlMeter {
    events: Counter,
    busy: Counter,
    slowest: Gauge,
    queue: Gauge,
    pending_events: u64,
    pending_busy: Duration,
    pending_slowest: Duration,
    last_published: Instant,
}

impl ControlMeter {
    /// Starts measuring.
    pub fn start() -> Self {
        Self {
            events: metrics::counter!(metric::CONTROL_EVENTS),
            busy: metrics::counter!(metric::CONTROL_BUSY_MICROSECONDS),
            slowest: metrics::gauge!(metric::CONTROL_SLOWEST_EVENT),
            queue: metrics::gauge!(metric::CONTROL_QUEUE_LENGTH),
            pending_events: 0,
            pending_busy: Duration::ZERO,
            pending_slowest: Duration::ZERO,
            last_published: Instant::now(),
        }
    }

    /// Records an event whose handling began at `started`, and returns whether metrics are due.
    pub fn record_event(&mut self, started: Instant) -> bool {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(started);
        self.pending_events += 1;
        self.pending_busy += elapsed;
        self.pending_slowest = self.pending_slowest.max(elapsed);
        now.saturating_duration_since(self.last_published) >= PUBLISH_INTERVAL
    }

    /// Publishes the accumulated work, the queue length and the counts of the control state.
    pub fn publish(&mut self, queue: usize, counts: &Counts) {
        let whole_micros = self.pending_busy.as_micros() as u64;
        self.events.increment(std::mem::take(&mut self.pending_events));
        self.busy.increment(whole_micros);
        self.pending_busy -= Duration::from_micros(whole_micros);
        self.slowest.set(std::mem::take(&mut self.pending_slowest).as_secs_f64());
        self.queue.set(queue as f64);
        self.last_published = Instant::now();
        publish_state_counts(counts);
    }
}

fn publish_state_counts(counts: &Counts) {
    metrics::gauge!(metric::CALLS_IN_FLIGHT).set(counts.calls as f64);
    metrics::gauge!(metric::CALLS_WAITING).set(counts.waiting as f64);
    metrics::gauge!(metric::STORED_BLOCKS).set(counts.stored_blocks as f64);
    metrics::gauge!(metric::LIMITED_TARGETS).set(counts.limited_targets as f64);
    metrics::gauge!(metric::COLD_TARGETS).set(counts.cold_targets as f64);
    metrics::gauge!(metric::LIMIT_ALLOWANCE).set(counts.limit_allowance);
    metrics::counter!(metric::LIMIT_REFUSALS).absolute(counts.limit_refusals);
    metrics::gauge!(metric::EVACUATED_DOMAINS).set(counts.evacuated_domains as f64);
    metrics::counter!(metric::EVACUATION_REFUSALS).absolute(counts.evacuation_refusals);
    metrics::counter!(metric::REGION_REFUSALS).absolute(counts.region_refusals);
    metrics::counter!(metric::SHORTAGE_HELD).absolute(counts.shortage_held);
    metrics::counter!(metric::SHORTAGE_REFUSALS).absolute(counts.shortage_refusals);
    metrics::counter!(metric::DOMAIN_CALLS, "to" => "inside").absolute(counts.calls_inside);
    metrics::counter!(metric::DOMAIN_CALLS, "to" => "outside").absolute(counts.calls_outside);
    publish_counts_by_state(metric::TARGETS, &counts.targets);
    publish_counts_by_state(metric::STORES, &counts.stores);
    publish_counts_by_state(metric::PEERS, &counts.peers);
}

fn publish_counts_by_state(name: &'static str, states: &StateCounts) {
    for (state, count) in states.by_name() {
        metrics::gauge!(name, "state" => state).set(count as f64);
    }
}
