//! Calls from their arrival to the order of an attempt.

use std::time::Duration;

use cumintrail_config::{Preset, Snapshot, Target, TargetKind};
use cumintrail_types::{
    AccountKey, CallKey, Moment, Ran, Refusal, RefusalCode, TargetKey, Tokens, WeightVersion,
};
use smallvec::SmallVec;

use super::Control;
use super::state::{Awaited, TargetState};
use crate::admission;
use crate::membership::Liveness;
use crate::parts::{PartPlans, Parts};
use crate::placement::{Candidate, Context, Placement, Placer, Request};
use crate::retry::RetryBudget;
use crate::{Action, Actions, Arrival, Call, Dispatch, retry};

const RETRY_AFTER: Duration = Duration::from_secs(1);
const SMOOTHING: f64 = 0.1;
/// Calls that an engine may be sent, as a multiple of its slots.
///
/// A call is worth queueing at an engine that holds its prompt; fair queueing keeps the rest here.
const ENGINE_QUEUE_FACTOR: u32 = 4;
/// The wait for engine and imports that calls of accounts with their fair share are sent into.
///
/// Engines and links serve in the order of arrival, so what one account queues there delays others.
const WAIT_AT_SHARE: Duration = Duration::from_secs(1);
/// The longest such wait, however much a preset saves on computing.
const LONGEST_WAIT_AT_SHARE: Duration = Duration::from_secs(10);
/// Calls placed in vain, for being held back, before further accounts with their share are skipped.
const HELD_CALLS_PLACED: usize = 8;

impl<P: Placer> Control<P> {
    pub(super) fn take_arrival(&mut self, now: Moment, arrival: Arrival, actions: &mut Actions) {
        let (call, kind) = (arrival.call, arrival.kind);
        match self.admit(now, &arrival) {
            Ok(weight) => {
                self.admission.enqueue(kind, arrival.account, weight, call);
                self.calls.insert(call, Call::new(arrival, now));
                self.retries_of(kind).deposit();
            }
            Err(refusal) => actions.push(Action::Refuse { call, refusal }),
        }
    }

    /// Returns the retries that calls of one kind may have.
    pub(super) fn retries_of(&mut self, kind: TargetKind) -> &mut RetryBudget {
        let policy = self.own_retry_policy();
        self.retries.entry(kind).or_insert_with(|| RetryBudget::full(policy))
    }

    fn admit(&mut self, now: Moment, arrival: &Arrival) -> Result<u32, Refusal> {
        let Some(snapshot) = &self.snapshot else {
            return Err(Refusal::not_run(RefusalCode::NotConfigured).retry_after(RETRY_AFTER));
        };
        let Some(account) = snapshot.accounts.get(arrival.account).filter(|a| !a.retired) else {
            return Err(Refusal::not_run(RefusalCode::Unauthorized));
        };
        if self.stopping {
            return Err(Refusal::not_run(RefusalCode::Stopping).retry_after(RETRY_AFTER));
        }
        if self.admission.waiting_for(arrival.kind) >= snapshot.preset.queue.max(1) {
            return Err(Refusal::not_run(RefusalCode::Overloaded).retry_after(RETRY_AFTER));
        }
        let wait = self.admission.expected_wait(arrival.kind, arrival.account, account.weight);
        let left = arrival.deadline.since(now);
        if wait > left {
            let after = wait.saturating_sub(left).max(RETRY_AFTER);
            return Err(Refusal::not_run(RefusalCode::Overloaded).retry_after(after));
        }
        let live = self.membership.peers().filter(|(_, p)| p.liveness == Liveness::Live).count();
        let wanted = self.admission.in_flight(arrival.account) + 1;
        let by_peers = self.membership.peer_demand(now, &account.name);
        let share = admission::share(wanted, by_peers, live + 1);
        self.admission.set_account_share(arrival.account, share);
        let tokens = (arrival.prompt + arrival.max_answer).0;
        self.admission.admit(now, arrival.account, account, tokens)?;
        Ok(account.weight)
    }

    pub(super) fn dispatch_waiting(&mut self, now: Moment, actions: &mut Actions) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let kinds: Vec<TargetKind> = self.admission.waiting_kinds().collect();
        for kind in kinds {
            while let Some((account, key, placed)) = self.next_to_send(now, &snapshot, kind) {
                self.admission.serve(now, kind, account);
                match placed {
                    Ok(placement) => self.dispatch(now, key, placement, actions),
                    Err(refusal) => {
                        self.end_call(key);
                        actions.push(Action::Refuse { call: key, refusal });
                    }
                }
            }
        }
    }

    /// Finds the first waiting call that is to be sent or refused now.
    ///
    /// Calls of other accounts pass those that are held back.
    fn next_to_send(
        &self,
        now: Moment,
        snapshot: &Snapshot,
        kind: TargetKind,
    ) -> Option<(AccountKey, CallKey, Result<Placement, Refusal>)> {
        let longest_wait = longest_wait_at_share(&snapshot.preset);
        let mut held = 0;
        for (account, key) in self.admission.heads(kind) {
            if held >= HELD_CALLS_PLACED && self.holds_back(account, key) {
                continue;
            }
            match self.place(now, snapshot, key) {
                Err(refusal) => return Some((account, key, Err(refusal))),
                Ok(Some(placement))
                    if placement.wait > longest_wait && self.holds_back(account, key) =>
                {
                    held += 1;
                }
                Ok(Some(placement)) => return Some((account, key, Ok(placement))),
                Ok(None) => return None,
            }
        }
        None
    }

    /// Tells whether a call waits here rather than at a busy target.
    ///
    /// One whose caller has part of its answer goes on at once.
    fn holds_back(&self, account: AccountKey, key: CallKey) -> bool {
        let begun = self.calls.get(&key).is_some_and(|call| call.pinned_version.is_some());
        !begun && self.placer.holds_back() && self.admission.has_fair_share(account)
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
        let waiting = call;
        let usable: Vec<TargetKey> = self.usable_targets(now, snapshot, call).collect();
        let usable = self.leave_out_outdated(now, arrival.kind, usable);
        if usable.is_empty() {
            return Err(retry::refusal_for(call, RefusalCode::NoTarget));
        }
        let usable = prefer_untried(call, usable);
        let usable = self.prefer_accepting(now, usable);
        let candidates: SmallVec<[Candidate<'_>; 32]> = usable
            .into_iter()
            .filter_map(|key| self.candidate(now, snapshot, arrival, key))
            .collect();
        let model = match arrival.kind {
            TargetKind::Engine(model) => snapshot.models.get(model),
            TargetKind::Service(_) => None,
        };
        let Some(model) = model else {
            let free = candidates.iter().filter(|c| c.free);
            return Ok(free.min_by_key(|c| c.calls).map(|c| plain_placement(c.key)));
        };
        let parts = self.plan_parts(now, arrival);
        let cx = Context {
            now,
            tokens_read: Parts::tokens_read(&parts),
            stores: &snapshot.stores,
            deployment: &snapshot.deployment,
            preset: &snapshot.preset,
            model,
            directory: &self.directory,
            links: &self.links,
        };
        let Arrival { call, ref pieces, prompt, .. } = *arrival;
        let (memory, objective) = (waiting.expected_memory(), arrival.terms.objective);
        let near = self.near_parts(snapshot, arrival, &parts);
        let shared = arrival.terms.shared();
        let request = Request { call, pieces, prompt, shared, memory, objective, near };
        let Some(placement) = self.placer.place(&cx, &request, &candidates) else {
            return Ok(None);
        };
        match self.placer.declines(&request, &placement) {
            Some(after) if waiting.ran() == Ran::No => {
                Err(Refusal::not_run(RefusalCode::Overloaded).retry_after(after))
            }
            _ => Ok(Some(Placement { parts, ..placement })),
        }
    }

    /// Leaves out targets on weights that were replaced too long ago, or will be once a call that
    /// is sent now begins there.
    ///
    /// While the platform does not answer nobody can order loads, so there any weights are better
    /// than no answer.
    fn leave_out_outdated(
        &self,
        now: Moment,
        kind: TargetKind,
        usable: Vec<TargetKey>,
    ) -> Vec<TargetKey> {
        let current = usable.iter().copied().filter(|key| !self.is_outdated(now, *key, kind));
        let current: Vec<TargetKey> = current.collect();
        if current.is_empty() && !self.hears_platform(now) { usable } else { current }
    }

    /// Leaves out targets that just refused a call or load weights, as long as there are others.
    fn prefer_accepting(&self, now: Moment, usable: Vec<TargetKey>) -> Vec<TargetKey> {
        let accepts = |key: &TargetKey| {
            self.targets.get(*key).is_some_and(|s| s.avoided <= now && !s.is_loading(now))
        };
        let accepting: Vec<TargetKey> = usable.iter().copied().filter(accepts).collect();
        if accepting.is_empty() { usable } else { accepting }
    }

    /// Lists targets that may get this call, busy ones included.
    fn usable_targets<'a>(
        &'a self,
        now: Moment,
        snapshot: &'a Snapshot,
        call: &'a Call,
    ) -> impl Iterator<Item = TargetKey> + 'a {
        let declared = snapshot.targets.iter();
        let usable = |t: &Target| t.kind == call.arrival.kind && !t.retired && !t.leaving;
        let matching = declared.filter(move |(_, t)| usable(t));
        matching.map(|(key, _)| key).filter(move |key| {
            let Some(state) = self.targets.get(*key) else {
                return false;
            };
            state.liveness != Liveness::Silent
                && state.breaker.allows(now)
                && !state.gone
                && !self.is_leaving(*key)
                && call
                    .pinned_version
                    .is_none_or(|version| self.version_of(*key, version) == version)
        })
    }

    /// Describes a target to placement.
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
            TargetKind::Service(_) => 1,
        };
        let room = match arrival.kind {
            TargetKind::Engine(model) => snapshot.models.get(model).map_or(1, |m| m.memory.0),
            TargetKind::Service(_) => 1,
        };
        let per_token = 1.0 / f64::from(room.max(1));
        Some(Candidate {
            key,
            target,
            backlog: state.expected_backlog(now, target.prefill_per_second),
            calls: state.calls(),
            slot_wait: self.slot_wait(state, target),
            free: state.in_flight < target.slots * queue_factor,
            importable: self.version_of(key, arrival.version) == arrival.version,
            memory: f64::from((state.memory + state.foreign_memory).0) * per_token,
            memory_per_token: per_token,
            pace: if state.pace > 0.0 { state.pace } else { 1.0 },
            overdue: state.overdue(now),
        })
    }

    /// Estimates how long a target's slots stay taken, if all are.
    fn slot_wait(&self, state: &TargetState, target: &Target) -> Duration {
        let Some(over) = state.calls().checked_sub(target.slots) else {
            return Duration::ZERO;
        };
        self.answer_time.mul_f64(f64::from(over + 1) / f64::from(target.slots.max(1)))
    }

    /// Follows how long answers take, which tells when taken slots become free.
    pub(super) fn learn_answer_time(&mut self, took: Option<Duration>) {
        let Some(took) = took else { return };
        let old = if self.answer_time.is_zero() { took } else { self.answer_time };
        self.answer_time = old.mul_f64(1.0 - SMOOTHING) + took.mul_f64(SMOOTHING);
    }

    /// Returns the version that a target last reported, or `fallback` before its first report.
    pub(super) fn version_of(&self, key: TargetKey, fallback: WeightVersion) -> WeightVersion {
        let state = self.targets.get(key);
        state.and_then(TargetState::version).unwrap_or(fallback)
    }

    pub(super) fn is_leaving(&self, key: TargetKey) -> bool {
        let declared = self.snapshot.as_ref().and_then(|s| s.targets.get(key));
        let state = self.targets.get(key);
        declared.zip(state).is_some_and(|(target, state)| {
            self.membership.is_leaving(target.address, state.known_run())
        })
    }

    fn dispatch(&mut self, now: Moment, key: CallKey, placement: Placement, actions: &mut Actions) {
        let target = placement.target;
        let arrived_for = self.calls.get(&key).map_or(WeightVersion(0), |c| c.arrival.version);
        let loaded = self.version_of(target, arrived_for);
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let version = call.pinned_version.unwrap_or(loaded);
        let attempt = call.start_attempt(target, version, now);
        call.expected_prefill = placement.recompute;
        let (account, memory) = (call.arrival.account, call.expected_memory());
        if let Some(state) = self.targets.get_mut(target) {
            state.in_flight += 1;
            let awaited = Awaited { call: key, sent: now, expected: placement.first_token };
            if self.has_registry {
                state.await_first(awaited, memory);
            }
            state.breaker.record_start();
            state.add_prefill(now, placement.recompute);
        }
        self.admission.add_prefill(account, placement.recompute);
        self.start_fetches(now, key, &placement.plan);
        let Placement { plan, first_token, parts, .. } = placement;
        // Parts are named for the version that the call arrived for.
        let parts = if version == arrived_for { parts } else { PartPlans::default() };
        let dispatch = Dispatch { call: key, attempt, target, version, plan, first_token, parts };
        actions.push(Action::Dispatch(dispatch));
    }
}

/// Returns the longest wait that calls of accounts with their fair share are sent into.
///
/// The dearer computing is, the longer a call should wait for an engine that holds its prompt.
fn longest_wait_at_share(preset: &Preset) -> Duration {
    let waiting = preset.first_token_weight.max(f64::EPSILON);
    let computing = preset.first_token_weight + preset.recompute_weight;
    let worth = (computing / waiting).min(LONGEST_WAIT_AT_SHARE.as_secs_f64());
    (WAIT_AT_SHARE + WAIT_AT_SHARE.mul_f64(worth)).min(LONGEST_WAIT_AT_SHARE)
}

/// Leaves out targets at which the call failed before, as long as there are others.
fn prefer_untried(call: &Call, usable: Vec<TargetKey>) -> Vec<TargetKey> {
    let untried = usable.iter().copied().filter(|key| !call.has_failed_at(*key));
    let untried: Vec<TargetKey> = untried.collect();
    if untried.is_empty() { usable } else { untried }
}

/// Places a call to a plain service, which imports nothing.
fn plain_placement(target: TargetKey) -> Placement {
    Placement {
        target,
        cost: 0.0,
        wait: Duration::ZERO,
        first_token: Duration::ZERO,
        recompute: Tokens(0),
        plan: crate::FetchPlan::default(),
        link_bytes: cumintrail_types::Bytes(0),
        parts: PartPlans::default(),
        memory: 0.0,
    }
}
