//! Checks that replicas that named a limit got no more calls than it allows.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{SETTLE_TIME, Soak};
use crate::calls::CallRecord;

/// The period over which the calls that reach a replica are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Calls in a window beyond half as many again as the limit allows.
const EXTRA_CALLS: f64 = 5.0;
/// Time from a response with a limit until the VM that passed it on must keep the limit.
const NOTICE_TIME: Duration = Duration::from_millis(500);

/// One execution at a replica while it named a limit.
#[derive(Debug, Clone, Copy)]
struct LimitedExecution {
    vm: usize,
    started_at: Instant,
    limit: f64,
}

impl Soak {
    /// Checks the executions of each replica from [`SETTLE_TIME`] after it first named a limit, by
    /// VMs that had passed one on.
    pub(super) fn check_limits(&mut self, records: &[CallRecord]) {
        let vms: HashMap<&str, usize> =
            records.iter().map(|record| (record.call_id.as_str(), record.vm)).collect();
        let mut by_replica: HashMap<String, Vec<(usize, Instant, Option<f64>)>> = HashMap::new();
        for (call, executions) in self.deployment.execution_log.all() {
            let Some(vm) = vms.get(call.as_str()) else { continue };
            for execution in executions {
                let of_replica = by_replica.entry(execution.replica_id).or_default();
                of_replica.push((*vm, execution.started_at, execution.limit));
            }
        }
        for (replica, mut executions) in by_replica {
            executions.sort_by_key(|(_, started_at, _)| *started_at);
            // Responses without a limit in between end it.
            for run in executions.split(|(_, _, limit)| limit.is_none()) {
                let limited = run.iter().filter_map(|(vm, started_at, limit)| {
                    Some(LimitedExecution { vm: *vm, started_at: *started_at, limit: (*limit)? })
                });
                let limited: Vec<LimitedExecution> = limited.collect();
                if let Some((count, allowed)) = self.excess(&limited) {
                    self.violations.push(format!(
                        "LIMIT: {replica} executed {count} calls in 4 s, {allowed} allowed"
                    ));
                }
            }
        }
    }

    /// Returns the calls of the first window with too many of them, and the number allowed.
    fn excess(&self, limited: &[LimitedExecution]) -> Option<(usize, usize)> {
        let first = limited.first()?.started_at;
        let knew = |execution: &LimitedExecution| {
            limited.iter().any(|earlier| {
                earlier.vm == execution.vm
                    && earlier.started_at + NOTICE_TIME <= execution.started_at
            })
        };
        let judged = limited.iter().filter(|execution| {
            execution.started_at >= first + SETTLE_TIME
                && knew(execution)
                && self.was_in_touch(execution.vm, execution.started_at)
        });
        let judged: Vec<&LimitedExecution> = judged.collect();
        judged.iter().enumerate().find_map(|(at, start)| {
            let window = judged[at..].iter();
            let window = window.take_while(|e| e.started_at < start.started_at + WINDOW);
            let allowed = (start.limit * WINDOW.as_secs_f64()).mul_add(1.5, EXTRA_CALLS) as usize;
            let count = window.count();
            (count > allowed).then_some((count, allowed))
        })
    }
}
