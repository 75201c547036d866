//! Limits that targets name: what is known of them, this daemon's allowances, and calls that wait for
//! these.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cumintrail_config::{Snapshot, Target, TargetKind};
use cumintrail_types::{Moment, Refusal, RefusalCode, RequestRate, TargetKey};
use rand::Rng;

use super::Control;
use super::arrivals::TargetChoice;
use super::cold::ColdShare;
use crate::cold::ColdChange;
use crate::membership::Liveness;
use crate::placement::Placer;
use crate::target_limits::{Allowance, CallRate, ReportedLimit, Senders, TargetLimits, Tolerance};
use crate::{Action, Actions, Arrival, Call, LimitedTargetDump, NamedLimit, PeerDigest};

/// Rounds of digests that contain an own record of a limit, so that a lost one does no harm.
const OWN_REPORT_ROUNDS: u32 = 2;
/// Rounds in which a daemon passes on a record of a peer, where a round reaches only some daemons.
const RELAY_ROUNDS: u32 = 2;
/// Rounds of digests without one from a peer after which it counts as not heard of.
const HEARD_ROUNDS: u32 = 6;
/// The number of daemons that is assumed at least until others have had the time to be discovered.
const MIN_DAEMONS_AT_START: usize = 16;
/// The longest time after which a refused caller is asked to return.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(30);

/// Records the limits of targets, and the calls by which daemons divide them.
#[derive(Debug, Default)]
pub(super) struct LimitState {
    limits: TargetLimits,
    call_rates: HashMap<TargetKind, CallRate>,
    /// The calls a second that each peer last reported, by the hash of the model or service.
    peer_call_rates: HashMap<SocketAddr, (Moment, Vec<(u64, RequestRate)>)>,
    /// The time by which all callers may return that were refused because of limits.
    next_return: HashMap<TargetKind, Moment>,
    /// The number of calls that were refused because of limits.
    pub(super) refusals: u64,
    /// Targets that turned cold or warm since the last report.
    pub(super) cold_changes: Vec<ColdChange>,
}

impl LimitState {
    /// Returns whether a call has arrived here.
    pub(super) fn has_calls(&self) -> bool {
        !self.call_rates.is_empty()
    }
}

/// Describes what this daemon may send to the targets of a model or service that all have limits.
#[derive(Debug, Clone, Copy, Default)]
struct LimitedCapacity {
    /// The sum of this daemon's shares, in requests a second.
    share: f64,
    /// The sum of its credits.
    credit: f64,
    /// The time until one of the targets is warm and has no limit any more, if one is cold.
    until_warm: Option<Duration>,
}

impl LimitedCapacity {
    /// Returns the time until so much credit has grown, or a target has no limit any more.
    fn wait_for(&self, credit: f64) -> Duration {
        let wait = Duration::try_from_secs_f64(credit / self.share).unwrap_or(MAX_RETURN_DELAY);
        self.until_warm.map_or(wait, |until| until.min(wait))
    }
}

impl<P: Placer> Control<P> {
    /// Handles what a response says about the limit of its target; `sent` is when the request that
    /// it answers was sent.
    pub(super) fn handle_named_limit(
        &mut self,
        now: Moment,
        key: TargetKey,
        named: NamedLimit,
        sent: Moment,
    ) {
        let target = self.target_hash(key);
        let rounds = self.limit_report_rounds(OWN_REPORT_ROUNDS);
        let limits = &mut self.limit_state.limits;
        let is_change = match named {
            NamedLimit::Rate(rate) => limits.record_named(now, target, rate, rounds),
            NamedLimit::None => limits.record_unlimited(now, target, sent, rounds),
            NamedLimit::Unreadable => {
                limits.record_unreadable(target);
                false
            }
        };
        if is_change {
            self.send_digest_soon(now);
            self.refresh_allowances(now);
        }
    }

    /// Counts an arrival for the division of limits.
    pub(super) fn record_call_rate(&mut self, now: Moment, kind: TargetKind) {
        self.limit_state.call_rates.entry(kind).or_default().record(now);
    }

    pub(super) fn take_limit_reports(&mut self, now: Moment) -> Vec<ReportedLimit> {
        self.limit_state.limits.take_reports(now)
    }

    /// Returns the calls a second that arrive here for each model and service, by the hash of its
    /// name; only while some target has a limit.
    pub(super) fn call_rates(&self, now: Moment) -> Vec<(u64, RequestRate)> {
        let Some(snapshot) = self.snapshot.as_ref().filter(|_| !self.limit_state.limits.is_empty())
        else {
            return Vec::new();
        };
        let calls = |kind: TargetKind| RequestRate::from_per_second(self.call_rate(now, kind));
        snapshot.kinds().map(|kind| (self.pool_hash(kind), calls(kind))).collect()
    }

    /// Returns the calls a second that arrive here for a model or service.
    fn call_rate(&self, now: Moment, kind: TargetKind) -> f64 {
        let rate = self.limit_state.call_rates.get(&kind);
        rate.map_or(0.0, |rate| rate.per_second(now))
    }

    pub(super) fn record_limit_reports(&mut self, now: Moment, digest: &PeerDigest) {
        if let Some(address) = digest.address.filter(|_| !digest.call_rates.is_empty()) {
            let rates = digest.call_rates.clone();
            self.limit_state.peer_call_rates.insert(address, (now, rates));
        }
        let is_sampled = !self.membership.is_full_mesh(self.identity.address);
        let rounds = if is_sampled { RELAY_ROUNDS } else { 0 };
        let mut is_change = false;
        for report in &digest.limits {
            is_change |= self.limit_state.limits.apply_report(now, *report, rounds);
        }
        if is_change {
            self.refresh_allowances(now);
        }
        if is_change && is_sampled {
            self.send_digest_soon(now);
        }
    }

    /// Updates this daemon's share of each limit by what is known of the other daemons.
    pub(super) fn refresh_allowances(&mut self, now: Moment) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let max_age = self.heard_max_age();
        self.limit_state.peer_call_rates.retain(|_, (at, _)| now.since(*at) < max_age);
        let mut senders: HashMap<TargetKind, Senders> = HashMap::new();
        let mut cold_senders: Option<Senders> = None;
        let has_named = !self.limit_state.limits.is_empty();
        for (key, target) in snapshot.targets.iter().filter(|(_, t)| !t.retired) {
            let state = self.targets.get(key);
            let has_none = state.is_none_or(|state| state.allowance.is_none());
            let may_be_cold = self.cold_tolerance.is_some()
                && state.is_some_and(|state| state.cold_until.is_some_and(|until| until > now));
            if has_none && !has_named && !may_be_cold {
                continue;
            }
            let rate = self.limit_state.limits.rate(self.target_hash(key));
            let named = rate.map(|rate| {
                let senders =
                    senders.entry(target.kind).or_insert_with(|| self.senders(now, target.kind));
                senders.own_share(target.address, rate)
            });
            let cold = may_be_cold.then(|| {
                let senders = cold_senders.get_or_insert_with(|| self.cold_senders());
                self.cold_share(now, &snapshot, target, key, senders)
            });
            self.set_allowance(now, key, named, cold.flatten());
        }
    }

    /// Sets this daemon's allowance for a target by its share of the limit that the target names and
    /// by that of a cold target, of which the lower one applies.
    fn set_allowance(
        &mut self,
        now: Moment,
        key: TargetKey,
        named: Option<f64>,
        cold: Option<ColdShare>,
    ) {
        self.note_cold(key, cold);
        let is_limited = named.is_some() || cold.is_some();
        let random = if is_limited { self.rng.random_range(0.0..1.0) } else { 0.0 };
        let Some(state) = self.targets.get_mut(key) else {
            return;
        };
        let saved = Tolerance::NAMED.credit_seconds;
        state.allowance = match (state.allowance, named, cold) {
            (_, None, None) => None,
            (Some(mut allowance), Some(share), None) => {
                allowance.set_share(now, share, saved);
                Some(allowance)
            }
            (None, Some(share), None) => Some(Allowance::new(now, share, saved, random)),
            (allowance, named, Some(cold)) => {
                let share = named.map_or(cold.share, |named| named.min(cold.share));
                Some(cold_allowance(now, allowance, share, random))
            }
        };
    }

    /// Returns whether this daemon limits its requests to some target.
    fn has_limits(&self) -> bool {
        !self.limit_state.limits.is_empty() || self.cold_count() > 0
    }

    /// Forgets limits of targets that are gone.
    pub(super) fn expire_limits(&mut self, now: Moment) {
        let snapshot = self.snapshot.as_ref();
        let listed = snapshot.into_iter().flat_map(|s| s.targets.iter());
        let listed = listed.filter(|(_, target)| !target.retired);
        let listed: Vec<u64> = listed.map(|(key, _)| self.target_hash(key)).collect();
        self.limit_state.limits.expire(now, |target| listed.contains(&target));
    }

    pub(super) fn report_limit_changes(&mut self, actions: &mut Actions) {
        let changes = self.limit_state.limits.take_changes();
        actions.extend(changes.into_iter().map(Action::ReportLimit));
    }

    /// Describes the targets with a limit, for operators.
    pub(super) fn describe_limited_targets(
        &self,
        now: Moment,
        snapshot: &Snapshot,
    ) -> Vec<LimitedTargetDump> {
        let limited = snapshot.targets.iter().filter_map(|(key, target)| {
            let allowance = self.targets.get(key)?.allowance?;
            let hash = self.target_hash(key);
            Some(LimitedTargetDump {
                name: target.name.clone(),
                limit: self.limit_state.limits.rate(hash)?.per_second(),
                share: allowance.share(),
                credit: allowance.credit_at(now),
                age_ms: self.limit_state.limits.age(now, hash)?.as_millis() as u64,
            })
        });
        limited.collect()
    }

    /// Returns the number of targets with a limit, and the sum of this daemon's shares of them.
    pub(super) fn limit_counts(&self) -> (usize, f64) {
        let limited = self.targets.iter().filter(|(_, state)| state.allowance.is_some());
        let named = limited.filter(|(key, state)| {
            !state.is_cold || self.limit_state.limits.rate(self.target_hash(*key)).is_some()
        });
        let allowances = named.filter_map(|(_, state)| state.allowance);
        allowances.fold((0, 0.0), |(n, sum), allowance| (n + 1, sum + allowance.share()))
    }

    /// Excludes limited targets to which this daemon may send no request now.
    ///
    /// If no others are left, the call waits for the first of them where it can still be served in
    /// time, and is refused at once otherwise.
    pub(super) fn exclude_spent(
        &self,
        now: Moment,
        call: &Call,
        usable: Vec<TargetKey>,
    ) -> TargetChoice {
        let wait = |key: &TargetKey| {
            let allowance = self.targets.get(*key).and_then(|state| state.allowance);
            let wait = allowance.map_or(Some(Duration::ZERO), |allowance| allowance.wait(now));
            let until_warm = self.time_until_warm(now, *key);
            wait.into_iter().chain(until_warm).min()
        };
        let waits: Vec<Option<Duration>> = usable.iter().map(wait).collect();
        if waits.iter().all(|wait| *wait == Some(Duration::ZERO)) {
            return TargetChoice::Usable(usable);
        }
        let available =
            usable.iter().zip(&waits).filter(|(_, wait)| **wait == Some(Duration::ZERO));
        let available: Vec<TargetKey> = available.map(|(key, _)| *key).collect();
        if !available.is_empty() {
            return TargetChoice::Usable(available);
        }
        let first = waits.into_iter().flatten().min().unwrap_or(MAX_RETURN_DELAY);
        TargetChoice::wait_or_refuse(now, &call.arrival, first)
    }

    /// Prefers targets without a limit for a further attempt, which should not use up what first
    /// attempts could.
    pub(super) fn prefer_unlimited(&self, call: &Call, usable: Vec<TargetKey>) -> Vec<TargetKey> {
        if call.attempts() == 0 {
            return usable;
        }
        let is_unlimited =
            |key: &TargetKey| self.targets.get(*key).is_some_and(|state| state.allowance.is_none());
        let unlimited: Vec<TargetKey> = usable.iter().copied().filter(is_unlimited).collect();
        if unlimited.is_empty() { usable } else { unlimited }
    }

    /// Refuses a call at once that would have to wait too long for the allowances of its targets.
    pub(super) fn check_limited_wait(
        &self,
        now: Moment,
        snapshot: &Snapshot,
        arrival: &Arrival,
        weight: u32,
    ) -> Result<(), Refusal> {
        let Some(capacity) = self.limited_capacity(now, snapshot, arrival.kind) else {
            return Ok(());
        };
        let flow = self.flow_of(arrival);
        let ahead = self.admission.calls_ahead_of(arrival.kind, flow, weight);
        let missing = (ahead + 1) as f64 - capacity.credit;
        if missing <= 0.0 {
            return Ok(());
        }
        let wait = capacity.wait_for(missing);
        match TargetChoice::wait_or_refuse(now, arrival, wait) {
            TargetChoice::Refuse(after) => {
                Err(Refusal::not_run(RefusalCode::Overloaded).retry_after(after))
            }
            _ => Ok(()),
        }
    }

    /// Returns whether calls wait for the allowances of the only targets of a model or service, so
    /// that further attempts would be at the cost of first ones.
    pub(super) fn is_limit_scarce(&self, now: Moment, kind: TargetKind) -> bool {
        let Some(snapshot) = &self.snapshot else {
            return false;
        };
        let capacity = self.limited_capacity(now, snapshot, kind);
        capacity.is_some_and(|capacity| capacity.credit < 1.0)
            && self.admission.waiting_for(kind) > 0
    }

    /// Delays the return of a caller whose call was refused because of limits behind the returns of
    /// those before.
    pub(super) fn delay_return(
        &mut self,
        now: Moment,
        kind: TargetKind,
        refusal: Refusal,
    ) -> Refusal {
        let Some(snapshot) = self.snapshot.clone() else {
            return refusal;
        };
        let after = refusal.retry_after.filter(|_| refusal.code == RefusalCode::Overloaded);
        let capacity = self.limited_capacity(now, &snapshot, kind);
        let Some((after, capacity)) = after.zip(capacity) else {
            return refusal;
        };
        self.limit_state.refusals += 1;
        let interval = capacity.wait_for(1.0);
        let next = self.limit_state.next_return.entry(kind).or_default();
        let due = (now + after).max(*next + interval);
        let delay = due.since(now);
        // From then on, the target takes calls of all callers.
        if let Some(until_warm) = capacity.until_warm.filter(|until| *until < delay) {
            return refusal.retry_after(until_warm);
        }
        if delay > MAX_RETURN_DELAY {
            return refusal.retry_after(MAX_RETURN_DELAY);
        }
        *next = due;
        refusal.retry_after(delay)
    }

    /// Returns what this daemon may send to the targets of a model or service; `None` if one of them
    /// has no limit.
    fn limited_capacity(
        &self,
        now: Moment,
        snapshot: &Snapshot,
        kind: TargetKind,
    ) -> Option<LimitedCapacity> {
        if !self.has_limits() {
            return None;
        }
        let is_used = |(key, target): &(TargetKey, &Target)| {
            let state = self.targets.get(*key);
            let is_live = state.is_some_and(|state| {
                state.liveness != Liveness::Silent && state.breaker.allows(now)
            });
            target.kind == kind
                && !target.retired
                && !target.leaving
                && !self.is_evacuated(target)
                && is_live
        };
        let mut capacity: Option<LimitedCapacity> = None;
        for (key, _) in snapshot.targets.iter().filter(is_used) {
            let allowance = self.targets.get(key).and_then(|state| state.allowance)?;
            let sum = capacity.get_or_insert_with(LimitedCapacity::default);
            sum.share += allowance.share();
            sum.credit += allowance.credit_at(now).max(0.0);
            let until_warm = self.time_until_warm(now, key);
            sum.until_warm = sum.until_warm.into_iter().chain(until_warm).min();
        }
        capacity
    }

    fn senders(&self, now: Moment, kind: TargetKind) -> Senders {
        let (own, max_age) = (self.identity.address, self.heard_max_age());
        let is_sampled = !self.membership.is_full_mesh(own);
        let is_heard = |last: Option<Moment>| last.is_some_and(|at| now.since(at) < max_age);
        let others = || self.membership.peers().filter(|(address, _)| *address != own);
        let heard = others().filter(|(_, peer)| {
            let is_usable = peer.liveness != Liveness::Silent && !peer.leaving;
            is_heard(peer.last_received) || (is_sampled && is_usable)
        });
        let pool = self.pool_hash(kind);
        let calls = |address: SocketAddr| {
            let (_, rates) = self.limit_state.peer_call_rates.get(&address)?;
            let calls = rates.iter().find(|(of, _)| *of == pool);
            Some(calls.map_or(0.0, |(_, calls)| calls.per_second()))
        };
        let peers = heard.map(|(address, _)| (address, calls(address))).collect();
        let known = others().count() + 1;
        let at_start = if self.knows_daemons { 0 } else { MIN_DAEMONS_AT_START };
        let daemons = if self.has_registry { self.daemon_count.max(at_start) } else { 0 };
        let own_calls = self.call_rate(now, kind);
        Senders { own, own_calls, peers, daemons: daemons.max(known) }
    }

    /// Returns the age up to which a peer's last digest shows that it hears this daemon's reports.
    pub(super) fn heard_max_age(&self) -> Duration {
        self.identity.digest_interval * HEARD_ROUNDS
    }

    fn limit_report_rounds(&self, rounds: u32) -> u32 {
        let own = self.identity.address;
        if self.membership.peers().any(|(address, _)| address != own) { rounds } else { 0 }
    }
}

/// Returns the allowance for a cold target, of which no credit is saved beyond one request.
///
/// An allowance that begins has little credit, or less than none: the target may have got warm
/// traffic within the last second. `random` is between zero and one, so that senders that learn of
/// the cold target together do not send together.
fn cold_allowance(now: Moment, known: Option<Allowance>, share: f64, random: f64) -> Allowance {
    let begin = Allowance::new(now, share, 0.0, random - 0.5);
    match known {
        // Credit of a daemon that is no sender any more would come on top of that of its successor.
        _ if share <= 0.0 => Allowance::new(now, 0.0, 0.0, 0.0),
        Some(mut allowance) if allowance.saves_nothing() => {
            allowance.set_share(now, share, 0.0);
            allowance
        }
        _ => begin,
    }
}
