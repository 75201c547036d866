//! Handling of calls from their arrival to the dispatch of an attempt.

use std::net::SocketAddr;
use std::time::Duration;

use cumintrail_config::{Snapshot, Target, TargetKind};
use cumintrail_types::{
    CallKey, Moment, Ran, Refusal, RefusalCode, TargetKey, Tokens, WeightVersion,
};
use smallvec::SmallVec;

use super::Control;
use super::shortage::apply_verdict;
use super::state::{PendingFirstToken, TargetState};
use crate::admission;
use crate::membership::Liveness;
use crate::parts::{PartIndex, PartPlans, name_hash};
use crate::placement::{Candidate, Context, Placement, Placer, Request};
use crate::retry::RetryBudget;
use crate::stream_origins::OriginEvidence;
use crate::{Action, Actions, Arrival, Call, Dispatch, retry};

const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The weight of one sample in the smoothed time from first token to end.
const STREAMING_TIME_WEIGHT: f64 = 0.1;
/// The limit of this daemon's calls at an engine, as a multiple of the engine's slots.
///
/// Queueing at an engine that has the prompt cached can be worth the wait; all further calls wait
/// in this daemon's fair queue.
const ENGINE_QUEUE_FACTOR: u32 = 4;
impl<P: Placer> Control<P> {
    pub(super) fn handle_arrival(&mut self, now: Moment, arrival: Arrival, actions: &mut Actions) {
        let (call, kind) = (arrival.call, arrival.kind);
        self.record_call_rate(now, kind);
        self.record_service_arrival(now, &arrival);
        let required = self.check_quarantine(now, &arrival);
        let required = required.and_then(|()| self.required_software_in_time(now, &arrival));
        match required.and_then(|software| Ok((software, self.admit(now, &arrival)?))) {
            Ok(((pinned_software, origin), weight)) => {
                let flow = self.flow_of(&arrival);
                let returned = self.has_returned(now, &arrival);
                match returned {
                    _ if self.may_be_unlisted(origin, kind, now) => {
                        self.wait_for_entries(now, call);
                    }
                    // A call that returns after its refusal precedes newer ones.
                    true => self.admission.requeue(kind, flow, weight, call),
                    false => self.admission.enqueue(kind, flow, weight, call),
                }
                let mut queued = Call::new(arrival, now);
                (queued.pinned_software, queued.origin) = (pinned_software, origin);
                (queued.queue_urgency, queued.returned) = (flow.urgency, returned);
                self.calls.insert(call, queued);
                self.retry_budget(kind).deposit();
            }
            Err(refusal) => {
                let refusal = self.delay_return(now, kind, refusal);
                actions.push(Action::Refuse { call, refusal });
            }
        }
    }

    /// Returns the retry budget of one model or plain service.
    pub(super) fn retry_budget(&mut self, kind: TargetKind) -> &mut RetryBudget {
        let policy = self.own_retry_policy();
        self.retry_budgets.entry(kind).or_insert_with(|| RetryBudget::full(policy))
    }

    fn admit(&mut self, now: Moment, arrival: &Arrival) -> Result<u32, Refusal> {
        let Some(snapshot) = &self.snapshot else {
            return Err(Refusal::not_run(RefusalCode::NotConfigured).retry_after(RETRY_AFTER));
        };
        let Some(account) = snapshot.accounts.get(arrival.account).filter(|a| !a.retired) else {
            return Err(Refusal::not_run(RefusalCode::Unauthorized));
        };
        self.check_stop(now, arrival)?;
        if self.admission.waiting_for(arrival.kind) >= snapshot.preset.queue.max(1) {
            return Err(Refusal::not_run(RefusalCode::Overloaded).retry_after(RETRY_AFTER));
        }
        let wait =
            self.admission.expected_wait(arrival.kind, self.flow_of(arrival), account.weight);
        let left = arrival.deadline.since(now);
        if wait > left {
            let after = wait.saturating_sub(left).max(RETRY_AFTER);
            return Err(Refusal::not_run(RefusalCode::Overloaded).retry_after(after));
        }
        self.check_limited_wait(now, snapshot, arrival, account.weight)?;
        let live = self.membership.peers().filter(|(_, p)| p.liveness == Liveness::Live).count();
        let wanted = self.admission.in_flight(arrival.account) + 1;
        let by_peers = self.membership.peer_demand(now, &account.name);
        let share = admission::share(f64::from(wanted), f64::from(by_peers), live + 1);
        self.admission.set_account_share(arrival.account, share);
        let tokens = (arrival.prompt + arrival.max_output).0;
        self.admission.admit(now, arrival.account, account, tokens)?;
        Ok(account.weight)
    }

    /// Chooses a target for a waiting call.
    pub(super) fn place(
        &self,
        now: Moment,
        snapshot: &Snapshot,
        key: CallKey,
    ) -> Result<Choice, Refusal> {
        let Some(call) = self.calls.get(&key) else {
            return Err(Refusal::not_run(RefusalCode::Deadline));
        };
        self.check_waiting(now, call)?;
        self.check_stop_of_waiting(call)?;
        if let Some(peer) = self.choose_helper(now, call) {
            return Ok(Choice::Detour(peer));
        }
        let arrival = &call.arrival;
        let waiting = call;
        let usable: Vec<TargetKey> = self.usable_targets(now, snapshot, call).collect();
        let usable = self.exclude_outdated(now, arrival, usable);
        if usable.is_empty() {
            return Err(retry::refusal_for(call, RefusalCode::NoTarget));
        }
        let usable = self.exclude_replaced(call, usable)?;
        let accepting = match self.exclude_quiet(now, call, usable) {
            TargetChoice::Usable(accepting) => self.exclude_spent(now, call, accepting),
            choice => choice,
        };
        let usable = match accepting {
            TargetChoice::Usable(usable) => usable,
            TargetChoice::Wait => return Ok(Choice::Waits),
            TargetChoice::Refuse(after) => {
                let refusal = retry::refusal_for(call, RefusalCode::Overloaded);
                return Err(refusal.retry_after(after));
            }
        };
        let usable = self.prefer_reached_domains(usable);
        let plan = self.plan_for_call(now, snapshot, arrival, &usable);
        let usable = prefer_untried(call, usable);
        let usable = self.prefer_domains(now, snapshot, plan, call, usable);
        let usable = self.prefer_unlimited(call, usable);
        let usable = self.prefer_accepting(now, usable);
        let usable = self.prefer_warm(now, snapshot, usable);
        let candidates: SmallVec<[Candidate<'_>; 32]> = usable
            .into_iter()
            .filter_map(|key| self.candidate(now, snapshot, arrival, key))
            .collect();
        let model = match arrival.kind {
            TargetKind::Engine(model) => snapshot.models.get(model),
            TargetKind::Service(_) => None,
        };
        let Some(model) = model else {
            let free = candidates.iter().filter(|c| c.available);
            // Credit for a limited target would be lost while others could take the next calls.
            let is_unlimited = |key| self.targets.get(key).is_some_and(|s| s.allowance.is_none());
            let order = |c: &&Candidate<'_>| {
                (c.calls, is_unlimited(c.key), spread_hash(arrival.call, &c.target.name))
            };
            let chosen = free.min_by_key(order).copied();
            return self.decide_plain(now, call, &candidates, chosen.as_ref());
        };
        let parts = self.plan_parts(now, arrival);
        let cx = Context {
            now,
            tokens_read: PartIndex::tokens_read(&parts),
            stores: &snapshot.stores,
            deployment: &snapshot.deployment,
            preset: &snapshot.preset,
            model,
            directory: &self.directory,
            links: &self.links,
        };
        let Arrival { call, ref blocks, prompt, .. } = *arrival;
        let (kv_tokens, objective) =
            (waiting.expected_memory(), arrival.options.first_token_objective);
        let part_location = self.part_location(snapshot, arrival, &parts);
        let shared = arrival.options.shared_tokens();
        let request = Request { call, blocks, prompt, shared, kv_tokens, objective, part_location };
        let Some(placement) = self.placer.place(&cx, &request, &candidates) else {
            return Ok(Choice::AllBusy);
        };
        if let Some(verdict) = self.decide_prompt(now, waiting, &candidates, &placement) {
            return apply_verdict(verdict, Placement { parts, ..placement });
        }
        match self.placer.retry_after(&request, &placement) {
            Some(after) if waiting.ran() == Ran::No => {
                Err(Refusal::not_run(RefusalCode::Overloaded).retry_after(after))
            }
            _ => Ok(Some(Placement { parts, ..placement }).into()),
        }
    }

    /// Excludes targets that want no requests for now.
    ///
    /// If no others are left, a call waits for the first of them where it can still be served in
    /// time, and is refused at once otherwise.
    fn exclude_quiet(&self, now: Moment, call: &Call, usable: Vec<TargetKey>) -> TargetChoice {
        let quiet_until = |key: &TargetKey| self.targets.get(*key).map_or(now, |s| s.quiet_until);
        let first_end = usable.iter().map(quiet_until).min().unwrap_or(now);
        let accepting: Vec<TargetKey> =
            usable.into_iter().filter(|key| quiet_until(key) <= now).collect();
        if !accepting.is_empty() {
            return TargetChoice::Usable(accepting);
        }
        TargetChoice::wait_or_refuse(now, &call.arrival, first_end.since(now))
    }

    /// Excludes targets that just refused a call or are loading weights, unless no others are left.
    fn prefer_accepting(&self, now: Moment, usable: Vec<TargetKey>) -> Vec<TargetKey> {
        let accepts = |key: &TargetKey| {
            self.targets.get(*key).is_some_and(|s| s.avoid_until <= now && !s.is_loading(now))
        };
        let accepting: Vec<TargetKey> = usable.iter().copied().filter(accepts).collect();
        if accepting.is_empty() { usable } else { accepting }
    }

    /// Returns the targets that may get this call, busy ones included.
    pub(super) fn usable_targets<'a>(
        &'a self,
        now: Moment,
        snapshot: &'a Snapshot,
        call: &'a Call,
    ) -> impl Iterator<Item = TargetKey> + 'a {
        let declared = snapshot.targets.iter();
        let software = call.pinned_software.as_ref();
        let domains = self.allowed_domains(snapshot, &call.arrival);
        let usable = move |key: TargetKey, t: &Target| {
            t.kind == call.arrival.kind
                && !self.is_withdrawn(key, t)
                && !self.is_evacuated(t)
                && domains.as_ref().is_none_or(|domains| domains.contains(&t.domain))
                && software.is_none_or(|software| t.software.as_ref() == Some(software))
        };
        let matching = declared.filter(move |(key, t)| usable(*key, t));
        matching.map(|(key, _)| key).filter(move |key| {
            let Some(state) = self.targets.get(*key) else {
                return false;
            };
            state.liveness != Liveness::Silent
                && state.breaker.allows(now)
                && call
                    .pinned_version
                    .is_none_or(|version| self.version_of(*key, version) == version)
        })
    }

    /// Describes a target as a candidate for placement.
    fn candidate<'a>(
        &self,
        now: Moment,
        snapshot: &'a Snapshot,
        arrival: &Arrival,
        key: TargetKey,
    ) -> Option<Candidate<'a>> {
        let target = snapshot.targets.get(key)?;
        let state = self.targets.get(key)?;
        let queue_factor = match arrival.kind {
            TargetKind::Engine(_) => ENGINE_QUEUE_FACTOR,
            TargetKind::Service(_) => self.service_queue_factor(),
        };
        let capacity = match arrival.kind {
            TargetKind::Engine(model) => {
                snapshot.models.get(model).map_or(1, |m| m.memory_tokens.0)
            }
            TargetKind::Service(_) => 1,
        };
        let per_token = 1.0 / f64::from(capacity.max(1));
        Some(Candidate {
            key,
            target,
            backlog: state.expected_backlog(now, target.prefill_tokens_per_second),
            calls: state.calls(),
            slot_wait: self.slot_wait(state, target),
            available: state.in_flight < target.slots * queue_factor,
            can_import: self.version_of(key, arrival.version) == arrival.version,
            memory_used: f64::from((state.memory + state.foreign_memory).0) * per_token,
            memory_per_token: per_token,
            slowdown: if state.first_token_ratio > 0.0 { state.first_token_ratio } else { 1.0 },
            overdue: state.overdue(now),
            crossing_seconds: self.crossing_seconds(snapshot, arrival, target),
        })
    }

    /// Estimates when a call that is sent to a target now begins, from the prompts before it, the wait
    /// for a slot and its own prompt.
    pub(super) fn expected_begin(
        &self,
        now: Moment,
        key: TargetKey,
        state: &TargetState,
        prompt: Tokens,
    ) -> Duration {
        let Some(target) = self.snapshot.as_ref().and_then(|s| s.targets.get(key)) else {
            return Duration::ZERO;
        };
        let rate = target.prefill_tokens_per_second;
        let slowdown = state.first_token_ratio.max(1.0);
        let prefill = |tokens: Tokens| {
            Duration::from_secs_f64(f64::from(tokens.0) / f64::from(rate.max(1)) * slowdown)
        };
        let backlog = prefill(state.expected_backlog(now, rate));
        self.slot_wait(state, target).max(backlog) + prefill(prompt)
    }

    /// Estimates the wait for a free slot at a target.
    fn slot_wait(&self, state: &TargetState, target: &Target) -> Duration {
        let Some(excess) = state.calls().checked_sub(target.slots) else {
            return Duration::ZERO;
        };
        self.streaming_time.mul_f64(f64::from(excess + 1) / f64::from(target.slots.max(1)))
    }

    /// Updates the smoothed time from first token to end, used to estimate the wait for slots.
    pub(super) fn record_streaming_time(&mut self, elapsed: Option<Duration>) {
        let Some(elapsed) = elapsed else { return };
        let previous = if self.streaming_time.is_zero() { elapsed } else { self.streaming_time };
        self.streaming_time =
            previous.mul_f64(1.0 - STREAMING_TIME_WEIGHT) + elapsed.mul_f64(STREAMING_TIME_WEIGHT);
    }

    /// Returns the latest known weight version of a target, or `fallback` if none is known.
    pub(super) fn version_of(&self, key: TargetKey, fallback: WeightVersion) -> WeightVersion {
        let state = self.targets.get(key);
        state.and_then(TargetState::version).unwrap_or(fallback)
    }

    /// Returns whether a target is gone or leaving.
    pub(super) fn is_withdrawn(&self, key: TargetKey, target: &Target) -> bool {
        let is_reused = self.targets.get(key).is_some_and(|state| state.address_reused);
        target.retired || target.leaving || is_reused || self.is_leaving(key)
    }

    pub(super) fn is_leaving(&self, key: TargetKey) -> bool {
        let declared = self.snapshot.as_ref().and_then(|s| s.targets.get(key));
        let state = self.targets.get(key);
        declared.zip(state).is_some_and(|(target, state)| {
            state.announced_leaving
                || self.membership.is_leaving(target.address, state.current_incarnation())
        })
    }

    pub(super) fn dispatch(
        &mut self,
        now: Moment,
        key: CallKey,
        placement: Placement,
        actions: &mut Actions,
    ) {
        let target = placement.target;
        let arrival_version = self.calls.get(&key).map_or(WeightVersion(0), |c| c.arrival.version);
        let loaded = self.version_of(target, arrival_version);
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let version = call.pinned_version.unwrap_or(loaded);
        let attempt = call.start_attempt(target, version, now);
        call.expected_prefill = placement.recompute;
        let (account, memory) = (call.arrival.account, call.expected_memory());
        let (kind, urgency) = (call.arrival.kind, call.arrival.options.urgency);
        if let Some(state) = self.targets.get_mut(target) {
            state.in_flight += 1;
            let pending =
                PendingFirstToken { call: key, sent: now, expected: placement.first_token };
            if self.has_registry {
                state.add_pending_first_token(pending, memory);
            }
            state.breaker.record_start();
            state.add_prefill(now, placement.recompute);
            if let Some(allowance) = &mut state.allowance {
                allowance.withdraw(now);
            }
        }
        self.count_by_domain(target);
        let is_limited = self.targets.get(target).is_some_and(|state| state.allowance.is_some());
        self.admission.add_prefill(account, placement.recompute);
        self.record_sent(now, kind, urgency);
        self.start_fetches(now, key, &placement.plan);
        let Placement { plan, first_token, parts, .. } = placement;
        // The keys of parts are derived for the version that the call arrived for.
        let parts = if version == arrival_version { parts } else { PartPlans::default() };
        let call = self.calls.get(&key);
        let replacement = self.replacement_at(now, target);
        let must_identify = call.is_some_and(|call| self.must_identify(call, target));
        let origin = call.map_or(OriginEvidence::None, |call| call.origin);
        let dispatch = Dispatch {
            call: key,
            attempt,
            target,
            version,
            replacement,
            plan,
            first_token,
            parts,
            is_limited,
            must_identify,
            origin,
        };
        actions.push(Action::Dispatch(Box::new(dispatch)));
    }
}

/// What to do with a call, by the targets that accept requests now.
pub(super) enum TargetChoice {
    /// Send it to one of these targets, which accept requests.
    Usable(Vec<TargetKey>),
    /// Wait until the first target accepts requests again.
    Wait,
    /// Refuse it; the first target accepts requests again after this time.
    Refuse(Duration),
}

impl TargetChoice {
    /// Lets a call wait where it can still be served in time after `wait`.
    pub(super) fn wait_or_refuse(now: Moment, arrival: &Arrival, wait: Duration) -> Self {
        let left = arrival.deadline.since(now);
        let in_time = arrival.options.first_token_objective.unwrap_or(left).min(left) / 2;
        if wait <= in_time { Self::Wait } else { Self::Refuse(wait) }
    }
}

/// What becomes of a waiting call now.
pub(super) enum Choice {
    /// It is sent.
    Placed(Box<Placement>),
    /// A peer handles it.
    Detour(SocketAddr),
    /// It waits for a target of its own choice, and others may be sent.
    Waits,
    /// It is held back while capacity is scarce.
    Held,
    /// It waits, and so do all others, since all targets are busy.
    AllBusy,
}

impl From<Option<Placement>> for Choice {
    fn from(placement: Option<Placement>) -> Self {
        placement.map_or(Self::AllBusy, |placement| Self::Placed(Box::new(placement)))
    }
}

/// Excludes targets at which the call failed before, unless no others are left.
fn prefer_untried(call: &Call, usable: Vec<TargetKey>) -> Vec<TargetKey> {
    let untried = usable.iter().copied().filter(|key| !call.has_failed_at(*key));
    let untried: Vec<TargetKey> = untried.collect();
    if untried.is_empty() { usable } else { untried }
}

/// Orders targets or peers that look equally loaded differently for each call.
///
/// Many daemons with few calls each would otherwise all prefer the same one.
pub(super) fn spread_hash(call: CallKey, name: &str) -> u64 {
    let mixed = (name_hash(name) ^ call.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 32)
}

/// Returns the placement of a call to a plain service, which imports nothing.
pub(super) fn plain_placement(target: TargetKey) -> Placement {
    Placement {
        target,
        cost: 0.0,
        wait: Duration::ZERO,
        first_token: Duration::ZERO,
        recompute: Tokens(0),
        plan: crate::FetchPlan::default(),
        link_bytes: cumintrail_types::Bytes(0),
        parts: PartPlans::default(),
        memory_used: 0.0,
    }
}
