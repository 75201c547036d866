//! Cold targets: which are, this daemon's share of what they take, and their changes for logs.

use std::time::Duration;

use cumintrail_config::{ColdStart, Snapshot, Target, TargetKind};
use cumintrail_types::{Moment, TargetKey, Tokens};

use super::Control;
use super::digests::MAX_DAEMONS;
use crate::cold::{self, ColdChange};
use crate::placement::Placer;
use crate::target_limits::Senders;
use crate::{Action, Actions};

/// Describes this daemon's share of what a cold target takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ColdShare {
    /// The requests a second that this daemon may send.
    pub(super) share: f64,
    /// For how long the target stays cold.
    pub(super) left: Duration,
}

impl<P: Placer> Control<P> {
    /// Records until when the targets of a new snapshot are cold.
    ///
    /// Targets that are new at a daemon without traffic started with the deployment, and are warm
    /// unless their entries state otherwise.
    pub(super) fn record_cold_targets(
        &mut self,
        now: Moment,
        snapshot: &Snapshot,
        known_targets: usize,
    ) {
        let has_traffic = self.cold_tolerance.is_some() && self.limit_state.has_calls();
        for (index, (key, target)) in snapshot.targets.iter().enumerate() {
            let is_new = index >= known_targets && has_traffic && !target.retired;
            let cold_start = cold_start(snapshot, target.kind).filter(|_| is_new);
            let period = cold_start.map(|cold| cold.period);
            if let Some(state) = self.targets.get_mut(key) {
                state.is_cold &= !target.retired;
                state.cold_until =
                    cold::cold_until(now, state.cold_until, target.cold_until, period);
            }
        }
    }

    /// Returns the daemons among which the rate of cold targets is divided: all that are known,
    /// whether or not this daemon hears of them.
    pub(super) fn cold_senders(&self) -> Senders {
        let own = self.identity.address;
        let others = self.membership.peers().filter(|(address, _)| *address != own);
        // A daemon that just started may know few others, and must send nothing to cold targets.
        let daemons = if self.knows_daemons { self.daemon_count } else { MAX_DAEMONS };
        Senders {
            own,
            own_calls: 0.0,
            peers: others.map(|(address, _)| (address, None)).collect(),
            daemons,
        }
    }

    /// Returns this daemon's share of a target that is cold now.
    pub(super) fn cold_share(
        &self,
        now: Moment,
        snapshot: &Snapshot,
        target: &Target,
        key: TargetKey,
        senders: &Senders,
    ) -> Option<ColdShare> {
        let tolerance = self.cold_tolerance?;
        let rate = cold_start(snapshot, target.kind)?.rate;
        let until = self.targets.get(key)?.cold_until.filter(|until| *until > now)?;
        let division = tolerance.divide(rate);
        let part = senders.own_equal_part(target.address, division.senders);
        Some(ColdShare { share: division.per_second * part, left: until.since(now) })
    }

    /// Records whether a target is cold now, and notes a change for the log.
    pub(super) fn note_cold(&mut self, key: TargetKey, cold: Option<ColdShare>) {
        let target = self.target_hash(key);
        let Some(state) = self.targets.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut state.is_cold, cold.is_some()) != cold.is_some() {
            let share = cold.map_or(0.0, |cold| cold.share);
            let change = ColdChange { target, left: cold.map(|cold| cold.left), share };
            self.limit_state.cold_changes.push(change);
        }
    }

    /// Returns after what time a cold target is treated as a warm one; `None` for a warm one.
    pub(super) fn time_until_warm(&self, now: Moment, key: TargetKey) -> Option<Duration> {
        let state = self.targets.get(key).filter(|state| state.is_cold)?;
        // The allowances are updated in the next round of digests.
        Some(state.cold_until?.since(now) + self.identity.digest_interval)
    }

    /// Excludes cold targets while a warm one could begin a call at once.
    pub(super) fn prefer_warm(
        &self,
        now: Moment,
        snapshot: &Snapshot,
        usable: Vec<TargetKey>,
    ) -> Vec<TargetKey> {
        let is_cold = |key: &TargetKey| self.targets.get(*key).is_some_and(|state| state.is_cold);
        if !usable.iter().any(is_cold) {
            return usable;
        }
        let is_idle = |key: &TargetKey| {
            let found = self.targets.get(*key).zip(snapshot.targets.get(*key));
            found.is_some_and(|(state, target)| {
                let backlog = state.expected_backlog(now, target.prefill_tokens_per_second);
                state.calls() < target.slots && backlog == Tokens(0)
            })
        };
        let warm: Vec<TargetKey> = usable.iter().copied().filter(|key| !is_cold(key)).collect();
        if warm.iter().any(is_idle) { warm } else { usable }
    }

    /// Returns the number of cold targets.
    pub(super) fn cold_count(&self) -> usize {
        self.targets.iter().filter(|(_, state)| state.is_cold).count()
    }

    pub(super) fn report_cold_changes(&mut self, actions: &mut Actions) {
        let changes = std::mem::take(&mut self.limit_state.cold_changes);
        actions.extend(changes.into_iter().map(Action::ReportCold));
    }
}

/// Returns what the targets of a model or service take while they are cold.
fn cold_start(snapshot: &Snapshot, kind: TargetKind) -> Option<ColdStart> {
    match kind {
        TargetKind::Engine(model) => snapshot.models.get(model)?.cold_start,
        TargetKind::Service(service) => snapshot.services.get(service)?.cold_start,
    }
}
