//! Probes of targets: who sends them and what their results mean.

use std::net::SocketAddr;

use cumintrail_types::{Incarnation, Moment, TargetKey};
use rand::Rng;

use super::Control;
use super::state::TargetState;
use crate::membership::Liveness;
use crate::placement::Placer;
use crate::retry::Breaker;
use crate::{Action, Actions, TargetNews, TargetReport, VmEntry};

/// Probes missed in a row after which a target counts as silent.
const SILENT_AFTER_MISSES: u32 = 3;
/// How long an own answer outweighs another daemon's missed probe, in probe intervals: longer than
/// [`TargetState::probe_intervals`] can be.
const OWN_ANSWER_INTERVALS: u32 = 6;

impl<P: Placer> Control<P> {
    /// Probes the targets that fall to this daemon; the others are heard of from peers.
    pub(super) fn order_probes(&mut self, now: Moment, actions: &mut Actions) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        if self.has_registry
            || self.awaits_list()
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
            if probers.is_own(target.address, domain) {
                actions.push(Action::Probe(key));
            }
        }
    }

    /// Takes the report of an own probe.
    pub(super) fn take_report(&mut self, now: Moment, key: TargetKey, report: TargetReport) {
        let Some(address) = self.target_address(key) else {
            return;
        };
        self.note_own_answer(now, key);
        self.apply_report(now, key, address, report);
        if self.membership.observe(address, Some(report)) {
            self.hasten_digest(now);
        }
    }

    /// Takes an answer without a report, which shows only that the target is there.
    pub(super) fn take_answer(&mut self, now: Moment, key: TargetKey) {
        let Some(address) = self.target_address(key) else {
            return;
        };
        self.note_own_answer(now, key);
        if self.membership.observe(address, None) {
            self.hasten_digest(now);
        }
    }

    /// Takes a missed probe; a single one may be the network's fault.
    pub(super) fn take_target_silence(&mut self, now: Moment, key: TargetKey) {
        let Some(state) = self.targets.get_mut(key) else {
            return;
        };
        state.missed += 1;
        if state.missed < SILENT_AFTER_MISSES {
            return;
        }
        state.liveness = Liveness::Silent;
        let address = self.target_address(key);
        if address.is_some_and(|address| self.membership.observe_silence(address)) {
            self.hasten_digest(now);
        }
    }

    fn note_own_answer(&mut self, now: Moment, key: TargetKey) {
        if let Some(state) = self.targets.get_mut(key) {
            (state.liveness, state.missed, state.answered) = (Liveness::Live, 0, Some(now));
        }
    }

    /// Takes what a peer's probe found.
    pub(super) fn take_news(&mut self, now: Moment, news: &TargetNews) {
        let Some(key) = self.target_at.get(&news.address).copied() else {
            return;
        };
        let recent = self.identity.probe_interval * OWN_ANSWER_INTERVALS;
        let Some(state) = self.targets.get_mut(key) else {
            return;
        };
        if news.silent {
            // The other prober looks at once, so that a cut between two VMs is soon told apart.
            state.next_probe = now;
        }
        // An own answer shows more than another daemon's missed probe.
        let answers = state.answered.is_some_and(|at| now.since(at) < recent);
        if news.silent && !answers {
            state.liveness = Liveness::Silent;
        } else if !news.silent && state.missed < SILENT_AFTER_MISSES {
            state.liveness = Liveness::Live;
        }
        if let Some(report) = news.report.filter(|_| !answers) {
            self.apply_report(now, key, news.address, report);
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
            self.note_leaving(now, address, report.incarnation);
        }
        let Some(state) = self.targets.get_mut(key) else {
            return;
        };
        if state.report.is_some_and(|r| r.incarnation != report.incarnation) {
            self.directory.clear_engine_cache(key);
            state.breaker = Breaker::default();
        }
        state.take_load(now, report);
    }

    /// Marks a run as leaving for good and tells peers at once.
    pub(super) fn note_leaving(
        &mut self,
        now: Moment,
        address: SocketAddr,
        incarnation: Incarnation,
    ) {
        if self.membership.mark_leaving(now, address, incarnation) {
            self.hasten_digest(now);
        }
    }

    /// Marks a target's present run as leaving because an operator wants it.
    pub(super) fn drain_target(&mut self, now: Moment, key: TargetKey) {
        let incarnation = self.targets.get(key).map(TargetState::incarnation);
        if let Some((address, incarnation)) = self.target_address(key).zip(incarnation) {
            self.note_leaving(now, address, incarnation);
        }
    }

    pub(super) fn take_vm_list(&mut self, now: Moment, sequence: u64, vms: &[VmEntry]) {
        let (targets, target_at) = (&self.targets, &self.target_at);
        self.membership.take_list(now, sequence, vms, |address| {
            targets.get(*target_at.get(&address)?).map(TargetState::incarnation)
        });
        self.hasten_digest(now);
    }

    fn target_address(&self, key: TargetKey) -> Option<SocketAddr> {
        self.snapshot.as_ref()?.targets.get(key).map(|t| t.address)
    }
}
