//! Suspicion of content under which targets crash, and refusal of calls with it.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_types::{AccountKey, CallKey, Moment, Refusal, RefusalCode, TargetKey};

use super::Control;
use crate::parts::name_hash;
use crate::placement::Placer;
use crate::quarantine::{BrokenCall, CallContent, ContentKey, QuarantineReport};
use crate::{Action, Actions, Arrival, Call, PeerDigest, ResponseEnd};

/// Rounds of digests that contain an own record, so that a lost one does no harm.
const OWN_REPORT_ROUNDS: u32 = 2;
/// Rounds in which a daemon passes on a record of a peer, where a round reaches only some daemons.
const RELAY_ROUNDS: u32 = 2;
/// Rounds of digests after which the records of a crash have reached most daemons.
const SETTLE_ROUNDS_IF_SAMPLED: u32 = 2;

impl<P: Placer> Control<P> {
    /// Returns the refusal of a call whose content is in quarantine.
    pub(super) fn check_quarantine(&self, now: Moment, arrival: &Arrival) -> Result<(), Refusal> {
        let content = &arrival.options.content;
        if content.is_empty() || self.quarantine.is_empty() {
            return Ok(());
        }
        if !self.quarantine.refuses(now, self.account_hash(arrival.account), content) {
            return Ok(());
        }
        Err(Refusal::not_run(RefusalCode::Quarantined))
    }

    /// Returns the refusal of a waiting call whose content is in quarantine by now.
    pub(super) fn check_waiting(&self, now: Moment, call: &Call) -> Result<(), Refusal> {
        let refused = self.check_quarantine(now, &call.arrival);
        refused.map_err(|refusal| Refusal { ran: call.ran(), ..refusal })
    }

    pub(super) fn handle_response_end(&mut self, now: Moment, key: CallKey, end: ResponseEnd) {
        let rounds = self.own_report_rounds();
        let Some(call) = self.calls.get_mut(&key) else { return };
        if end == ResponseEnd::Inconclusive {
            call.arrival.options.content = CallContent::default();
            return;
        }
        let Some(target) = call.target().filter(|_| !call.arrival.options.content.is_empty())
        else {
            return;
        };
        let (content, sent) = (call.arrival.options.content.clone(), call.dispatched);
        let (account, kind) = (call.arrival.account, call.arrival.kind);
        let (account, pool) = (self.account_hash(account), self.pool_hash(kind));
        let call = self.identity.incarnation.0.rotate_left(32) ^ key.0;
        let broken = BrokenCall { content, call, pool, account, sent, broken: now };
        let target = (target, self.target_hash(target));
        self.quarantine.record_broken(now, target, broken, rounds);
    }

    /// Records that a target does not accept connections any more.
    pub(super) fn record_unreachable_target(&mut self, now: Moment, target: TargetKey) {
        if !self.is_leaving(target) {
            let (hash, rounds) = (self.target_hash(target), self.own_report_rounds());
            self.quarantine.record_unreachable(now, target, hash, rounds);
        }
    }

    /// Records that a target is gone, or that its process was replaced.
    pub(super) fn record_gone_target(&mut self, now: Moment, target: TargetKey) {
        let (hash, rounds) = (self.target_hash(target), self.own_report_rounds());
        self.quarantine.record_gone(now, target, hash, rounds);
    }

    /// Records the targets that a snapshot which comes into force lists no more.
    pub(super) fn record_gone_targets(&mut self, now: Moment, next: &Snapshot) {
        let doubtful: Vec<TargetKey> = self.quarantine.doubtful_targets().collect();
        for target in doubtful {
            match next.targets.get(target) {
                Some(listed) if !listed.retired => {}
                _ if self.is_leaving(target) => self.quarantine.forget_target(target),
                _ => self.record_gone_target(now, target),
            }
        }
    }

    pub(super) fn record_complete_content(
        &mut self,
        now: Moment,
        kind: TargetKind,
        content: &CallContent,
    ) {
        if content.is_empty() {
            return;
        }
        let (pool, rounds) = (self.pool_hash(kind), self.own_report_rounds());
        if self.quarantine.record_complete(now, pool, content, rounds) {
            self.send_digest_soon(now);
        }
    }

    /// Lifts the quarantine of content on all daemons.
    pub(super) fn lift_quarantine(&mut self, now: Moment, content: ContentKey) {
        let rounds = self.own_report_rounds();
        self.quarantine.lift(now, content, rounds);
        self.send_digest_soon(now);
    }

    pub(super) fn decide_quarantines(&mut self, now: Moment, actions: &mut Actions) {
        let (settle_time, snapshot) = (self.settle_time(), self.snapshot.clone());
        let target_count = |pool| snapshot.as_deref().map_or(0, |s| target_count(s, pool));
        let is_new = self.quarantine.decide(now, settle_time, target_count);
        if is_new || self.quarantine.is_report_urgent() {
            self.send_digest_soon(now);
        }
        actions.extend(self.quarantine.take_changes().into_iter().map(Action::ReportQuarantine));
    }

    pub(super) fn take_quarantine_report(&mut self, now: Moment) -> QuarantineReport {
        self.quarantine.take_reports(now)
    }

    pub(super) fn record_quarantine_report(&mut self, now: Moment, digest: &PeerDigest) {
        let is_sampled = !self.membership.is_full_mesh(self.identity.address);
        let rounds = if is_sampled { RELAY_ROUNDS } else { 0 };
        if self.quarantine.apply_report(now, digest.address, &digest.quarantine, rounds) {
            self.send_digest_soon(now);
        }
    }

    /// Returns the time within which the records of all daemons about a crash arrive here.
    fn settle_time(&self) -> Duration {
        let own = self.identity.address;
        match self.membership.peers().filter(|(address, _)| *address != own).count() {
            0 => Duration::ZERO,
            _ if self.membership.is_full_mesh(own) => self.identity.digest_interval,
            _ => self.identity.digest_interval * SETTLE_ROUNDS_IF_SAMPLED,
        }
    }

    /// Returns the rounds of digests that contain an own record; none without peers.
    fn own_report_rounds(&self) -> u32 {
        let own = self.identity.address;
        let has_peers = self.membership.peers().any(|(address, _)| address != own);
        if has_peers { OWN_REPORT_ROUNDS } else { 0 }
    }

    pub(super) fn pool_hash(&self, kind: TargetKind) -> u64 {
        self.pool_name(kind).map_or(0, |name| name_hash(name))
    }

    pub(super) fn pool_name(&self, kind: TargetKind) -> Option<&Arc<str>> {
        let snapshot = self.snapshot.as_ref()?;
        match kind {
            TargetKind::Engine(model) => snapshot.models.get(model).map(|m| &m.name),
            TargetKind::Service(service) => snapshot.services.get(service).map(|s| &s.name),
        }
    }

    fn account_hash(&self, account: AccountKey) -> u64 {
        let declared = self.snapshot.as_ref().and_then(|s| s.accounts.get(account));
        declared.map_or(0, |account| name_hash(&account.name))
    }

    pub(super) fn target_hash(&self, target: TargetKey) -> u64 {
        let declared = self.snapshot.as_ref().and_then(|s| s.targets.get(target));
        let incarnation =
            self.targets.get(target).map_or(0, |state| state.incarnation().0).rotate_left(17);
        declared.map_or(0, |target| name_hash(&target.name)) ^ incarnation
    }
}

/// Returns the number of targets of the model or service whose name has a hash.
fn target_count(snapshot: &Snapshot, pool: u64) -> usize {
    let is_in_pool = |kind: TargetKind| {
        let name = match kind {
            TargetKind::Engine(model) => snapshot.models.get(model).map(|m| &m.name),
            TargetKind::Service(service) => snapshot.services.get(service).map(|s| &s.name),
        };
        name.is_some_and(|name| name_hash(name) == pool)
    };
    let listed = snapshot.targets.iter().filter(|(_, target)| !target.retired);
    listed.filter(|(_, target)| is_in_pool(target.kind)).count()
}
