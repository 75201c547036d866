//! Checks that content that crashes replicas stops reaching them.

use std::collections::HashMap;

use super::{SETTLE_TIME, Soak};
use crate::calls::CallRecord;
use crate::replica::{CrashingContent, Execution};

/// Replicas that may crash under one part before its calls must reach no further ones.
const MAX_CRASHES: usize = 5;
/// The same for one request.
const MAX_CRASHES_UNDER_REQUEST: usize = 3;
/// Calls with such content that may still be executed later than [`SETTLE_TIME`] after these crashes.
const MAX_LATE_CRASHING_CALLS: usize = 3;

impl Soak {
    /// Checks that calls with content that crashes replicas stop reaching them.
    pub(super) fn check_crashing_content(&mut self, records: &[CallRecord]) {
        let vms: HashMap<&str, usize> =
            records.iter().map(|record| (record.call_id.as_str(), record.vm)).collect();
        let mut by_content: HashMap<CrashingContent, Vec<(String, Execution)>> = HashMap::new();
        for (call, executions) in self.deployment.execution_log.all() {
            for execution in executions {
                if let Some(content) = execution.crashing_content.clone() {
                    by_content.entry(content).or_default().push((call.clone(), execution));
                }
            }
        }
        for (content, mut executions) in by_content {
            executions.sort_by_key(|(_, execution)| execution.started_at);
            let max_crashes = match content {
                CrashingContent::Part(_) => MAX_CRASHES,
                CrashingContent::Request(_) => MAX_CRASHES_UNDER_REQUEST,
            };
            let mut replicas: Vec<&str> = Vec::new();
            let mut last = None;
            for (_, execution) in &executions {
                if !replicas.contains(&execution.replica_id.as_str()) {
                    replicas.push(&execution.replica_id);
                    if replicas.len() == max_crashes {
                        last = Some(execution.started_at);
                    }
                }
            }
            let Some(last) = last else { continue };
            let late = executions.iter().filter(|(call, execution)| {
                let vm = vms.get(call.as_str()).copied();
                execution.started_at > last + SETTLE_TIME
                    && vm.is_some_and(|vm| self.was_in_touch(vm, execution.started_at))
            });
            let late = late.count();
            if late > MAX_LATE_CRASHING_CALLS {
                let crashed = replicas.len();
                self.violations.push(format!(
                    "BUDGET: {late} calls with {content:?} were executed late; {crashed} replicas crashed"
                ));
            }
        }
    }
}
