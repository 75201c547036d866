//! Spillover between failure domains: the demand of each domain, and the domain of a call.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Snapshot, Target, TargetKind};
use cumintrail_types::{CallKey, DomainKey, Moment, RequestRate, TargetKey};
use smallvec::SmallVec;

use super::Control;
use super::arrivals::spread_hash;
use super::digests::MAX_LOAD_SCALE;
use super::state::TargetState;
use crate::membership::Liveness;
use crate::parts::name_hash;
use crate::placement::Placer;
use crate::spill::{
    DomainDemand, DomainDemands, DomainLoad, RecentRate, ServiceTimes, SpillChange, SpillPlan,
    crossing_seconds,
};
use crate::{Action, Actions, Arrival, Call, PeerDigest};

/// The limit of this daemon's calls at a target, as a multiple of the target's slots.
///
/// With one, few daemons hold calls back before a full target refuses any, and all of these are late
/// (9 daemons, demand 1.1 times what targets serve: 1,199 of 1,199 calls).
const QUEUE_FACTOR: u32 = 2;
/// The part of its objective for which a call waits for a slot in its failure domain, as a divisor.
const MAX_WAIT_DIVISOR: u32 = 4;
/// The change of the share of calls that leave from which it is logged.
const LOGGED_CHANGE: f64 = 0.25;

/// Records the calls to one plain service.
#[derive(Debug, Clone, Default)]
struct ServiceCalls {
    arrivals: RecentRate,
    times: ServiceTimes,
    /// The objective of the last call's route.
    objective: Duration,
    /// The share of calls that leave, as last logged.
    logged_leaving: f64,
}

/// Records what daemons report of the calls to plain services, and counts calls by domain.
#[derive(Debug, Default)]
pub(super) struct SpillState {
    services: HashMap<TargetKind, ServiceCalls>,
    /// The calls a second that each peer last reported, by the hash of the service.
    peer_rates: HashMap<SocketAddr, (Moment, Vec<(u64, RequestRate)>)>,
    demands: DomainDemands,
    /// Calls sent to targets of the own failure domain.
    pub(super) inside: u64,
    /// Calls sent to targets of other failure domains.
    pub(super) outside: u64,
}

impl<P: Placer> Control<P> {
    /// Returns the price of a megabyte to another failure domain; `None` if spillover is off.
    fn domain_traffic_weight(&self) -> Option<f64> {
        let weight = self.snapshot.as_ref()?.preset.domain_traffic_weight;
        (weight > 0.0).then_some(weight)
    }

    /// Returns the cost of sending a call to a target, if the target is in another failure domain.
    pub(super) fn crossing_seconds(
        &self,
        snapshot: &Snapshot,
        arrival: &Arrival,
        target: &Target,
    ) -> f64 {
        let is_outside = snapshot.domains.get(target.domain) != Some(&self.identity.domain);
        self.domain_traffic_weight().filter(|_| is_outside).map_or(0.0, |weight| {
            crossing_seconds(weight, arrival.options.body_bytes, spread_unit(arrival.call))
        })
    }

    /// Records the arrival of a call to a plain service.
    pub(super) fn record_service_arrival(&mut self, now: Moment, arrival: &Arrival) {
        if let TargetKind::Service(_) = arrival.kind {
            let calls = self.spill_state.services.entry(arrival.kind).or_default();
            calls.arrivals.record(now);
            let left = arrival.deadline.since(now);
            calls.objective = arrival.options.first_token_objective.unwrap_or(left);
        }
    }

    /// Records how long a call to a plain service took until the head of its response.
    pub(super) fn record_service_time(&mut self, now: Moment, key: CallKey) {
        let Some(call) = self.calls.get(&key) else { return };
        let kind = call.arrival.kind;
        let Some(elapsed) = self.time_awake(now, call.dispatched) else { return };
        let state = call.target().and_then(|key| self.targets.get(key));
        let declared = call.target().and_then(|key| self.snapshot.as_ref()?.targets.get(key));
        let Some((state, target)) = state.zip(declared) else { return };
        let load = f64::from(state.calls()) / f64::from(target.slots.max(1));
        if let Some(calls) = self.spill_state.services.get_mut(&kind) {
            calls.times.record(target.domain, elapsed, load, calls.objective);
        }
    }

    /// Counts a call that is sent to a target.
    pub(super) fn count_by_domain(&mut self, target: TargetKey) {
        let Some(snapshot) = &self.snapshot else { return };
        let domain = snapshot.targets.get(target).and_then(|t| snapshot.domains.get(t.domain));
        if domain == Some(&self.identity.domain) {
            self.spill_state.inside += 1;
        } else {
            self.spill_state.outside += 1;
        }
    }

    /// Returns the limit of this daemon's calls at a target of a plain service, as a multiple of its
    /// slots.
    pub(super) fn service_queue_factor(&self) -> u32 {
        if self.domain_traffic_weight().is_some() { QUEUE_FACTOR } else { 1 }
    }

    /// Plans where a call to a plain service goes; `None` if spillover is off.
    ///
    /// A busy target counts as usable: that a call leaves must not depend on how many calls this
    /// daemon alone has there, nor on one that was just refused.
    pub(super) fn plan_for_call(
        &self,
        now: Moment,
        snapshot: &Snapshot,
        arrival: &Arrival,
        usable: &[TargetKey],
    ) -> Option<SpillPlan> {
        self.domain_traffic_weight().filter(|_| matches!(arrival.kind, TargetKind::Service(_)))?;
        let targets = usable.iter().filter_map(|key| snapshot.targets.get(*key));
        Some(self.spill_plan(now, snapshot, arrival.kind, targets))
    }

    /// Keeps the targets of the failure domain that a plan chooses for a call, if one of them has a
    /// slot for this daemon, or else those of domains with room.
    ///
    /// While there is neither, a call waits for its domain for a part of its objective, and may go
    /// anywhere after that: others of the service wait behind it.
    pub(super) fn prefer_domains(
        &self,
        now: Moment,
        snapshot: &Snapshot,
        plan: Option<SpillPlan>,
        call: &Call,
        usable: Vec<TargetKey>,
    ) -> Vec<TargetKey> {
        let Some(plan) = plan else { return usable };
        let chosen = plan.choose(spread_unit(call.arrival.call));
        let domain = |key: &TargetKey| snapshot.targets.get(*key).map(|target| target.domain);
        let factor = self.service_queue_factor();
        let is_free = |key: &TargetKey| {
            let slots = snapshot.targets.get(*key).map_or(0, |target| target.slots * factor);
            self.targets.get(*key).is_some_and(|state| state.in_flight < slots)
        };
        let is_chosen = |key: &TargetKey| domain(key) == chosen;
        let has_room = |key: &TargetKey| domain(key).is_some_and(|domain| plan.has_room(domain));
        if usable.iter().any(|key| is_chosen(key) && is_free(key)) {
            return usable.into_iter().filter(is_chosen).collect();
        }
        if usable.iter().any(|key| has_room(key) && is_free(key)) {
            return usable.into_iter().filter(has_room).collect();
        }
        let objective = call.arrival.options.first_token_objective.unwrap_or_default();
        let may_wait = now.since(call.arrived) < objective / MAX_WAIT_DIVISOR;
        if may_wait && call.attempts() == 0 && usable.iter().any(is_chosen) {
            return usable.into_iter().filter(is_chosen).collect();
        }
        usable
    }

    fn spill_plan<'t>(
        &self,
        now: Moment,
        snapshot: &Snapshot,
        kind: TargetKind,
        targets: impl Iterator<Item = &'t Target>,
    ) -> SpillPlan {
        let own = snapshot.domain(&self.identity.domain);
        let mut loads: SmallVec<[DomainLoad; 4]> = SmallVec::new();
        // Other domains also send their calls while all of their targets are unusable.
        for (_, declared) in snapshot.targets.iter().filter(|(_, t)| t.kind == kind && !t.retired) {
            add_target(&mut loads, declared.domain, 0);
        }
        for target in targets {
            add_target(&mut loads, target.domain, target.slots);
        }
        let service = self.pool_hash(kind);
        let demand = |domain: &Arc<str>| self.spill_state.demands.get(now, service, domain);
        let own_demand = demand(&self.identity.domain).unwrap_or_default();
        let calls = self.spill_state.services.get(&kind);
        for load in &mut loads {
            // Calls stay while it is not known how many a target serves.
            let Some(seconds) = calls.and_then(|calls| calls.times.get(load.domain)) else {
                continue;
            };
            load.service_seconds = seconds;
            // Callers reach all domains alike, as far as nothing else is known.
            let known = snapshot.domains.get(load.domain).and_then(demand);
            load.demand = known.unwrap_or(own_demand);
        }
        SpillPlan::new(own, &loads, calls.map_or(Duration::ZERO, |calls| calls.objective))
    }

    /// Returns the calls a second to each plain service that arrive here.
    pub(super) fn service_rates(&self, now: Moment) -> Vec<(u64, RequestRate)> {
        if self.domain_traffic_weight().is_none() {
            return Vec::new();
        }
        let rate =
            |calls: &ServiceCalls| RequestRate::from_per_second(calls.arrivals.per_second(now));
        let services = self.spill_state.services.iter();
        let rates = services.map(|(kind, calls)| (self.pool_hash(*kind), rate(calls)));
        rates.filter(|(_, rate)| rate.0 > 0).collect()
    }

    /// Estimates the demand of the own failure domain and returns the demands for peers.
    pub(super) fn update_demands(
        &mut self,
        now: Moment,
        actions: &mut Actions,
    ) -> Vec<DomainDemand> {
        let Some(snapshot) = self.snapshot.clone().filter(|s| s.preset.domain_traffic_weight > 0.0)
        else {
            return Vec::new();
        };
        let max_age = self.heard_max_age();
        self.spill_state.peer_rates.retain(|_, (at, _)| now.since(*at) < max_age);
        let kinds: Vec<TargetKind> = self.spill_state.services.keys().copied().collect();
        for kind in kinds {
            let demand = self.own_domain_demand(now, &snapshot, kind);
            let (service, domain) = (self.pool_hash(kind), &self.identity.domain);
            self.spill_state.demands.set(now, service, domain, demand);
            self.log_leaving(now, &snapshot, kind, actions);
        }
        self.spill_state.demands.reports(now)
    }

    fn own_domain_demand(&self, now: Moment, snapshot: &Snapshot, kind: TargetKind) -> f64 {
        let service = self.pool_hash(kind);
        let reports = self.spill_state.peer_rates.iter().filter(|(from, _)| self.is_near(**from));
        let rate_in = |rates: &[(u64, RequestRate)]| {
            rates
                .iter()
                .filter(|(hash, _)| *hash == service)
                .map(|(_, r)| r.per_second())
                .sum::<f64>()
        };
        let (heard, rates) = reports
            .fold((1, 0.0), |(heard, sum), (_, (_, rates))| (heard + 1, sum + rate_in(rates)));
        let scale = self.domain_scale(now, heard);
        let own = self.spill_state.services.get(&kind);
        let own_rate = own.map_or(0.0, |calls| calls.arrivals.per_second(now));
        let arriving = (own_rate + rates) * scale;
        let own_key = snapshot.domain(&self.identity.domain);
        let time = own.zip(own_key).and_then(|(calls, domain)| calls.times.get(domain));
        let Some(((own, domain), service_seconds)) = own.zip(own_key).zip(time) else {
            return arriving;
        };
        let (mut calls, mut slots, mut targets) = (0.0, 0, 0);
        for (key, target) in self.serving_targets(snapshot, kind) {
            if target.domain == domain {
                calls += self.targets.get(key).map_or(0.0, |state| f64::from(state.calls()));
                (slots, targets) = (slots + target.slots, targets + 1);
            }
        }
        let load = DomainLoad { domain, slots, targets, demand: arriving, service_seconds };
        if slots == 0 { arriving } else { load.effective_demand(calls, own.objective) }
    }

    /// Estimates the calls of all peers at a target of a plain service; `None` if spillover is off.
    ///
    /// Most calls come from the target's own failure domain, so that peers that were heard stand for
    /// the others of their side only.
    pub(super) fn peer_calls(&self, now: Moment, target: &Target) -> Option<u32> {
        self.domain_traffic_weight().filter(|_| matches!(target.kind, TargetKind::Service(_)))?;
        let hash = name_hash(&target.name);
        let (mut near, mut far) = ((0, 0.0), (0, 0.0));
        for (from, (_, loads)) in &self.peer_loads {
            let calls = loads.iter().filter(|l| l.target_hash == hash).map(|l| f64::from(l.calls));
            let side = if self.is_near(*from) { &mut near } else { &mut far };
            *side = (side.0 + 1, side.1 + calls.sum::<f64>());
        }
        let near_scale = self.domain_scale(now, near.0 + 1);
        let others = self.daemon_count as f64 - near_scale * f64::from(near.0 + 1);
        let far_scale = (others / f64::from(far.0.max(1))).clamp(1.0, MAX_LOAD_SCALE);
        Some((near.1 * near_scale + far.1 * far_scale).round() as u32)
    }

    fn is_near(&self, peer: SocketAddr) -> bool {
        self.membership.domain_of(peer).is_some_and(|domain| *domain == self.identity.domain)
    }

    /// Returns the number of daemons of the own failure domain for each one of `heard`.
    fn domain_scale(&self, now: Moment, heard: u32) -> f64 {
        let own = self.identity.address;
        if self.membership.is_full_mesh(own) {
            return 1.0;
        }
        let sizes = self.membership.domain_sizes(now, own, &self.identity.domain);
        let size = sizes.iter().find(|size| size.domain == self.identity.domain);
        (size.map_or(1.0, |size| f64::from(size.daemons)) / f64::from(heard)).max(1.0)
    }

    /// Returns the targets of a service that respond and are not leaving.
    fn serving_targets<'s>(
        &'s self,
        snapshot: &'s Snapshot,
        kind: TargetKind,
    ) -> impl Iterator<Item = (TargetKey, &'s Target)> {
        let listed = snapshot.targets.iter();
        let listed = listed.filter(move |(_, t)| t.kind == kind && !t.retired && !t.leaving);
        let responds =
            |state: &TargetState| state.liveness != Liveness::Silent && !state.address_reused;
        listed.filter(move |(key, _)| {
            self.targets.get(*key).is_some_and(responds) && !self.is_leaving(*key)
        })
    }

    /// Reports a large change of the share of calls that leave the own failure domain.
    fn log_leaving(
        &mut self,
        now: Moment,
        snapshot: &Snapshot,
        kind: TargetKind,
        actions: &mut Actions,
    ) {
        let targets = self.serving_targets(snapshot, kind).map(|(_, target)| target);
        let leaving = self.spill_plan(now, snapshot, kind, targets).leaving();
        let Some(service) = self.pool_name(kind).cloned() else { return };
        let Some(calls) = self.spill_state.services.get_mut(&kind) else { return };
        let before = calls.logged_leaving;
        if (leaving - before).abs() >= LOGGED_CHANGE {
            calls.logged_leaving = leaving;
            actions.push(Action::ReportSpill(SpillChange { service, before, leaving }));
        }
    }

    /// Records what a peer reports of the calls to plain services.
    pub(super) fn record_domain_demands(&mut self, now: Moment, digest: &PeerDigest) {
        if self.domain_traffic_weight().is_none() {
            return;
        }
        if let Some(address) = digest.address {
            let rates = digest.service_rates.clone();
            self.spill_state.peer_rates.insert(address, (now, rates));
        }
        for report in digest.domain_demands.iter().filter(|r| r.domain != self.identity.domain) {
            self.spill_state.demands.record(now, report);
        }
    }
}

fn add_target(loads: &mut SmallVec<[DomainLoad; 4]>, domain: DomainKey, slots: u32) {
    if !loads.iter().any(|load| load.domain == domain) {
        loads.push(DomainLoad { domain, slots: 0, targets: 0, demand: 0.0, service_seconds: 1.0 });
    }
    if let Some(load) = loads.iter_mut().find(|load| load.domain == domain) {
        load.slots += slots;
        load.targets += u32::from(slots > 0);
    }
}

/// Returns the position of a call among all calls, from zero to one.
fn spread_unit(call: CallKey) -> f64 {
    (spread_hash(call, "failure domain") >> 11) as f64 / (1_u64 << 53) as f64
}
