//! Probes of targets: which daemon sends them and how their results are applied.

use std::net::SocketAddr;
use std::time::Duration;

use cumintrail_types::{Incarnation, Moment, TargetKey};
use rand::Rng;

use super::Control;
use super::state::{ReportSource, TargetState};
use crate::membership::Liveness;
use crate::parts::name_hash;
use crate::placement::Placer;
use crate::retry::CircuitBreaker;
use crate::{Action, Actions, TargetNotice, TargetReport, TargetUpdate, VmEntry};

/// Upper limit of the time for which a target can ask for no requests; a longer one is taken for an
/// error.
const MAX_QUIET_PERIOD: Duration = Duration::from_secs(600);
/// Consecutive missed probes after which a target counts as silent.
const SILENT_AFTER_MISSES: u32 = 3;
/// Probe intervals for which a response to an own probe outweighs updates from peers; more than
/// [`TargetState::probe_intervals`] can return.
const OWN_PROBE_PRECEDENCE_INTERVALS: u32 = 6;

impl<P: Placer> Control<P> {
    /// Probes the targets assigned to this daemon; peers send updates of the others.
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

    /// Handles the report of an own probe.
    pub(super) fn handle_report(&mut self, now: Moment, key: TargetKey, report: TargetReport) {
        let Some(address) = self.target_address(key) else {
            return;
        };
        self.record_probe_response(now, key);
        self.apply_report(now, key, address, report, ReportSource::Probe);
        if self.membership.record_probe(address, Some(report)) {
            self.send_digest_soon(now);
        }
    }

    /// Handles a response without a report, which shows only that the target is live.
    pub(super) fn handle_probe_response(&mut self, now: Moment, key: TargetKey) {
        let Some(address) = self.target_address(key) else {
            return;
        };
        self.record_probe_response(now, key);
        if self.membership.record_probe(address, None) {
            self.send_digest_soon(now);
        }
    }

    /// Handles a missed probe; a single one may be due to the network.
    pub(super) fn handle_missed_probe(&mut self, now: Moment, key: TargetKey) {
        let Some(state) = self.targets.get_mut(key) else {
            return;
        };
        state.missed_probes += 1;
        if state.missed_probes < SILENT_AFTER_MISSES {
            return;
        }
        state.liveness = Liveness::Silent;
        if !self.is_leaving(key) {
            self.record_gone_target(now, key);
        }
        let address = self.target_address(key);
        if address.is_some_and(|address| self.membership.record_silence(address)) {
            self.send_digest_soon(now);
        }
    }

    fn record_probe_response(&mut self, now: Moment, key: TargetKey) {
        if let Some(state) = self.targets.get_mut(key) {
            (state.liveness, state.missed_probes, state.last_response) =
                (Liveness::Live, 0, Some(now));
        }
    }

    /// Applies an update that a peer sent.
    pub(super) fn apply_target_update(&mut self, now: Moment, update: &TargetUpdate) {
        let Some(key) = self.targets_by_address.get(&update.address).copied() else {
            return;
        };
        let recent = self.identity.probe_interval * OWN_PROBE_PRECEDENCE_INTERVALS;
        let Some(state) = self.targets.get_mut(key) else {
            return;
        };
        if update.silent {
            // An assigned daemon probes at once, which soon shows whether the target failed or only
            // the link between the other prober and the target.
            state.next_probe = now;
        }
        // A recent response to an own probe is better evidence than another daemon's missed probe.
        let answered_lately = state.last_response.is_some_and(|at| now.since(at) < recent);
        if update.silent && !answered_lately {
            state.liveness = Liveness::Silent;
        } else if !update.silent && state.missed_probes < SILENT_AFTER_MISSES {
            state.liveness = Liveness::Live;
        }
        if let Some(mut report) = update.report.filter(|_| !answered_lately) {
            // An earlier process may have had the address; `announced_leaving` names the process.
            report.leaving &= !self.has_registry;
            // Without a registry, peers probe targets all the time and pass on what they find.
            let source =
                if self.has_registry { ReportSource::Relayed } else { ReportSource::Probe };
            self.apply_report(now, key, update.address, report, source);
        }
    }

    fn apply_report(
        &mut self,
        now: Moment,
        key: TargetKey,
        address: SocketAddr,
        report: TargetReport,
        source: ReportSource,
    ) {
        if report.leaving && self.has_registry {
            let notice = TargetNotice { leaving: true, quiet_for: None };
            self.handle_notice(now, key, notice);
        } else if report.leaving {
            self.mark_leaving(now, address, report.incarnation);
        }
        let Some(state) = self.targets.get_mut(key) else {
            return;
        };
        let is_replaced = state.report.is_some_and(|r| r.incarnation != report.incarnation);
        if is_replaced && !self.is_leaving(key) {
            self.record_gone_target(now, key);
        }
        let Some(state) = self.targets.get_mut(key) else {
            return;
        };
        if is_replaced {
            self.directory.clear_engine_cache(key);
            state.breaker = CircuitBreaker::default();
        }
        state.record_report(now, report, source);
    }

    /// Marks an incarnation as leaving; if the mark is new, peers are sent it soon.
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

    /// Handles a notice in a response of a target.
    ///
    /// A registry lists the incarnations of targets, so the mark belongs to one of them. Elsewhere
    /// it is added to those that reports cause.
    pub(super) fn handle_notice(&mut self, now: Moment, key: TargetKey, notice: TargetNotice) {
        let Some(state) = self.targets.get_mut(key) else {
            return;
        };
        if let Some(quiet) = notice.quiet_for {
            state.quiet_until = state.quiet_until.max(now + quiet.min(MAX_QUIET_PERIOD));
        }
        if !notice.leaving {
            return;
        }
        if !self.has_registry {
            self.drain_target(now, key);
        } else if !std::mem::replace(&mut state.announced_leaving, true) {
            self.send_digest_soon(now);
        }
    }

    /// Returns the hashed names of targets that announced that they are leaving.
    pub(super) fn announced_leaving(&self) -> Vec<u64> {
        let snapshot = self.snapshot.iter().filter(|_| self.has_registry);
        let targets = snapshot.flat_map(|s| s.targets.iter()).filter(|(_, t)| !t.retired);
        let leaving = targets
            .filter(|(key, _)| self.targets.get(*key).is_some_and(|state| state.announced_leaving));
        leaving.map(|(_, target)| name_hash(&target.name)).collect()
    }

    /// Marks targets as leaving that announced it to a peer.
    pub(super) fn record_announced_leaving(&mut self, hashes: &[u64]) {
        let Some(snapshot) = self.snapshot.clone().filter(|_| self.has_registry) else {
            return;
        };
        for (key, target) in snapshot.targets.iter().filter(|(_, t)| !t.retired) {
            if hashes.contains(&name_hash(&target.name))
                && let Some(state) = self.targets.get_mut(key)
            {
                state.announced_leaving = true;
            }
        }
    }

    /// Marks a target's present incarnation as leaving at an operator's request.
    pub(super) fn drain_target(&mut self, now: Moment, key: TargetKey) {
        let incarnation = self.targets.get(key).map(TargetState::incarnation);
        if let Some((address, incarnation)) = self.target_address(key).zip(incarnation) {
            self.mark_leaving(now, address, incarnation);
        }
    }

    pub(super) fn handle_vm_list(&mut self, now: Moment, sequence: u64, vms: &[VmEntry]) {
        let (targets, target_at) = (&self.targets, &self.targets_by_address);
        self.membership.apply_vm_list(now, sequence, vms, |address| {
            targets.get(*target_at.get(&address)?).map(TargetState::incarnation)
        });
        self.send_digest_soon(now);
    }

    fn target_address(&self, key: TargetKey) -> Option<SocketAddr> {
        self.snapshot.as_ref()?.targets.get(key).map(|t| t.address)
    }
}
