//! Attempts from their order to the answer of their call.

use std::time::Duration;

use cumintrail_config::TargetKind;
use cumintrail_types::{AttemptNumber, CallClass, CallKey, Moment, Ran, RefusalCode, TargetKey};

use super::Control;
use crate::placement::Placer;
use crate::retry::HealthSignal;
use crate::{Action, Actions, AttemptOutcome, Call, Phase, Usage, retry};

/// A target that did not answer for so long before a deadline counts as failing.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// How long other targets are preferred to one that refused a call: about a step of its queue.
const REFUSAL_PAUSE: Duration = Duration::from_millis(100);

impl<P: Placer> Control<P> {
    pub(super) fn take_first_token(&mut self, now: Moment, key: CallKey) {
        self.settle_backlog(now, key);
        let target = self.calls.get(&key).and_then(Call::target);
        if let Some(state) = target.and_then(|target| self.targets.get_mut(target)) {
            state.take_first(now, key);
        }
        if let Some(call) = self.calls.get_mut(&key).filter(|c| c.target().is_some()) {
            call.first_token.get_or_insert(now);
            call.start_streaming();
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
                call.record_unsent_attempt();
            }
            AttemptOutcome::Failed { .. } => {
                call.record_failed_attempt();
                push_cancel(call, target, actions);
            }
        }
        let due = now + retry::backoff(call.attempts(), &mut self.rng);
        let (kind, may) = (call.arrival.kind, retry::may_retry(call, outcome, due));
        if may && self.withdraw_retry(kind, target, outcome) {
            self.backing_off.push((due, key));
            return;
        }
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let code = match call.ran() {
            Ran::No => RefusalCode::NoTarget,
            Ran::Unknown => RefusalCode::TargetFailed,
        };
        let refusal = retry::refusal_for(call, code);
        self.end_call(key);
        actions.push(Action::Refuse { call: key, refusal });
    }

    /// Takes a retry from the daemon's budget and from that of the target that failed.
    ///
    /// An attempt that never left loaded nobody, so its successor is no retry.
    fn withdraw_retry(
        &mut self,
        kind: TargetKind,
        target: TargetKey,
        outcome: AttemptOutcome,
    ) -> bool {
        if outcome == AttemptOutcome::NotSent {
            return true;
        }
        let has_one = self.targets.get(target).is_some_and(|state| state.retries.has_retry());
        let granted = has_one && self.retries_of(kind).withdraw();
        granted && self.targets.get_mut(target).is_some_and(|state| state.retries.withdraw())
    }

    /// Queues calls again whose backoff is over.
    pub(super) fn requeue_due(&mut self, now: Moment) {
        let mut due = Vec::new();
        self.backing_off.retain(|(at, key)| {
            let is_due = *at <= now;
            due.extend(is_due.then_some(*key));
            !is_due
        });
        for key in due {
            self.requeue(key);
        }
    }

    fn requeue(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let account = call.arrival.account;
        let declared = self.snapshot.as_ref().and_then(|s| s.accounts.get(account));
        let weight = declared.map_or(1, |a| a.weight);
        self.admission.requeue(call.arrival.kind, account, weight, key);
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
        let wanted = call.arrival.version;
        let fresh = call.version() == wanted && self.version_of(target, wanted) == wanted;
        let answering = call.first_token.map(|at| now.since(at));
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
        self.directory.update_engine_cache(target, pieces, &[]);
        let stores = self.export_stores();
        self.keeping.plan(now, &self.directory, target, pieces, &stores);
        self.start_exports(now, actions);
    }

    /// Notes what an attempt's end says of its target.
    fn judge_target(&mut self, now: Moment, target: TargetKey, outcome: AttemptOutcome) {
        let incarnation = self.targets.get(target).map(super::state::TargetState::incarnation);
        // A registry names runs itself, and a new one may have the address of one that is gone.
        let is_gone = outcome == (AttemptOutcome::RefusedByTarget { leaving: true });
        if is_gone && !self.has_registry {
            let declared = self.snapshot.as_ref().and_then(|s| s.targets.get(target));
            if let Some((declared, incarnation)) = declared.zip(incarnation) {
                let address = declared.address;
                self.mark_leaving(now, address, incarnation);
            }
        }
        if let Some(state) = self.targets.get_mut(target) {
            if let AttemptOutcome::RefusedByTarget { leaving } = outcome {
                state.avoided = now + REFUSAL_PAUSE;
                state.gone |= leaving && self.has_registry;
            }
            state.retries.deposit();
            state.breaker.record_end(now, outcome.into(), &mut self.rng);
        }
    }

    fn release_slot(&mut self, now: Moment, key: CallKey, target: TargetKey) {
        self.settle_backlog(now, key);
        let memory = self.calls.get(&key).map(Call::expected_memory).unwrap_or_default();
        if let Some(state) = self.targets.get_mut(target) {
            if self.has_registry {
                state.settle(key, memory);
            }
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Takes a call's expected prefill off its target, once.
    fn settle_backlog(&mut self, now: Moment, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let expected = std::mem::take(&mut call.expected_prefill);
        self.admission.remove_prefill(call.arrival.account, expected);
        let state = call.target().and_then(|target| self.targets.get_mut(target));
        if let Some(state) = state {
            state.remove_prefill(now, expected);
        }
    }

    /// Drops a call whose caller is gone and cancels its attempt.
    pub(super) fn drop_call(&mut self, now: Moment, key: CallKey, actions: &mut Actions) {
        self.cancel_attempt(now, key, HealthSignal::Inconclusive, actions);
        self.end_call(key);
    }

    fn cancel_attempt(
        &mut self,
        now: Moment,
        key: CallKey,
        health: HealthSignal,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let Some(target) = call.target() else { return };
        push_cancel(call, target, actions);
        self.release_slot(now, key, target);
        if let Some(state) = self.targets.get_mut(target) {
            state.breaker.record_end(now, health, &mut self.rng);
        }
    }

    /// Gives up calls whose deadline passed; they are answered at once.
    pub(super) fn expire_calls(&mut self, now: Moment, actions: &mut Actions) {
        let late = self.calls.iter().filter(|(_, call)| call.arrival.deadline <= now);
        let late: Vec<CallKey> = late.map(|(key, _)| *key).collect();
        for key in late {
            let Some(call) = self.calls.get(&key) else {
                continue;
            };
            let refusal = retry::refusal_for(call, RefusalCode::Deadline);
            let silent =
                call.phase() == Phase::Sending && now.since(call.dispatched) >= SILENCE_LIMIT;
            let health = if silent { HealthSignal::Failure } else { HealthSignal::Inconclusive };
            self.cancel_attempt(now, key, health, actions);
            self.end_call(key);
            actions.push(Action::Refuse { call: key, refusal });
        }
    }

    pub(super) fn end_call(&mut self, key: CallKey) {
        if let Some(call) = self.calls.remove(&key) {
            self.admission.remove(call.arrival.kind, call.arrival.account, key);
            self.admission.release(call.arrival.account);
            self.links.forget(key);
            self.backing_off.retain(|(_, waiting)| *waiting != key);
        }
    }
}

/// Stops a model call's attempt at its engine; a plain service knows no such order.
fn push_cancel(call: &Call, target: TargetKey, actions: &mut Actions) {
    if call.arrival.class == CallClass::Model {
        let (call, attempt) = (call.arrival.call, call.attempt());
        actions.push(Action::Cancel { call, attempt, target });
    }
}
