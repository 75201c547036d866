//! Admission under scarce capacity: what the decision needs of the control state, and its effects.

use std::collections::HashMap;
use std::time::Duration;

use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_types::{CallKey, Moment, Ran, Refusal, RefusalCode, TargetKey, Urgency};
use smallvec::SmallVec;

use super::Control;
use super::arrivals::{Choice, plain_placement, spread_hash};
use super::digests::LOAD_MAX_AGE;
use super::state::TargetState;
use crate::admission::Flow;
use crate::placement::{Candidate, Placement, Placer, memory_limit};
use crate::shortage::{self, Offer, Pace, PoolLoad, Returns, Terms, UrgencyClasses, Verdict};
use crate::stream_origins::StreamRequest;
use crate::{Action, Actions, Arrival, Call, retry};

/// The time between two looks at a call that is held back: about one tick of the control thread.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The time without a call that is held back or refused after which a period of scarce capacity has
/// ended, so that its log lines are few.
const PERIOD_GAP: Duration = Duration::from_secs(5);

/// Records what admission under scarce capacity needs; soft state.
#[derive(Debug, Default)]
pub(super) struct ShortageState {
    /// The urgencies of the models and services whose calls differ in urgency.
    classes: HashMap<TargetKind, UrgencyClasses>,
    paces: HashMap<(TargetKind, Urgency), Pace>,
    returns: HashMap<(TargetKind, Urgency), Returns>,
    /// The number of calls that were held back.
    pub(super) held: u64,
    /// The number of calls that were refused although a target was available.
    pub(super) refused: u64,
    /// The models and services for which calls were just held back or refused.
    scarce: HashMap<TargetKind, ScarcePeriod>,
}

/// Counts the calls that were held back and refused during one period of scarce capacity.
#[derive(Debug, Clone, Copy, Default)]
struct ScarcePeriod {
    last: Moment,
    held: u64,
    refused: u64,
    is_reported: bool,
}

impl ShortageState {
    /// Reads the urgencies of calls from a configuration.
    pub(super) fn apply_snapshot(&mut self, snapshot: &Snapshot) {
        let classes = snapshot.kinds();
        let classes = classes.filter_map(|k| Some((k, UrgencyClasses::of(snapshot, k)?)));
        self.classes = classes.collect();
        let classes = &self.classes;
        self.paces.retain(|(kind, _), _| classes.contains_key(kind));
        self.returns.retain(|(kind, _), _| classes.contains_key(kind));
    }

    fn count(&mut self, now: Moment, kind: TargetKind, held: u64, refused: u64) {
        (self.held, self.refused) = (self.held + held, self.refused + refused);
        let period = self.scarce.entry(kind).or_default();
        period.last = now;
        (period.held, period.refused) = (period.held + held, period.refused + refused);
    }
}

impl<P: Placer> Control<P> {
    /// Returns where an arriving call waits in the queue.
    pub(super) fn flow_of(&self, arrival: &Arrival) -> Flow {
        let is_on = self.shortage.classes.contains_key(&arrival.kind);
        let urgency = if is_on { arrival.options.urgency } else { Urgency::default() };
        Flow { urgency, account: arrival.account }
    }

    /// Returns whether a caller was asked to return with this request and does.
    pub(super) fn has_returned(&mut self, now: Moment, arrival: &Arrival) -> bool {
        let key = (arrival.kind, arrival.options.urgency);
        let request = arrival.options.content.request;
        let returns = self.shortage.returns.get_mut(&key);
        returns.zip(request).is_some_and(|(returns, request)| returns.take(now, request))
    }

    /// Lists the first waiting calls of all flows in the order in which they are considered.
    ///
    /// Calls that have waited for as long as they may be held back come first and in the order of
    /// their arrival, so that no urgency starves while all targets are busy.
    pub(super) fn ordered_heads(
        &self,
        now: Moment,
        kind: TargetKind,
    ) -> SmallVec<[(Flow, CallKey); 8]> {
        let heads = self.admission.heads(kind);
        if !self.shortage.classes.contains_key(&kind) {
            return heads.collect();
        }
        let overdue_since = |key: &CallKey| {
            let call = self.calls.get(key)?;
            (now.since(call.arrived) >= self.terms(now, call).max_hold()).then_some(call.arrived)
        };
        let is_due = |key: &CallKey| self.calls.get(key).is_none_or(|c| c.held_until <= now);
        let mut heads: SmallVec<[(Flow, CallKey); 8]> =
            heads.filter(|(_, key)| is_due(key)).collect();
        heads.sort_by_cached_key(|(_, key)| {
            overdue_since(key).map_or((1, Moment::default()), |at| (0, at))
        });
        heads
    }

    /// Records that a call is held back.
    pub(super) fn record_held(&mut self, now: Moment, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        let held = u64::from(call.held_until == call.arrived);
        call.held_until = now + RECHECK_INTERVAL;
        let kind = call.arrival.kind;
        self.shortage.count(now, kind, held, 0);
    }

    /// Decides on a call for a model; `None` if that is left to the placer.
    pub(super) fn decide_prompt(
        &self,
        now: Moment,
        call: &Call,
        candidates: &[Candidate<'_>],
        placement: &Placement,
    ) -> Option<Verdict> {
        if !self.is_decided_here(call) || !self.knows_peer_loads(now, placement.target) {
            return None;
        }
        let chosen = candidates.iter().find(|c| c.key == placement.target)?;
        let rate = f64::from(chosen.target.prefill_tokens_per_second.max(1));
        let wait = prefill_wait(chosen) + chosen.overdue.as_secs_f64();
        let pace = self.shortage.paces.get(&(call.arrival.kind, call.arrival.options.urgency));
        let memory = call.expected_memory();
        let own_memory = f64::from(memory.0) * chosen.memory_per_token;
        let offer = Offer {
            wait,
            work: f64::from(placement.recompute.0) / rate * chosen.slowdown,
            first_token: placement.first_token.as_secs_f64() * chosen.slowdown
                + chosen.overdue.as_secs_f64(),
            rest: pace.map_or(0.0, Pace::rest),
            memory: chosen.memory_used,
            own_memory,
            memory_limit: memory_limit(memory),
        };
        let pool = PoolLoad::average(candidates.iter().map(|c| PoolLoad {
            wait: prefill_wait(c),
            memory: c.memory_used,
            slots: f64::from(c.calls) / f64::from(c.target.slots.max(1)),
        }));
        Some(shortage::decide(&self.terms(now, call), &pool, &offer))
    }

    /// Decides on a call for a plain service; `chosen` is the target for it, if one is available.
    pub(super) fn decide_plain(
        &self,
        now: Moment,
        call: &Call,
        candidates: &[Candidate<'_>],
        chosen: Option<&Candidate<'_>>,
    ) -> Result<Choice, Refusal> {
        let is_decided_here = self.is_decided_here(call);
        let Some(chosen) = chosen else {
            let terms = self.terms(now, call);
            if is_decided_here && terms.waited >= terms.in_time() {
                return Err(
                    retry::refusal_for(call, RefusalCode::Overloaded).retry_after(terms.max_hold())
                );
            }
            return Ok(Choice::AllBusy);
        };
        let placement = plain_placement(chosen.key);
        if !is_decided_here || !self.knows_peer_loads(now, chosen.key) {
            return Ok(Some(placement).into());
        }
        let pace = self.shortage.paces.get(&(call.arrival.kind, Urgency::default()));
        let seconds = pace.map_or(0.0, Pace::rest);
        let per_slot = |c: &Candidate<'_>| seconds / f64::from(c.target.slots.max(1));
        let wait = |c: &Candidate<'_>| {
            f64::from((c.calls + 1).saturating_sub(c.target.slots)) * per_slot(c)
        };
        let offer = Offer {
            wait: wait(chosen),
            work: per_slot(chosen),
            first_token: wait(chosen) + seconds,
            memory_limit: 1.0,
            ..Offer::default()
        };
        let loads = candidates.iter().map(|c| PoolLoad { wait: wait(c), ..PoolLoad::default() });
        let verdict = shortage::decide(&self.terms(now, call), &PoolLoad::average(loads), &offer);
        apply_verdict(verdict, placement)
    }

    /// Returns whether the decision on a call is not left to the placer.
    ///
    /// Further attempts follow the rules of retries, and the placer's. So do calls of peers, which may
    /// have been sent before, and streams that are resumed, whose callers already have a part.
    fn is_decided_here(&self, call: &Call) -> bool {
        let is_first = call.attempts() == 0 && call.ran() == Ran::No;
        let options = &call.arrival.options;
        let is_resumed = matches!(options.stream, Some(StreamRequest::Continue(_)));
        is_first
            && !options.is_detour
            && !is_resumed
            && self.shortage.classes.contains_key(&call.arrival.kind)
    }

    /// Returns whether the loads of other daemons at a target are known and recent.
    fn knows_peer_loads(&self, now: Moment, target: TargetKey) -> bool {
        let updated = self.targets.get(target).and_then(|state| state.foreign_updated);
        self.daemon_count <= 1 || updated.is_some_and(|at| now.since(at) < LOAD_MAX_AGE)
    }

    fn terms(&self, now: Moment, call: &Call) -> Terms {
        let arrival = &call.arrival;
        let timeout = arrival.deadline.since(call.arrived);
        let classes = self.shortage.classes.get(&arrival.kind);
        let draw = spread_hash(arrival.call, &self.identity.vm) >> 11;
        Terms {
            class: classes.map(|c| c.class(arrival.options.urgency)).unwrap_or_default(),
            objective: arrival.options.first_token_objective.unwrap_or(timeout),
            timeout,
            waited: now.since(call.arrived),
            returned: call.returned,
            draw: draw as f64 / (1_u64 << 53) as f64,
        }
    }

    /// Delays the return of a caller that is refused while capacity is scarce behind the returns of
    /// those before, and remembers its request.
    pub(super) fn space_return(&mut self, now: Moment, key: CallKey, refusal: Refusal) -> Refusal {
        let Some(call) = self.calls.get(&key).filter(|call| self.is_decided_here(call)) else {
            return refusal;
        };
        let after = refusal.retry_after.filter(|_| refusal.code == RefusalCode::Overloaded);
        let Some(after) = after else {
            return refusal;
        };
        let flow = (call.arrival.kind, call.arrival.options.urgency);
        let (request, limit) =
            (call.arrival.options.content.request, self.terms(now, call).timeout);
        let interval = self.shortage.paces.get(&flow).map_or(Duration::ZERO, |p| p.interval(now));
        let returns = self.shortage.returns.entry(flow).or_default();
        let delay = returns.space(now, after, interval, limit);
        if let Some(request) = request {
            returns.remember(now, request, delay);
        }
        self.shortage.count(now, flow.0, 0, 1);
        refusal.retry_after(delay)
    }

    /// Reports the begin of periods of scarce capacity, and their end once no call was held back or
    /// refused for some seconds.
    pub(super) fn report_shortages(&mut self, now: Moment, actions: &mut Actions) {
        let Some(snapshot) = self.snapshot.as_ref().filter(|_| !self.shortage.scarce.is_empty())
        else {
            return;
        };
        self.shortage.scarce.retain(|kind, period| {
            let has_ended = now.since(period.last) >= PERIOD_GAP;
            if has_ended || !period.is_reported {
                period.is_reported = true;
                let ScarcePeriod { held, refused, .. } = *period;
                let name = snapshot.kind_name(*kind).unwrap_or_default();
                actions.push(Action::ReportShortage { name, has_ended, held, refused });
            }
            !has_ended
        });
    }

    /// Counts a call that is sent, for the learned pace.
    pub(super) fn record_sent(&mut self, now: Moment, kind: TargetKind, urgency: Urgency) {
        if self.shortage.classes.contains_key(&kind) {
            self.shortage.paces.entry((kind, urgency)).or_default().record_sent(now);
        }
    }

    /// Learns from a complete call how long calls run.
    pub(super) fn record_pace(&mut self, now: Moment, key: CallKey, target: TargetKey) {
        let Some(call) = self.calls.get(&key) else { return };
        let (kind, urgency) = (call.arrival.kind, call.arrival.options.urgency);
        if !self.shortage.classes.contains_key(&kind) {
            return;
        }
        match (kind, call.first_token) {
            (TargetKind::Engine(_), Some(first_token)) => {
                let Some(rest) = self.time_awake(now, first_token) else { return };
                let pace = self.shortage.paces.entry((kind, urgency)).or_default();
                pace.record_rest(rest);
            }
            (TargetKind::Engine(_), None) => {}
            (TargetKind::Service(_), _) => {
                let slots = self.snapshot.as_ref().and_then(|s| s.targets.get(target));
                let slots = slots.map_or(1, |t| t.slots.max(1));
                let calls = self.targets.get(target).map_or(0, TargetState::calls) + 1;
                let alone = f64::from(slots) / f64::from(slots.max(calls));
                let Some(elapsed) = self.time_awake(now, call.dispatched) else { return };
                let pace = self.shortage.paces.entry((kind, Urgency::default())).or_default();
                pace.record_rest(elapsed.mul_f64(alone));
            }
        }
    }
}

/// Returns the seconds that an engine needs for the prompts that were sent to it before.
fn prefill_wait(candidate: &Candidate<'_>) -> f64 {
    let rate = f64::from(candidate.target.prefill_tokens_per_second.max(1));
    f64::from(candidate.backlog.0) / rate * candidate.slowdown
}

/// Returns what becomes of a call whose first attempt is not made yet.
pub(super) fn apply_verdict(verdict: Verdict, placement: Placement) -> Result<Choice, Refusal> {
    match verdict {
        Verdict::Send => Ok(Some(placement).into()),
        Verdict::Hold => Ok(Choice::Held),
        Verdict::Refuse(after) => Err(Refusal::not_run(RefusalCode::Overloaded).retry_after(after)),
    }
}
