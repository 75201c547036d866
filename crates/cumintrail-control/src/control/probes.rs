//! Probes of targets: who sends them and what their results mean.

use std::net::SocketAddr;

use cumintrail_types::{Incarnation, Moment, TargetKey};
use rand::Rng;

use super::Control;
use super::state::TargetState;
use crate::membership::Liveness;
use crate::placement::Placer;
use crate::retry::CircuitBreaker;
use crate::{Action, Actions, TargetReport, TargetUpdate, VmEntry};

/// Probes missed in a row after which a target counts as silent.
const SILENT_AFTER_MISSES: u32 = 3;
/// How long an own answer outweighs another daemon's missed probe, in probe intervals: longer than
/// [`TargetState::probe_intervals`] can be.
const OWN_PROBE_PRECEDENCE_INTERVALS: u32 = 6;

impl<P: Placer> Control<P> {
    /// Probes the targets that fall to this daemon; the others are heard of from peers.
    pub(super) fn start_probes(&mut self, now: Moment, actions: &mut Actions) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        if self.has_registry
            || self.awaits_vm_list()
            || self.targets.iter().all(|(_, state)| state.next_probe > now)
        {
            return;
        }
        let probers = self.membership.probers(self.identity.address, &self.identity.domain);
        let interval = self.identity.probe_interval;
        for (key, state) in self.targets.iter_mut() {
            let Some(target) = snapshot.targets.get(key).filter(|t| !t.retired) else {
                continue;
            };
            if state.next_probe > now {
                continue;
            }
            let wait = interval * state.probe_intervals();
            state.next_probe = now + wait.mul_f64(self.rng.random_range(0.9..1.1));
            let domain = snapshot.domains.get(target.domain).map_or("", |d| d);
            if probers.is_assigned(target.address, domain) {
                actions.push(Action::Probe(key));
            }
        }
    }

    /// Takes the report of an own probe.
    pub(super) fn handle_report(&mut self, now: Moment, key: TargetKey, report: TargetReport) {
        let Some(address) = self.target_address(key) else {
            return;
        };
        self.record_probe_response(now, key);
        self.apply_report(now, key, address, report);
        if self.membership.record_probe(address, Some(report)) {
            self.send_digest_soon(now);
        }
    }

    /// Takes an answer without a report, which shows only that the target is there.
    pub(super) fn handle_probe_response(&mut self, now: Moment, key: TargetKey) {
        let Some(address) = self.target_address(key) else {
            return;
        };
        self.record_probe_response(now, key);
        if self.membership.record_probe(address, None) {
            self.send_digest_soon(now);
        }
    }

    /// Takes a missed probe; a single one may be the network's fault.
    pub(super) fn handle_missed_probe(&mut self, now: Moment, key: TargetKey) {
        let Some(state) = self.targets.get_mut(key) else {
            return;
        };
        state.missed += 1;
        if state.missed < SILENT_AFTER_MISSES {
            return;
        }
        state.liveness = Liveness::Silent;
        let address = self.target_address(key);
        if address.is_some_and(|address| self.membership.record_silence(address)) {
            self.send_digest_soon(now);
        }
    }

    fn record_probe_response(&mut self, now: Moment, key: TargetKey) {
        if let Some(state) = self.targets.get_mut(key) {
            (state.liveness, state.missed, state.answered) = (Liveness::Live, 0, Some(now));
        }
    }

    /// Takes what a peer's probe found.
    pub(super) fn apply_target_update(&mut self, now: Moment, update: &TargetUpdate) {
        let Some(key) = self.target_at.get(&update.address).copied() else {
            return;
        };
        let recent = self.identity.probe_interval * OWN_PROBE_PRECEDENCE_INTERVALS;
        let Some(state) = self.targets.get_mut(key) else {
            return;
        };
        if update.silent {
            // The other prober looks at once, so that a cut between two VMs is soon told apart.
            state.next_probe = now;
        }
        // An own answer shows more than another daemon's missed probe.
        let answered_lately = state.answered.is_some_and(|at| now.since(at) < recent);
        if update.silent && !answered_lately {
            state.liveness = Liveness::Silent;
        } else if !update.silent && state.missed < SILENT_AFTER_MISSES {
            state.liveness = Liveness::Live;
        }
        if let Some(report) = update.report.filter(|_| !answered_lately) {
            self.apply_report(now, key, update.address, report);
        }
    }

    fn apply_report(
        &mut self,
        now: Moment,
        key: TargetKey,
        address: SocketAddr,
        report: TargetReport,
    ) {
        if report.leaving {
            self.mark_leaving(now, address, report.incarnation);
        }
        let Some(state) = self.targets.get_mut(key) else {
            return;
        };
        if state.report.is_some_and(|r| r.incarnation != report.incarnation) {
            self.directory.clear_engine_cache(key);
            state.breaker = CircuitBreaker::default();
        }
        state.take_load(now, report);
    }

    /// Marks a run as leaving for good and tells peers at once.
    pub(super) fn mark_leaving(
        &mut self,
        now: Moment,
        address: SocketAddr,
        incarnation: Incarnation,
    ) {
        if self.membership.mark_leaving(now, address, incarnation) {
            self.send_digest_soon(now);
        }
    }

    /// Marks a target's present run as leaving because an operator wants it.
    pub(super) fn drain_target(&mut self, now: Moment, key: TargetKey) {
        let incarnation = self.targets.get(key).map(TargetState::incarnation);
        if let Some((address, incarnation)) = self.target_address(key).zip(incarnation) {
            self.mark_leaving(now, address, incarnation);
        }
    }

    pub(super) fn handle_vm_list(&mut self, now: Moment, sequence: u64, vms: &[VmEntry]) {
        let (targets, target_at) = (&self.targets, &self.target_at);
        self.membership.apply_vm_list(now, sequence, vms, |address| {
            targets.get(*target_at.get(&address)?).map(TargetState::incarnation)
        });
        self.send_digest_soon(now);
    }

    fn target_address(&self, key: TargetKey) -> Option<SocketAddr> {
        self.snapshot.as_ref()?.targets.get(key).map(|t| t.address)
    }
}
