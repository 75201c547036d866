//! Configuration, membership and what is done as time passes.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::Snapshot;
use cumintrail_types::{Moment, TargetKey};
use rand::Rng;

use super::Control;
use super::state::{StoreState, TargetState};
use crate::membership::Liveness;
use crate::placement::Placer;
use crate::{Action, Actions, PeerDigest, TargetReport, VmEntry};

const LISTING_INTERVAL: Duration = Duration::from_secs(30);

impl<P: Placer> Control<P> {
    pub(super) fn take_configuration(
        &mut self,
        now: Moment,
        snapshot: Arc<Snapshot>,
        _actions: &mut Actions,
    ) {
        if snapshot.generation <= self.generation() && self.snapshot.is_some() {
            return;
        }
        while self.targets.len() < snapshot.targets.len() {
            self.targets.push(TargetState { next_probe: now, ..TargetState::default() });
        }
        while self.stores.len() < snapshot.stores.len() {
            self.stores.push(StoreState { next_listing: now, ..StoreState::default() });
        }
        self.snapshot = Some(snapshot);
    }

    pub(super) fn take_report(&mut self, now: Moment, key: TargetKey, report: TargetReport) {
        let declared = self.snapshot.as_ref().and_then(|s| s.targets.get(key));
        if let Some(target) = declared.filter(|_| report.leaving) {
            self.membership.mark_leaving(target.address, report.incarnation);
        }
        let Some(state) = self.targets.get_mut(key) else {
            return;
        };
        if state.report.is_some_and(|r| r.incarnation != report.incarnation) {
            self.directory.clear_engine(key);
            state.failures = 0;
        }
        state.liveness = Liveness::Live;
        state.take_load(now, report);
    }

    pub(super) fn take_target_silence(&mut self, _now: Moment, key: TargetKey) {
        if let Some(state) = self.targets.get_mut(key) {
            state.liveness = Liveness::Silent;
        }
    }

    pub(super) fn take_vm_list(&mut self, sequence: u64, vms: &[VmEntry]) {
        self.membership.take_list(sequence, vms);
    }

    pub(super) fn take_digest(&mut self, now: Moment, digest: &PeerDigest) {
        self.membership.take_digest(now, digest);
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        for (address, sealed, tier) in &digest.stored {
            let store = snapshot.stores.iter().find(|(_, s)| s.address == *address);
            if let Some((store, _)) = store {
                let kept = crate::directory::Kept { store, sealed: *sealed, tier: *tier };
                self.directory.add_kept(kept);
            }
        }
    }

    pub(super) fn tick(&mut self, now: Moment, actions: &mut Actions) {
        self.expire_calls(now, actions);
        self.order_probes(now, actions);
        self.order_listings(now, actions);
        self.order_digests(now, actions);
    }

    fn order_probes(&mut self, now: Moment, actions: &mut Actions) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let interval = self.identity.probe_interval;
        for (key, state) in self.targets.iter_mut() {
            let retired = snapshot.targets.get(key).is_none_or(|t| t.retired);
            if retired || state.next_probe > now {
                continue;
            }
            state.next_probe = now + interval.mul_f64(self.rng.random_range(0.9..1.1));
            actions.push(Action::Probe(key));
        }
    }

    fn order_listings(&mut self, now: Moment, actions: &mut Actions) {
        for (key, state) in self.stores.iter_mut() {
            if state.next_listing <= now {
                state.next_listing =
                    now + LISTING_INTERVAL.mul_f64(self.rng.random_range(0.9..1.1));
                actions.push(Action::ListStore(key));
            }
        }
    }

    fn order_digests(&mut self, now: Moment, actions: &mut Actions) {
        if self.next_digest > now {
            return;
        }
        self.next_digest = now + self.identity.digest_interval;
        let digest = PeerDigest {
            vm: self.identity.vm.clone(),
            domain: self.identity.domain.clone(),
            incarnation: self.identity.incarnation,
            address: Some(self.identity.address),
            generation: self.generation(),
            leaving: self.membership.leaving().collect(),
            stored: std::mem::take(&mut self.fresh_kept),
            wants: Vec::new(),
        };
        let own = self.identity.address;
        let peers = self.membership.peers().map(|(address, _)| address).filter(|a| *a != own);
        actions.extend(peers.map(|to| Action::SendDigest { to, digest: digest.clone() }));
    }
}
