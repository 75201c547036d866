//! Checks what works again once all faults have ended.

use std::time::{Duration, Instant};

use actix_rt::time::sleep;

use super::balancer::Balancer;
use super::{Fault, STOP_TIMEOUT, Soak, TICK_INTERVAL};
use crate::calls::{CallKind, CallLog, CallRecord, Caller, Rotation};

/// Time from the write of a configuration until it must be in force on all VMs.
const APPLY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time from the end of the last fault until calls must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Time from the end of the last fault until all engines must have the announced weights.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(12);
/// Minimum time over which the fraction of served calls is measured after the faults.
const MEASUREMENT_PERIOD: Duration = Duration::from_secs(3);
/// Fraction of calls that must be served in the measurement period.
const MIN_SERVED_FRACTION: f64 = 0.9;

impl Soak {
    /// Ends all faults and checks that configuration changes, calls and weights recover within
    /// their time bounds.
    pub(super) async fn check_recovery(
        &mut self,
        rotation: &Rotation,
        call_log: &CallLog,
    ) -> std::io::Result<()> {
        let mut balancer = Balancer::new(self.plan.vms);
        while self.injected.iter().any(|injected| !injected.has_ended) {
            let is_stopping = self.injected.iter().any(|injected| {
                !injected.has_ended
                    && matches!(injected.fault, Fault::StopVm(_) | Fault::DrainReplica(_))
            });
            let now = if is_stopping { Instant::now() } else { Instant::now() + STOP_TIMEOUT };
            self.end_due_faults(now).await?;
            self.kill_crashed_replicas().await?;
            balancer.check(&self.deployment, rotation).await;
            sleep(TICK_INTERVAL).await;
        }
        let faults_ended_at = Instant::now();
        let revoked = "key-that-is-revoked-at-the-end";
        self.deployment.declarations.extra_keys = vec![revoked.into()];
        self.deployment.publish_declarations();
        while faults_ended_at.elapsed() < RECOVERY_TIME {
            self.kill_crashed_replicas().await?;
            self.end_due_faults(Instant::now()).await?;
            balancer.check(&self.deployment, rotation).await;
            sleep(TICK_INTERVAL).await;
        }
        self.expect_status_everywhere(revoked, "/read/", 200).await;
        self.deployment.declarations.extra_keys.clear();
        self.deployment.declarations.extra_prefixes.push("/added/".into());
        self.deployment.publish_declarations();
        let measured_from = Instant::now();
        sleep(APPLY_TIMEOUT).await;
        self.expect_status_everywhere(revoked, "/read/", 401).await;
        self.expect_status_everywhere(crate::deployment::API_KEY, "/added/", 200).await;
        sleep(MEASUREMENT_PERIOD.saturating_sub(measured_from.elapsed())).await;
        let served: Vec<bool> = {
            let call_log = call_log.borrow();
            call_log
                .iter()
                .filter(|record| record.sent_at >= measured_from)
                .map(CallRecord::is_served)
                .collect()
        };
        let share =
            served.iter().filter(|served| **served).count() as f64 / served.len().max(1) as f64;
        if share < MIN_SERVED_FRACTION {
            let (total, share) = (served.len(), share * 100.0);
            self.violations
                .push(format!("RECOVER: only {share:.0} percent of {total} calls were served"));
        }
        while faults_ended_at.elapsed() < WEIGHTS_TIMEOUT && !self.outdated_engines().is_empty() {
            sleep(TICK_INTERVAL).await;
        }
        for (replica, version) in self.outdated_engines() {
            let expected = self.deployment.declarations.weight_version;
            self.violations
                .push(format!("VERSION: {replica} has weights {version}, not {expected}"));
        }
        Ok(())
    }

    /// Returns the engines that do not have the announced weights, with the version that they have.
    fn outdated_engines(&self) -> Vec<(String, u64)> {
        let expected = self.deployment.declarations.weight_version;
        let engines = self.deployment.endpoints.iter().map(|endpoint| &endpoint.replica);
        let outdated = engines.filter(|r| r.spec().weight_version > 0 && r.version() != expected);
        outdated.map(|r| (r.spec().id.clone(), r.version())).collect()
    }

    /// Sends a call to each daemon and records a violation for each status other than `status`.
    async fn expect_status_everywhere(&mut self, key: &str, path: &'static str, status: u16) {
        for (index, vm) in self.deployment.vms.iter().enumerate() {
            let id =
                format!("{:x}-expect-{index}-{status}{}", self.plan.seed, path.replace('/', "-"));
            let received = match Caller::connect(index, vm.caller_address).await {
                Ok(mut caller) => caller.call(CallKind::Read, path, id, key).await.0.status,
                Err(_) => 0,
            };
            if received != status {
                let violation = format!(
                    "CONFIG: VM {index} responds to {path} with {received}, not {status}, \
                     after a change"
                );
                self.violations.push(violation);
            }
        }
    }
}
