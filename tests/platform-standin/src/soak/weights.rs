//! Announces weight versions in series while engines hold calls and orders, and checks on which
//! versions calls begin.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{Fault, Plan, Soak};
use crate::calls::CallRecord;
use crate::replica::{Execution, Stall};

/// The settings of the daemons in addition to the usual ones.
pub(super) const SETTINGS: &str = "bounds.version_ms=5000\n";
/// How long calls may begin on replaced weights, as [`SETTINGS`] state it.
const VERSION_BOUND: Duration = Duration::from_secs(5);
/// How long an engine may still hold a call after another one has received it.
const HANDOVER_TIME: Duration = Duration::from_millis(400);

/// Draws the faults around series of weight versions.
pub(super) struct WeightFaults {
    plan: Plan,
    rng: StdRng,
    next_version: Instant,
    /// Versions that are still to be announced in the current series.
    remaining: u32,
    next_stall: Instant,
    next_process_fault: Instant,
}

impl WeightFaults {
    pub(super) fn new(plan: &Plan, started_at: Instant) -> Self {
        let start = started_at + Duration::from_secs(1);
        Self {
            plan: *plan,
            rng: StdRng::seed_from_u64(plan.seed.rotate_left(48)),
            next_version: start,
            remaining: 0,
            next_stall: started_at,
            next_process_fault: start,
        }
    }

    /// Draws the faults that are due, with their durations; none without [`Plan::weights`].
    pub(super) fn draw_due(&mut self, now: Instant) -> Vec<(Fault, Duration)> {
        let mut due = Vec::new();
        if !self.plan.weights {
            return due;
        }
        let rng = &mut self.rng;
        let mut ms = |range| Duration::from_millis(rng.random_range(range));
        if now >= self.next_stall {
            self.next_stall = now + ms(500..2_500);
            let (max_wait, duration, delay) = (ms(200..2_900), ms(4_000..11_000), ms(300..5_000));
            let order_delay = self.rng.random::<bool>().then_some(delay);
            let engine = self.rng.random_range(0..self.plan.engines);
            due.push((Fault::StallEngine(engine, Stall { max_wait, order_delay }), duration));
        }
        let rng = &mut self.rng;
        let mut ms = |range| Duration::from_millis(rng.random_range(range));
        if now >= self.next_process_fault {
            self.next_process_fault = now + ms(1_500..6_000);
            let duration = ms(300..5_000);
            due.push((Fault::draw_of_process(&mut self.rng, &self.plan), duration));
        }
        if now >= self.next_version {
            self.remaining = match self.remaining {
                0 => self.rng.random_range(0..4),
                remaining => remaining - 1,
            };
            let pause = if self.remaining > 0 { 100..1_500 } else { 3_000..9_000 };
            self.next_version = now + Duration::from_millis(self.rng.random_range(pause));
            due.push((Fault::AnnounceWeights, Duration::ZERO));
        }
        due
    }
}

impl Soak {
    /// Checks that no call of a VM in touch begins on weights that were replaced too long before.
    pub(super) fn check_versions(&mut self, records: &[CallRecord]) {
        if !self.plan.weights {
            return;
        }
        let vms: HashMap<&str, usize> =
            records.iter().map(|record| (record.call_id.as_str(), record.vm)).collect();
        let announcements = self.injected.iter().filter(|i| i.fault == Fault::AnnounceWeights);
        // Each one announces the next version; replicas start on version 1.
        let announced_at: Vec<Instant> = announcements.map(|i| i.started_at).collect();
        for (call, executions) in self.deployment.execution_log.all() {
            let Some(vm) = vms.get(call.as_str()).copied() else { continue };
            self.check_handovers(&call, vm, &executions);
            for execution in executions.iter().filter(|execution| execution.version > 0) {
                let (version, begun_at) = (execution.version, execution.started_at);
                let Some(replaced_at) = announced_at.get(version as usize - 1) else { continue };
                let age = begun_at.saturating_duration_since(*replaced_at);
                if age > VERSION_BOUND
                    && self.was_in_touch_during(vm, execution.received_at, begun_at)
                {
                    let (by, replica) = (version + 1, &execution.replica_id);
                    let waited = begun_at.duration_since(execution.received_at).as_millis();
                    self.violations.push(format!(
                        "VERSION: {call} of VM {vm} began on version {version} at {replica}, {} ms \
                         after version {by} was acknowledged and {waited} ms after its arrival",
                        age.as_millis()
                    ));
                }
            }
        }
    }

    /// Checks that no engine begins a call after the VM has sent it to another engine.
    fn check_handovers(&mut self, call: &str, vm: usize, executions: &[Execution]) {
        for (first, next) in executions.iter().flat_map(|a| executions.iter().map(move |b| (a, b)))
        {
            let late = first.started_at.saturating_duration_since(next.received_at);
            if first.received_at < next.received_at
                && late > HANDOVER_TIME
                && self.was_in_touch_during(vm, first.received_at, first.started_at)
            {
                let (old, new) = (&first.replica_id, &next.replica_id);
                self.violations.push(format!(
                    "TWICE: {call} of VM {vm} began at {old} {} ms after its arrival at {new}",
                    late.as_millis()
                ));
            }
        }
    }
}
