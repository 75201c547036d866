//! Rollouts of weight versions: what the control state tells the machine and orders for it.

use std::time::Duration;

use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_types::{Incarnation, Moment, TargetKey, Tokens, WeightVersion};

use super::Control;
use crate::membership::Liveness;
use crate::placement::Placer;
use crate::rollout::{ORDER_TIMEOUT, Pace, RolloutRequest, TargetView};
use crate::{Action, Actions, Running, TargetReport};

/// Engines of which one loads at a time where a registry lists them; more at once slow each other.
const TARGETS_PER_LOAD: usize = 5;
/// How long an engine gets no new calls before it loads: most short answers end within.
const DRAIN: Duration = Duration::from_millis(600);
/// How long an order may be unconfirmed before it is given again; loads take a second or two.
const CONFIRM_LIMIT: Duration = Duration::from_millis(3_500);
/// How long after an unanswered order it is given again: its answer is not awaited any longer.
const RESEND: Duration = ORDER_TIMEOUT;
const ROLLOUT_INTERVAL: Duration = Duration::from_millis(100);

impl<P: Placer> Control<P> {
    /// Compares declared with reported weight versions now and then.
    pub(super) fn order_rollout(&mut self, now: Moment, actions: &mut Actions) {
        if self.next_rollout > now {
            return;
        }
        self.next_rollout = now + ROLLOUT_INTERVAL;
        if self.handing_over {
            let release = self.rollout.hand_over(now);
            return actions.extend(release.map(Action::Lease));
        }
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let targets: Vec<TargetView> = self.rollout_view(now, &snapshot);
        let pace = if self.has_registry {
            Pace {
                slots: (targets.len() / TARGETS_PER_LOAD).max(1),
                drain: DRAIN,
                confirm: CONFIRM_LIMIT,
                resend: RESEND,
                running: Running::Continue,
            }
        } else {
            Pace::with_slots(usize::from(snapshot.deployment.load_slots))
        };
        let rank = self.membership.lease_rank(self.identity.address);
        let has_unused = self.has_unused_parts(now);
        let requests = self.rollout.tick(now, &targets, pace, rank, has_unused);
        for request in requests {
            self.follow_rollout(now, request, actions);
        }
    }

    pub(super) fn follow_rollout(
        &mut self,
        now: Moment,
        request: RolloutRequest,
        actions: &mut Actions,
    ) {
        match request {
            RolloutRequest::Lease(request) => actions.push(Action::Lease(request)),
            RolloutRequest::Order(order) => actions.push(Action::Order(order)),
            RolloutRequest::Probe(target) => self.probe_early(now, target, actions),
            RolloutRequest::Drain(target) => self.announce_load(now, target),
        }
    }

    /// Lets no new calls go to a target that is about to load, here and at peers.
    fn announce_load(&mut self, now: Moment, target: TargetKey) {
        let known = self.targets.get(target).and_then(|state| state.report);
        let version = self.version_of(target, WeightVersion(0));
        let idle = TargetReport {
            incarnation: Incarnation(0),
            leaving: false,
            version,
            loading: true,
            running: 0,
            waiting: 0,
            prefill_backlog: Tokens(0),
        };
        let report = TargetReport { loading: true, version, ..known.unwrap_or(idle) };
        self.handle_report(now, target, report);
    }

    /// Probes a target that loads, whoever probes it otherwise.
    fn probe_early(&mut self, now: Moment, target: TargetKey, actions: &mut Actions) {
        let interval = self.identity.probe_interval;
        let Some(state) = self.targets.get_mut(target).filter(|s| s.next_load_probe <= now) else {
            return;
        };
        state.next_load_probe = now + interval;
        actions.push(Action::Probe(target));
    }

    fn rollout_view(&self, now: Moment, snapshot: &Snapshot) -> Vec<TargetView> {
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
                // A holder that is gone cannot tell how its loads ended.
                loading: state.is_loading(now),
                reported_at: state.versioned().map(|(_, at)| at),
                usable: state.liveness != Liveness::Silent
                    && !state.gone
                    && !target.leaving
                    && !self.is_leaving(key),
            })
        });
        view.collect()
    }
}
