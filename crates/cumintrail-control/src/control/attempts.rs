//! Attempts from their order to the answer of their call.

use std::time::Duration;

use cumintrail_types::{AttemptNumber, CallKey, Moment, Ran, Refusal, RefusalCode, TargetKey};

use super::Control;
use crate::placement::Placer;
use crate::{Action, Actions, AttemptOutcome, Call, Phase, Usage, keeping, retry};

const RETRY_AFTER: Duration = Duration::from_secs(1);
const EJECT_AFTER_FAILURES: u32 = 3;
const EJECT_BASE: Duration = Duration::from_secs(1);
const EJECT_DOUBLINGS: u32 = 5;

impl<P: Placer> Control<P> {
    pub(super) fn take_first_token(&mut self, now: Moment, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let Some(target) = call.target() else { return };
        let version = self.version_of(target, call.arrival.version);
        self.settle_backlog(now, key);
        if let Some(call) = self.calls.get_mut(&key) {
            call.first_token.get_or_insert(now);
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
        self.release_slot(now, key, target);
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
        let code = if ran == Ran::No { RefusalCode::NoTarget } else { code };
        self.end_call(key);
        let refusal = Refusal { code, ran, retry_after: Some(RETRY_AFTER) };
        actions.push(Action::Refuse { call: key, refusal });
    }

    fn requeue(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let account = call.arrival.account;
        let declared = self.snapshot.as_ref().and_then(|s| s.accounts.get(account));
        let weight = declared.map_or(1, |a| a.weight);
        self.admission.enqueue(call.arrival.kind, account, weight, key);
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
        let answering = call.first_token.map(|at| now.since(at));
        let fresh = self.version_of(target, call.arrival.version) == call.arrival.version;
        self.learn_answer_time(answering);
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
            actions.push(Action::Export(crate::Export { target, store, key, write_id }));
        }
    }

    /// Notes failures in a row and ejects a target for a growing time.
    fn judge_target(&mut self, now: Moment, target: TargetKey, outcome: AttemptOutcome) {
        let incarnation = self.targets.get(target).map(super::state::TargetState::incarnation);
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

    fn release_slot(&mut self, now: Moment, key: CallKey, target: TargetKey) {
        self.settle_backlog(now, key);
        if let Some(state) = self.targets.get_mut(target) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Takes a call's expected prefill off its target, once.
    fn settle_backlog(&mut self, now: Moment, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let expected = std::mem::take(&mut call.expected_prefill);
        let state = call.target().and_then(|target| self.targets.get_mut(target));
        if let Some(state) = state {
            state.remove_prefill(now, expected);
        }
    }

    /// Drops a call whose caller is gone and cancels its attempt.
    pub(super) fn drop_call(&mut self, now: Moment, key: CallKey, actions: &mut Actions) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        if let Some(target) = call.target() {
            let attempt = call.attempt();
            self.release_slot(now, key, target);
            actions.push(Action::Cancel { call: key, attempt, target });
        }
        self.end_call(key);
    }

    /// Gives up calls whose deadline passed; they are answered at once.
    pub(super) fn expire_calls(&mut self, now: Moment, actions: &mut Actions) {
        let late = self.calls.iter().filter(|(_, call)| call.arrival.deadline <= now);
        let late: Vec<(CallKey, Phase)> = late.map(|(key, call)| (*key, call.phase())).collect();
        for (key, _) in late {
            let ran = self.calls.get(&key).map_or(Ran::Unknown, Call::ran);
            self.drop_call(now, key, actions);
            let code = RefusalCode::Deadline;
            let refusal = Refusal { code, ran, retry_after: Some(RETRY_AFTER) };
            actions.push(Action::Refuse { call: key, refusal });
        }
    }

    pub(super) fn end_call(&mut self, key: CallKey) {
        if let Some(call) = self.calls.remove(&key) {
            self.admission.remove(call.arrival.kind, call.arrival.account, key);
            self.admission.release(call.arrival.account);
            self.links.forget(key);
        }
    }
}
