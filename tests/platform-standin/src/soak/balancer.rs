//! The platform's balancer, which decides to which VMs callers connect.

use std::time::{Duration, Instant};

use crate::calls::Rotation;
use crate::deployment::{Deployment, Vm};

const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Consecutive failed checks after which a VM is taken out of rotation.
const FAILURE_THRESHOLD: u32 = 2;

/// Takes VMs out of rotation after [`FAILURE_THRESHOLD`] consecutive failed readiness
/// checks, as the platform's balancer does.
pub(super) struct Balancer {
    failed_checks: Vec<u32>,
    next_check: Instant,
}

impl Balancer {
    pub(super) fn new(vms: usize) -> Self {
        Self { failed_checks: vec![0; vms], next_check: Instant::now() }
    }

    pub(super) async fn check(&mut self, deployment: &Deployment, rotation: &Rotation) {
        if Instant::now() < self.next_check {
            return;
        }
        self.next_check = Instant::now() + CHECK_INTERVAL;
        let checks = deployment.vms.iter().map(Vm::is_ready);
        let ready = futures_util::future::join_all(checks).await;
        for (failed_checks, is_ready) in self.failed_checks.iter_mut().zip(ready) {
            *failed_checks = if is_ready { 0 } else { *failed_checks + 1 };
        }
        let vms = deployment.vms.iter().enumerate().zip(&self.failed_checks);
        let in_rotation = vms.filter(|(_, failed_checks)| **failed_checks < FAILURE_THRESHOLD);
        *rotation.borrow_mut() =
            in_rotation.map(|((index, vm), _)| (index, vm.caller_address)).collect();
    }
}
