//! Handling of attempts from their dispatch to the end of their call.

use std::time::Duration;

use cumintrail_config::TargetKind;
use cumintrail_types::{AttemptNumber, CallClass, CallKey, Moment, Ran, RefusalCode, TargetKey};

use super::Control;
use super::unknown_origins::OriginState;
use crate::placement::Placer;
use crate::retry::HealthSignal;
use crate::stream_origins::StreamRequest;
use crate::{AbandonReason, Action, Actions, AttemptOutcome, Call, Phase, Usage, retry};

/// The time without a first token after which a call's passed deadline counts as a failure of the
/// target.
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(2);
/// How long other targets are preferred to one that refused a call: about one step of its queue.
const REFUSAL_AVOIDANCE: Duration = Duration::from_millis(100);

impl<P: Placer> Control<P> {
    /// Handles the first token of an attempt.
    pub(super) fn handle_first_token(&mut self, now: Moment, key: CallKey, actions: &mut Actions) {
        self.report_begin(now, key, actions);
        self.clear_expected_prefill(now, key);
        let has_begun = self.calls.get(&key).is_some_and(|call| call.first_token.is_some());
        if !has_begun {
            self.record_service_time(now, key);
        }
        let target = self.calls.get(&key).and_then(Call::target);
        let resumed_at = self.resumed_at;
        if let Some(state) = target.and_then(|target| self.targets.get_mut(target)) {
            state.record_first_token(now, resumed_at, key);
        }
        if has_begun {
            return self.calls.get_mut(&key).into_iter().for_each(Call::record_begin);
        }
        if let Some(call) = self.calls.get_mut(&key).filter(|c| c.target().is_some()) {
            call.first_token = Some(now);
            call.start_streaming();
        }
        self.pin_software(now, key);
    }

    pub(super) fn handle_attempt_end(
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
        if call.is_detoured() {
            return self.handle_detour_end(now, key, outcome, actions);
        }
        let Some(target) = call.target() else { return };
        self.release_slot(now, key, target);
        self.record_target_outcome(now, target, outcome);
        if outcome == AttemptOutcome::NoConnection {
            self.record_no_connection(now, target, actions);
        }
        let state = self.targets.get_mut(target).filter(|_| was_not_sent(outcome));
        if let Some(allowance) = state.and_then(|state| state.allowance.as_mut()) {
            allowance.refund(now);
        }
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        match outcome {
            AttemptOutcome::Completed(usage) => {
                let (kind, content) = (call.arrival.kind, call.arrival.options.content.clone());
                self.record_complete_content(now, kind, &content);
                return self.finish_call(now, key, target, usage, actions);
            }
            AttemptOutcome::RespondedLocally => return self.end_call(key),
            AttemptOutcome::NotSent
            | AttemptOutcome::NoConnection
            | AttemptOutcome::Unidentified { .. }
            | AttemptOutcome::Abandoned { was_sent: false, .. }
            | AttemptOutcome::RefusedByTarget { .. } => {
                call.record_unexecuted_attempt();
            }
            AttemptOutcome::Failed { .. } | AttemptOutcome::Abandoned { .. } => {
                call.record_failed_attempt();
                push_cancel(call, target, actions);
            }
        }
        let due = now + retry::backoff(call.attempts(), &mut self.rng);
        let (kind, may) = (call.arrival.kind, retry::may_retry(call, outcome, due));
        let is_first_failure = matches!(
            outcome,
            AttemptOutcome::Failed { .. } | AttemptOutcome::Abandoned { was_sent: true, .. }
        ) && call.pinned_version.is_none();
        let is_too_scarce = is_first_failure && self.is_limit_scarce(now, kind);
        if may && !is_too_scarce && self.withdraw_retry(kind, target, outcome) {
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

    /// Withdraws a retry from the daemon's budget and from that of the target that failed.
    ///
    /// An attempt that was not sent loaded no target, so the next attempt is not a retry.
    fn withdraw_retry(
        &mut self,
        kind: TargetKind,
        target: TargetKey,
        outcome: AttemptOutcome,
    ) -> bool {
        if was_not_sent(outcome) {
            return true;
        }
        let has_one = self.targets.get(target).is_some_and(|state| state.retry_budget.has_retry());
        let granted = has_one && self.retry_budget(kind).withdraw();
        granted && self.targets.get_mut(target).is_some_and(|state| state.retry_budget.withdraw())
    }

    /// Queues the calls again whose backoff has ended, unless they wait for entries of the registry.
    pub(super) fn requeue_due(&mut self, now: Moment, actions: &mut Actions) {
        let mut due = Vec::new();
        self.backing_off.retain(|(at, key)| {
            let is_due = *at <= now;
            due.extend(is_due.then_some(*key));
            !is_due
        });
        for key in due {
            match self.settle_origin(now, key) {
                Ok(OriginState::SettledNow) => self.enqueue(key),
                Ok(OriginState::Settled) if !self.awaits_entry(now, key) => self.requeue(key),
                Ok(_) => self.wait_for_entries(now, key),
                Err(refusal) => {
                    self.end_call(key);
                    actions.push(Action::Refuse { call: key, refusal });
                }
            }
        }
    }

    /// Queues a call before those that wait for their first attempt.
    fn requeue(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        let weight = self.account_weight(call);
        self.admission.requeue(call.arrival.kind, call.flow(), weight, key);
    }

    /// Queues a call whose origin was settled like one that arrives.
    fn enqueue(&mut self, key: CallKey) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        if call.returned {
            return self.requeue(key);
        }
        let weight = self.account_weight(call);
        self.admission.enqueue(call.arrival.kind, call.flow(), weight, key);
    }

    fn account_weight(&self, call: &Call) -> u32 {
        let declared = self.snapshot.as_ref().and_then(|s| s.accounts.get(call.arrival.account));
        declared.map_or(1, |a| a.weight)
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
        if let Some(stream) = call.arrival.options.stream.and_then(StreamRequest::stream) {
            self.stream_origins.record_complete(stream);
        }
        let blocks = call.arrival.blocks.clone();
        let expected = call.arrival.version;
        let current = call.version() == expected && self.version_of(target, expected) == expected;
        let streaming = call.first_token.and_then(|at| self.time_awake(now, at));
        self.record_streaming_time(streaming);
        self.record_pace(now, key, target);
        self.end_call(key);
        if current && usage.prompt.0 > 0 {
            self.plan_exports(now, target, &blocks, actions);
        }
    }

    fn plan_exports(
        &mut self,
        now: Moment,
        target: TargetKey,
        blocks: &[cumintrail_types::BlockKey],
        actions: &mut Actions,
    ) {
        self.directory.update_engine_cache(target, blocks, &[]);
        let stores = self.export_stores();
        self.export_planner.plan(now, &self.directory, target, blocks, &stores);
        self.start_exports(now, actions);
    }

    /// Updates the state of a target by the outcome of an attempt.
    fn record_target_outcome(&mut self, now: Moment, target: TargetKey, outcome: AttemptOutcome) {
        let incarnation = self.targets.get(target).map(super::state::TargetState::incarnation);
        // A registry lists the incarnations itself, and a new one may reuse the address of one that
        // ended.
        let is_gone = outcome == (AttemptOutcome::RefusedByTarget { leaving: true });
        if is_gone && !self.has_registry {
            let declared = self.snapshot.as_ref().and_then(|s| s.targets.get(target));
            if let Some((declared, incarnation)) = declared.zip(incarnation) {
                let address = declared.address;
                self.mark_leaving(now, address, incarnation);
            }
        }
        if let Some(state) = self.targets.get_mut(target) {
            match outcome {
                AttemptOutcome::RefusedByTarget { leaving } => {
                    state.avoid_until = now + REFUSAL_AVOIDANCE;
                    state.address_reused |= leaving && self.has_registry;
                }
                AttemptOutcome::Unidentified { is_replaced } => {
                    state.avoid_until = now + REFUSAL_AVOIDANCE;
                    state.is_replaced |= is_replaced;
                }
                _ => {}
            }
            state.retry_budget.deposit();
            state.breaker.record_end(now, outcome.into(), &mut self.rng);
        }
    }

    fn release_slot(&mut self, now: Moment, key: CallKey, target: TargetKey) {
        self.clear_expected_prefill(now, key);
        let memory = self.calls.get(&key).map(Call::expected_memory).unwrap_or_default();
        if let Some(state) = self.targets.get_mut(target) {
            if self.has_registry {
                state.remove_call(key, memory);
            }
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Removes a call's expected prefill from its target's backlog; repeating this has no effect.
    fn clear_expected_prefill(&mut self, now: Moment, key: CallKey) {
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

    /// Removes a call whose caller disconnected and cancels its attempt.
    pub(super) fn cancel_call(&mut self, now: Moment, key: CallKey, actions: &mut Actions) {
        self.cancel_attempt(now, key, HealthSignal::Inconclusive, actions);
        self.end_call(key);
    }

    pub(super) fn cancel_attempt(
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

    /// Ends the attempt of a call, so that the call can go elsewhere or is refused.
    pub(super) fn abandon_attempt(
        &mut self,
        key: CallKey,
        reason: AbandonReason,
        actions: &mut Actions,
    ) {
        if let Some(call) = self.calls.get_mut(&key) {
            call.record_abandonment();
            actions.push(Action::Abandon { call: key, attempt: call.attempt(), reason });
        }
    }

    /// Refuses calls whose deadline has passed and cancels their attempts.
    pub(super) fn expire_calls(&mut self, now: Moment, actions: &mut Actions) {
        let expired = self.calls.iter().filter(|(_, call)| call.arrival.deadline <= now);
        let expired: Vec<CallKey> = expired.map(|(key, _)| *key).collect();
        for key in expired {
            let Some(call) = self.calls.get(&key) else {
                continue;
            };
            if call.phase() == Phase::Sending {
                // The response would have taken longer still. Without this, a silent target would keep
                // the capacity that it had.
                self.record_service_time(now, key);
            }
            let Some(call) = self.calls.get(&key) else {
                continue;
            };
            let refusal = retry::refusal_for(call, RefusalCode::Deadline);
            // Responses that came during a suspension of this daemon are still to be handled.
            let waited = now.since(call.dispatched.max(self.resumed_at));
            let unresponsive = call.phase() == Phase::Sending && waited >= UNRESPONSIVE_AFTER;
            let health =
                if unresponsive { HealthSignal::Failure } else { HealthSignal::Inconclusive };
            self.cancel_attempt(now, key, health, actions);
            self.end_call(key);
            actions.push(Action::Refuse { call: key, refusal });
        }
    }

    pub(super) fn end_call(&mut self, key: CallKey) {
        if let Some(call) = self.calls.remove(&key) {
            self.admission.remove(call.arrival.kind, call.flow(), key);
            self.admission.release(call.arrival.account);
            self.links.discard(key);
            self.backing_off.retain(|(_, waiting)| *waiting != key);
        }
    }
}

/// Returns whether an attempt loaded no target, since nothing was sent.
const fn was_not_sent(outcome: AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::NotSent
            | AttemptOutcome::NoConnection
            | AttemptOutcome::Unidentified { .. }
            | AttemptOutcome::Abandoned { was_sent: false, .. }
    )
}

/// Orders an engine to cancel the attempt of a model call; plain services have no cancel request.
fn push_cancel(call: &Call, target: TargetKey, actions: &mut Actions) {
    if call.arrival.class == CallClass::Model {
        let (call, attempt) = (call.arrival.call, call.attempt());
        actions.push(Action::Cancel { call, attempt, target });
    }
}
