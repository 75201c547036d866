//! Application of configurations, and periodic maintenance.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::Snapshot;
use cumintrail_types::Moment;

use super::Control;
use super::state::{StoreState, TargetState};
use crate::Actions;
use crate::membership::Liveness;
use crate::placement::Placer;
use crate::retry::RetryBudget;

const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

impl<P: Placer> Control<P> {
    pub(super) fn handle_configuration(
        &mut self,
        now: Moment,
        snapshot: Arc<Snapshot>,
        actions: &mut Actions,
    ) {
        let old = self.snapshot.as_ref().map(|s| s.position());
        if old.is_some_and(|old| snapshot.position() <= old) {
            return;
        }
        let known_targets = self.targets.len();
        while self.targets.len() < snapshot.targets.len() {
            let retry_budget = RetryBudget::for_target();
            self.targets.push(TargetState {
                next_probe: now,
                retry_budget,
                ..TargetState::default()
            });
        }
        while self.stores.len() < snapshot.stores.len() {
            self.stores.push(StoreState::default());
        }
        for (key, target) in snapshot.targets.iter() {
            if let Some(state) = self.targets.get_mut(key) {
                state.set_registry_version(now, target.version);
            }
        }
        self.record_cold_targets(now, &snapshot, known_targets);
        self.apply_announced_versions(now, &snapshot, old.is_none(), actions);
        self.managed_stores.apply_configuration(now, &snapshot);
        self.rank_stores(&snapshot);
        let used = snapshot.targets.iter().filter(|(_, t)| !t.retired);
        self.targets_by_address = used.map(|(key, target)| (target.address, key)).collect();
        self.record_gone_targets(now, &snapshot);
        self.stream_origins.apply_snapshot(now, &snapshot, self.snapshot.as_deref());
        self.shortage.apply_snapshot(&snapshot);
        self.snapshot = Some(snapshot);
        self.settle_streams(now);
        self.find_evacuated_domains();
        self.refresh_allowances(now);
        // Peers without a connection to the platform receive the generation in the next digest.
        if old.is_none_or(|(generation, _)| generation < self.generation()) {
            self.send_digest_soon(now);
        }
    }

    pub(super) fn tick(&mut self, now: Moment, actions: &mut Actions) {
        self.expire_calls(now, actions);
        self.abandon_late_calls(now, actions);
        self.recall_unsent_calls(now, actions);
        self.refuse_for_stop(now, actions);
        self.requeue_due(now, actions);
        self.start_platform_reads(now, actions);
        self.start_probes(now, actions);
        self.start_store_reads(now, actions);
        self.start_exports(now, actions);
        self.tick_rollout(now, actions);
        self.update_software_history(now, actions);
        self.free_unused_parts(now, actions);
        self.order_preloads(now, actions);
        self.check_reaches(now, actions);
        self.decide_quarantines(now, actions);
        self.report_limit_changes(actions);
        self.expire_evacuations(now, actions);
        self.report_shortages(now, actions);
        self.report_cold_changes(actions);
        self.send_digests(now, actions);
        self.expire_membership(now);
    }

    fn expire_membership(&mut self, now: Moment) {
        if self.next_expiry > now {
            return;
        }
        self.next_expiry = now + EXPIRY_INTERVAL;
        self.expire_limits(now);
        let (targets, target_at) = (&self.targets, &self.targets_by_address);
        self.membership.expire(now, self.resumed_at, |address| {
            let state = targets.get(*target_at.get(&address)?)?;
            (state.liveness == Liveness::Live).then(|| state.incarnation())
        });
    }
}
