//! Rollouts of weight versions: passes target states to the rollout and carries out its requests.

use std::time::Duration;

use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_types::{Incarnation, Moment, TargetKey, Tokens, WeightVersion};

use super::Control;
use crate::membership::Liveness;
use crate::placement::Placer;
use crate::rollout::{LoadPolicy, ORDER_TIMEOUT, RolloutRequest, TargetView};
use crate::{Action, Actions, RunningCalls, TargetReport};

/// Engines per load slot where a registry lists them; more concurrent loads slow each other down.
const TARGETS_PER_LOAD_SLOT: usize = 5;
/// How long an engine receives no new calls before it loads: most short responses end in this time.
const DRAIN_PERIOD: Duration = Duration::from_millis(600);
/// How long a load may stay unconfirmed before it is ordered again; loads take one to two seconds.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(3_500);
/// How long after an order with an unknown outcome it is sent again: the daemon has stopped waiting
/// for its response by then.
const RESEND_DELAY: Duration = ORDER_TIMEOUT;
const ROLLOUT_INTERVAL: Duration = Duration::from_millis(100);

impl<P: Placer> Control<P> {
    /// Compares declared with reported weight versions every [`ROLLOUT_INTERVAL`].
    pub(super) fn tick_rollout(&mut self, now: Moment, actions: &mut Actions) {
        if self.next_rollout > now {
            return;
        }
        self.next_rollout = now + ROLLOUT_INTERVAL;
        if self.stop_pending {
            let release = self.rollout.release_lease(now);
            return actions.extend(release.map(Action::Lease));
        }
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let targets: Vec<TargetView> = self.rollout_targets(now, &snapshot);
        let policy = if self.has_registry {
            LoadPolicy {
                slots: (targets.len() / TARGETS_PER_LOAD_SLOT).max(1),
                drain: DRAIN_PERIOD,
                confirm_timeout: CONFIRM_TIMEOUT,
                resend_delay: RESEND_DELAY,
                running: RunningCalls::Continue,
            }
        } else {
            LoadPolicy::with_slots(usize::from(snapshot.deployment.load_slots))
        };
        let rank = self.membership.lease_rank(self.identity.address);
        let has_unused = self.has_unused_parts(now);
        let requests = self.rollout.tick(now, &targets, policy, rank, has_unused);
        for request in requests {
            self.handle_rollout_request(now, request, actions);
        }
    }

    pub(super) fn handle_rollout_request(
        &mut self,
        now: Moment,
        request: RolloutRequest,
        actions: &mut Actions,
    ) {
        match request {
            RolloutRequest::Lease(request) => actions.push(Action::Lease(request)),
            RolloutRequest::Order(order) => actions.push(Action::Order(order)),
            RolloutRequest::Probe(target) => self.probe_loading_target(now, target, actions),
            RolloutRequest::Drain(target) => self.mark_loading(now, target),
        }
    }

    /// Marks a target that is about to load as loading, so that this daemon and its peers prefer
    /// other targets for new calls.
    fn mark_loading(&mut self, now: Moment, target: TargetKey) {
        let known = self.targets.get(target).and_then(|state| state.report);
        let version = self.version_of(target, WeightVersion(0));
        let unknown = TargetReport {
            incarnation: Incarnation(0),
            leaving: false,
            version,
            loading: true,
            running: 0,
            waiting: 0,
            prefill_backlog: Tokens(0),
        };
        let report = TargetReport { loading: true, version, ..known.unwrap_or(unknown) };
        self.handle_report(now, target, report);
    }

    /// Probes a target with a pending load at the probe interval, whichever daemons are assigned to
    /// probe it.
    fn probe_loading_target(&mut self, now: Moment, target: TargetKey, actions: &mut Actions) {
        let interval = self.identity.probe_interval;
        let Some(state) = self.targets.get_mut(target).filter(|s| s.next_load_probe <= now) else {
            return;
        };
        state.next_load_probe = now + interval;
        actions.push(Action::Probe(target));
    }

    fn rollout_targets(&self, now: Moment, snapshot: &Snapshot) -> Vec<TargetView> {
        let engines = snapshot.targets.iter().filter(|(_, t)| !t.retired);
        let view = engines.filter_map(|(key, target)| {
            let TargetKind::Engine(model) = target.kind else {
                return None;
            };
            let state = self.targets.get(key)?;
            Some(TargetView {
                key,
                model,
                declared: snapshot.models.get(model)?.version,
                reported: state.version(),
                // A lease holder that failed leaves no record of its loads, so the reports count.
                loading: state.is_loading(now),
                reported_at: state.version_with_time().map(|(_, at)| at),
                usable: state.liveness != Liveness::Silent
                    && state.quiet_until <= now
                    && !state.address_reused
                    && !target.leaving
                    && !self.is_leaving(key),
            })
        });
        view.collect()
    }
}
