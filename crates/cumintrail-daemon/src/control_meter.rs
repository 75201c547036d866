//! Measures the control thread with handles that are looked up once.

use std::time::{Duration, Instant};

use cumintrail_control::{Counts, StateCounts};
use metrics::{Counter, Gauge};

use crate::metric;

const INTERVAL: Duration = Duration::from_secs(1);

/// Adds up the control thread's work and publishes it once a second.
pub struct ControlMeter {
    events: Counter,
    busy: Counter,
    slowest: Gauge,
    queue: Gauge,
    pending_events: u64,
    pending_busy: Duration,
    pending_slowest: Duration,
    published: Instant,
}

impl ControlMeter {
    /// Starts measuring.
    pub fn start() -> Self {
        Self {
            events: metrics::counter!(metric::CONTROL_EVENTS),
            busy: metrics::counter!(metric::CONTROL_BUSY),
            slowest: metrics::gauge!(metric::CONTROL_SLOWEST),
            queue: metrics::gauge!(metric::CONTROL_QUEUE),
            pending_events: 0,
            pending_busy: Duration::ZERO,
            pending_slowest: Duration::ZERO,
            published: Instant::now(),
        }
    }

    /// Notes an event that was begun at `begun` and tells whether it is time to publish.
    pub fn note(&mut self, begun: Instant) -> bool {
        let now = Instant::now();
        let took = now.saturating_duration_since(begun);
        self.pending_events += 1;
        self.pending_busy += took;
        self.pending_slowest = self.pending_slowest.max(took);
        now.saturating_duration_since(self.published) >= INTERVAL
    }

    /// Publishes what was added up, the length of the queue, and the state's counts.
    pub fn publish(&mut self, queue: usize, counts: &Counts) {
        let whole_micros = self.pending_busy.as_micros() as u64;
        self.events.increment(std::mem::take(&mut self.pending_events));
        self.busy.increment(whole_micros);
        self.pending_busy -= Duration::from_micros(whole_micros);
        self.slowest.set(std::mem::take(&mut self.pending_slowest).as_secs_f64());
        self.queue.set(queue as f64);
        self.published = Instant::now();
        publish_counts(counts);
    }
}

fn publish_counts(counts: &Counts) {
    metrics::gauge!(metric::CALLS_IN_FLIGHT).set(counts.calls as f64);
    metrics::gauge!(metric::CALLS_WAITING).set(counts.waiting as f64);
    metrics::gauge!(metric::KEPT_BLOCKS).set(counts.stored_blocks as f64);
    publish_states(metric::TARGETS, &counts.targets);
    publish_states(metric::STORES, &counts.stores);
    publish_states(metric::PEERS, &counts.peers);
}

fn publish_states(name: &'static str, states: &StateCounts) {
    for (state, count) in states.by_name() {
        metrics::gauge!(name, "state" => state).set(count as f64);
    }
}
