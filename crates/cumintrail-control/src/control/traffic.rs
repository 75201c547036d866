//! Calls from their arrival to their answer.

use std::time::Duration;

use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_types::{
    AttemptNumber, CallKey, Moment, Ran, Refusal, RefusalCode, TargetKey, Tokens, WeightVersion,
};

use super::Control;
use crate::membership::Liveness;
use crate::placement::{self, Candidate, Context, Placement};
use crate::{
    Action, Actions, Arrival, AttemptOutcome, Call, Dispatch, Phase, Usage, keeping, retry,
};

const RETRY_AFTER: Duration = Duration::from_secs(1);
const EJECT_AFTER_FAILURES: u32 = 3;
const EJECT_BASE: Duration = Duration::from_secs(1);
const EJECT_DOUBLINGS: u32 = 5;

impl Control {
    pub(super) fn take_arrival(&mut self, now: Moment, arrival: Arrival, actions: &mut Actions) {
        let call = arrival.call;
        match self.admit(now, &arrival) {
            Ok(weight) => {
                self.admission
                    .enqueue(arrival.kind, arrival.account, weight, call);
                self.calls.insert(call, Call::new(arrival, now));
                self.retries.deposit();
            }
            Err(refusal) => actions.push(Action::Refuse { call, refusal }),
        }
    }

    fn admit(&mut self, now: Moment, arrival: &Arrival) -> Result<u32, Refusal> {
        let Some(snapshot) = &self.snapshot else {
            return Err(Refusal::not_run(RefusalCode::NotConfigured).retry_after(RETRY_AFTER));
        };
        let Some(account) = snapshot
            .accounts
            .get(arrival.account)
            .filter(|a| !a.retired)
        else {
            return Err(Refusal::not_run(RefusalCode::Unauthorized));
        };
        if self.stopping {
            return Err(Refusal::not_run(RefusalCode::Stopping).retry_after(RETRY_AFTER));
        }
        if self.admission.waiting() >= snapshot.preset.queue.max(1) {
            return Err(Refusal::not_run(RefusalCode::Overloaded).retry_after(RETRY_AFTER));
        }
        let tokens = (arrival.prompt + arrival.max_answer).0;
        self.admission
            .admit(now, arrival.account, account, tokens)?;
        Ok(account.weight)
    }

    pub(super) fn dispatch_waiting(&mut self, now: Moment, actions: &mut Actions) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let kinds: Vec<TargetKind> = self.admission.kinds().collect();
        for kind in kinds {
            while let Some(key) = self.admission.peek(kind) {
                match self.place(now, &snapshot, key) {
                    Ok(Some(placement)) => {
                        self.admission.pop(kind);
                        self.dispatch(now, key, placement, actions);
                    }
                    Ok(None) => break,
                    Err(refusal) => {
                        self.admission.pop(kind);
                        self.end_call(key);
                        actions.push(Action::Refuse { call: key, refusal });
                    }
                }
            }
        }
    }

    /// Places a waiting call; nothing if all usable targets are busy.
    fn place(
        &self,
        now: Moment,
        snapshot: &Snapshot,
        key: CallKey,
    ) -> Result<Option<Placement>, Refusal> {
        let Some(call) = self.calls.get(&key) else {
            return Err(Refusal::not_run(RefusalCode::Deadline));
        };
        let arrival = &call.arrival;
        let usable: Vec<TargetKey> = self.usable_targets(now, snapshot, call).collect();
        if usable.is_empty() {
            let code = RefusalCode::NoTarget;
            return Err(Refusal {
                code,
                ran: call.ran(),
                retry_after: Some(RETRY_AFTER),
            });
        }
        let candidates = usable
            .into_iter()
            .filter_map(|key| self.candidate(snapshot, arrival, key));
        let model = match arrival.kind {
            TargetKind::Engine(model) => snapshot.models.get(model),
            TargetKind::Service(_) => None,
        };
        let Some(model) = model else {
            return Ok(candidates
                .min_by_key(|c| c.backlog)
                .map(|c| plain_placement(c.key)));
        };
        let cx = Context {
            stores: &snapshot.stores,
            deployment: &snapshot.deployment,
            preset: &snapshot.preset,
            model,
            directory: &self.directory,
            links: &self.links,
        };
        Ok(placement::place(
            &cx,
            &arrival.pieces,
            arrival.prompt,
            candidates,
        ))
    }

    /// Lists targets that may get this call, busy ones included.
    fn usable_targets<'a>(
        &'a self,
        now: Moment,
        snapshot: &'a Snapshot,
        call: &'a Call,
    ) -> impl Iterator<Item = TargetKey> + 'a {
        let declared = snapshot.targets.iter();
        let matching = declared.filter(|(_, t)| t.kind == call.arrival.kind && !t.retired);
        matching.map(|(key, _)| key).filter(move |key| {
            let Some(state) = self.targets.get(*key) else {
                return false;
            };
            state.liveness != Liveness::Silent
                && state.ejected_until <= now
                && !self.is_leaving(*key)
                && call
                    .pinned
                    .is_none_or(|version| self.version_of(*key, version) == version)
        })
    }

    /// Describes a target to placement, if it has a free slot.
    fn candidate<'a>(
        &self,
        snapshot: &'a Snapshot,
        arrival: &Arrival,
        key: TargetKey,
    ) -> Option<Candidate<'a>> {
        let target = snapshot.targets.get(key)?;
        let state = self.targets.get(key)?;
        (state.in_flight < target.slots).then(|| Candidate {
            key,
            target,
            backlog: state
                .backlog
                .max(state.report.map_or(Tokens(0), |r| r.prefill_backlog)),
            importable: self.version_of(key, arrival.version) == arrival.version,
        })
    }

    /// Returns the version that a target last reported, or `fallback` before its first report.
    fn version_of(&self, key: TargetKey, fallback: WeightVersion) -> WeightVersion {
        let report = self.targets.get(key).and_then(|t| t.report);
        report
            .map(|r| r.version)
            .filter(|v| v.0 > 0)
            .unwrap_or(fallback)
    }

    pub(super) fn is_leaving(&self, key: TargetKey) -> bool {
        let declared = self.snapshot.as_ref().and_then(|s| s.targets.get(key));
        let state = self.targets.get(key);
        declared.zip(state).is_some_and(|(target, state)| {
            self.membership
                .is_leaving(target.address, state.incarnation())
        })
    }

    fn dispatch(&mut self, now: Moment, key: CallKey, placement: Placement, actions: &mut Actions) {
        let target = placement.target;
        let arrived_for = self
            .calls
            .get(&key)
            .map_or(WeightVersion(0), |c| c.arrival.version);
        let version = self.version_of(target, arrived_for);
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let attempt = call.start_attempt(target, now);
        call.expected_prefill = placement.recompute;
        if let Some(state) = self.targets.get_mut(target) {
            state.in_flight += 1;
            state.backlog += placement.recompute;
        }
        for fetch in &placement.plan.fetches {
            self.links.start(fetch.store, fetch.sealed.length);
        }
        let Placement {
            plan, first_token, ..
        } = placement;
        let dispatch = Dispatch {
            call: key,
            attempt,
            target,
            version,
            plan,
            first_token,
        };
        actions.push(Action::Dispatch(dispatch));
    }

    pub(super) fn take_first_token(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let Some(target) = call.target() else { return };
        let version = self.version_of(target, call.arrival.version);
        self.settle_backlog(key);
        if let Some(call) = self.calls.get_mut(&key) {
            call.start_streaming(version);
        }
    }

    pub(super) fn take_attempt_end(
        &mut self,
        now: Moment,
        key: CallKey,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get(&key).filter(|c| c.attempt() == attempt) else {
            return;
        };
        let Some(target) = call.target() else { return };
        self.release_slot(key, target);
        self.judge_target(now, target, outcome);
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        match outcome {
            AttemptOutcome::Answered(usage) => {
                return self.finish_call(now, key, target, usage, actions);
            }
            AttemptOutcome::Settled => return self.end_call(key),
            AttemptOutcome::NotSent | AttemptOutcome::RefusedByTarget { .. } => {
                call.attempt_not_sent();
            }
            AttemptOutcome::Failed { .. } => call.attempt_failed(),
        }
        if retry::may_retry(call, outcome, now) && self.retries.withdraw() {
            self.requeue(key);
            return;
        }
        let (code, ran) = (RefusalCode::TargetFailed, call.ran());
        let code = if ran == Ran::No {
            RefusalCode::NoTarget
        } else {
            code
        };
        self.end_call(key);
        let refusal = Refusal {
            code,
            ran,
            retry_after: Some(RETRY_AFTER),
        };
        actions.push(Action::Refuse { call: key, refusal });
    }

    fn requeue(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let account = call.arrival.account;
        let declared = self.snapshot.as_ref().and_then(|s| s.accounts.get(account));
        let weight = declared.map_or(1, |a| a.weight);
        self.admission
            .enqueue(call.arrival.kind, account, weight, key);
    }

    fn finish_call(
        &mut self,
        now: Moment,
        key: CallKey,
        target: TargetKey,
        usage: Usage,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let pieces = call.arrival.pieces.clone();
        let fresh = self.version_of(target, call.arrival.version) == call.arrival.version;
        self.end_call(key);
        if fresh && usage.prompt.0 > 0 {
            self.order_exports(now, target, &pieces, actions);
        }
    }

    fn order_exports(
        &mut self,
        now: Moment,
        target: TargetKey,
        pieces: &[cumintrail_types::BlockKey],
        actions: &mut Actions,
    ) {
        self.directory.change_engine(target, pieces, &[]);
        let stores = self.live_stores(now);
        for (key, store) in keeping::exports(&self.directory, pieces, &stores) {
            let write_id = self.random_write_id();
            actions.push(Action::Export(crate::Export {
                target,
                store,
                key,
                write_id,
            }));
        }
    }

    /// Notes failures in a row and ejects a target for a growing time.
    fn judge_target(&mut self, now: Moment, target: TargetKey, outcome: AttemptOutcome) {
        let incarnation = self
            .targets
            .get(target)
            .map(super::state::TargetState::incarnation);
        if outcome == (AttemptOutcome::RefusedByTarget { leaving: true }) {
            let declared = self.snapshot.as_ref().and_then(|s| s.targets.get(target));
            if let Some((declared, incarnation)) = declared.zip(incarnation) {
                self.membership.mark_leaving(declared.address, incarnation);
            }
        }
        let Some(state) = self.targets.get_mut(target) else {
            return;
        };
        match outcome {
            AttemptOutcome::Answered(_) => state.failures = 0,
            AttemptOutcome::NotSent | AttemptOutcome::Failed { .. } => state.failures += 1,
            AttemptOutcome::RefusedByTarget { .. } | AttemptOutcome::Settled => {}
        }
        if state.failures >= EJECT_AFTER_FAILURES {
            let doublings = (state.failures - EJECT_AFTER_FAILURES).min(EJECT_DOUBLINGS);
            state.ejected_until = now + EJECT_BASE * 2_u32.pow(doublings);
        }
    }

    fn release_slot(&mut self, key: CallKey, target: TargetKey) {
        self.settle_backlog(key);
        if let Some(state) = self.targets.get_mut(target) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Takes a call's expected prefill off its target, once.
    fn settle_backlog(&mut self, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let expected = std::mem::take(&mut call.expected_prefill);
        let state = call
            .target()
            .and_then(|target| self.targets.get_mut(target));
        if let Some(state) = state {
            state.backlog = state.backlog.saturating_sub(expected);
        }
    }

    /// Drops a call whose caller is gone and cancels its attempt.
    pub(super) fn drop_call(&mut self, key: CallKey, actions: &mut Actions) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        if let Some(target) = call.target() {
            let attempt = call.attempt();
            self.release_slot(key, target);
            actions.push(Action::Cancel {
                call: key,
                attempt,
                target,
            });
        }
        self.end_call(key);
    }

    /// Gives up calls whose deadline passed; they are answered at once.
    pub(super) fn expire_calls(&mut self, now: Moment, actions: &mut Actions) {
        let late = self
            .calls
            .iter()
            .filter(|(_, call)| call.arrival.deadline <= now);
        let late: Vec<(CallKey, Phase)> = late.map(|(key, call)| (*key, call.phase())).collect();
        for (key, _) in late {
            let ran = self.calls.get(&key).map_or(Ran::Unknown, Call::ran);
            self.drop_call(key, actions);
            let code = RefusalCode::Deadline;
            let refusal = Refusal {
                code,
                ran,
                retry_after: Some(RETRY_AFTER),
            };
            actions.push(Action::Refuse { call: key, refusal });
        }
    }

    fn end_call(&mut self, key: CallKey) {
        if let Some(call) = self.calls.remove(&key) {
            self.admission
                .remove(call.arrival.kind, call.arrival.account, key);
            self.admission.release(call.arrival.account);
        }
    }
}

/// Places a call to a plain service, which imports nothing.
fn plain_placement(target: TargetKey) -> Placement {
    Placement {
        target,
        cost: 0.0,
        first_token: Duration::ZERO,
        recompute: Tokens(0),
        plan: crate::FetchPlan::default(),
        link_bytes: cumintrail_types::Bytes(0),
    }
}
