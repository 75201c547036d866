//! Calls of a daemon that is partitioned from the targets, which its peers handle;
//! docs/DESIGN.md, "Detours".

use std::net::SocketAddr;
use std::time::Duration;

use cumintrail_config::TargetKind;
use cumintrail_types::{CallKey, Moment, RefusalCode, TargetKey};
use smallvec::SmallVec;

use super::Control;
use super::arrivals::spread_hash;
use crate::membership::{Liveness, Peer};
use crate::placement::Placer;
use crate::reach::{Reach, ReachChange, ReachScope};
use crate::retry::CircuitBreaker;
use crate::{Action, Actions, AttemptOutcome, Call, Detour, Phase, retry};

/// The most peers that one call is sent to.
const MAX_DETOURS: usize = 2;
/// The time from a peer's last digest from which it gets no calls.
const HELPER_MAX_AGE: Duration = Duration::from_secs(5);

impl<P: Placer> Control<P> {
    /// Sets the port on which this daemon handles calls of its peers; zero for none.
    pub const fn set_detour_port(&mut self, port: u16) {
        self.detour_port = port;
    }

    /// Records that a target accepted no connection.
    pub(super) fn record_no_connection(
        &mut self,
        now: Moment,
        target: TargetKey,
        actions: &mut Actions,
    ) {
        let domain = self.failover_domain(target).map(ReachScope::Domain);
        let kind = self.kind_of(target).map(ReachScope::Kind);
        for scope in kind.into_iter().chain(domain) {
            self.reach.entry(scope).or_default().record_failure(now, target);
            self.check_reach(now, scope, actions);
        }
    }

    /// Checks whether targets can be reached, where that is doubtful.
    pub(super) fn check_reaches(&mut self, now: Moment, actions: &mut Actions) {
        let scopes: SmallVec<[ReachScope; 8]> = self.reach.keys().copied().collect();
        for scope in scopes {
            self.check_reach(now, scope, actions);
        }
    }

    fn check_reach(&mut self, now: Moment, scope: ReachScope, actions: &mut Actions) {
        let (Some(snapshot), Some(reach)) = (&self.snapshot, self.reach.get_mut(&scope)) else {
            return;
        };
        let evacuated = &self.evacuation_state;
        let targets = snapshot.targets.iter();
        let usable = targets.filter(|(_, t)| {
            scope.contains(t) && !t.retired && !t.leaving && !evacuated.contains(t.domain)
        });
        let usable = usable.map(|(key, _)| key);
        if let Some(check) = reach.start_check(now, usable, &mut self.rng) {
            actions.push(Action::CheckReach { scope, check });
        }
    }

    pub(super) fn handle_reach(
        &mut self,
        now: Moment,
        scope: ReachScope,
        reached: &[TargetKey],
        actions: &mut Actions,
    ) {
        let Some(reach) = self.reach.get_mut(&scope) else {
            return;
        };
        let was_partitioned = reach.is_partitioned();
        let change = reach.record_check(now, reached);
        if was_partitioned {
            self.close_breakers(reached);
        }
        let Some(change) = change else {
            return self.check_reach(now, scope, actions);
        };
        if matches!(change, ReachChange::Restored { .. }) {
            self.close_unchecked_breakers(scope);
        }
        match scope {
            ReachScope::Kind(kind) => {
                self.send_digest_soon(now);
                let name = self.pool_name(kind).cloned().unwrap_or_default();
                actions.push(Action::ReportReach { name, change });
            }
            ReachScope::Domain(domain) => self.handle_domain_reach(domain, change, actions),
        }
    }

    /// Closes the breakers of targets whose failures were those of this daemon's network.
    fn close_breakers(&mut self, targets: &[TargetKey]) {
        for key in targets {
            if let Some(state) = self.targets.get_mut(*key) {
                state.breaker = CircuitBreaker::default();
            }
        }
    }

    /// Closes the breakers of targets that were not part of the check that ended a partition.
    fn close_unchecked_breakers(&mut self, scope: ReachScope) {
        let (Some(snapshot), Some(reach)) = (&self.snapshot, self.reach.get(&scope)) else {
            return;
        };
        let targets = snapshot.targets.iter().filter(|(_, target)| scope.contains(target));
        let targets = targets.map(|(key, _)| key).filter(|key| !reach.unreached().contains(key));
        self.close_breakers(&targets.collect::<Vec<_>>());
    }

    /// Records that a target accepts no connections after one to it broke, unless that is this
    /// daemon's own partition: then peers reach other targets of the model or service.
    pub(super) fn handle_unreachable_target(
        &mut self,
        now: Moment,
        target: TargetKey,
        actions: &mut Actions,
    ) {
        if self.has_registry {
            self.record_no_connection(now, target, actions);
        }
        let pool = self.kind_of(target).filter(|kind| self.is_partitioned(*kind));
        let pool = pool.map(|kind| self.pool_hash(kind));
        let is_own_partition = pool.is_some_and(|pool| {
            self.live_peers(now).any(|(_, peer)| !peer.partitioned.contains(&pool))
        });
        if !is_own_partition {
            self.record_unreachable_target(now, target);
        }
    }

    /// Returns the peers that recently sent a digest, by operator address.
    fn live_peers(&self, now: Moment) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        self.membership.peers().filter(move |(_, peer)| {
            peer.liveness == Liveness::Live
                && !peer.leaving
                && peer.last_received.is_some_and(|at| now.since(at) < HELPER_MAX_AGE)
        })
    }

    /// Returns the hashed names of the models and services from which it is partitioned.
    pub(super) fn partitioned_pools(&self) -> Vec<u64> {
        let partitioned = self.reach.iter().filter(|(_, reach)| reach.is_partitioned());
        let pools = partitioned.filter_map(|(scope, _)| match scope {
            ReachScope::Kind(kind) => Some(self.pool_hash(*kind)),
            ReachScope::Domain(_) => None,
        });
        pools.collect()
    }

    fn is_partitioned(&self, kind: TargetKind) -> bool {
        self.reach.get(&ReachScope::Kind(kind)).is_some_and(Reach::is_partitioned)
    }

    fn kind_of(&self, target: TargetKey) -> Option<TargetKind> {
        self.snapshot.as_ref()?.targets.get(target).map(|target| target.kind)
    }

    /// Returns the peer to handle a waiting call while this daemon is partitioned from the targets.
    pub(super) fn choose_helper(&self, now: Moment, call: &Call) -> Option<SocketAddr> {
        let may_detour = self.is_partitioned(call.arrival.kind)
            && !call.arrival.options.is_detour
            && call.phase() == Phase::Queued
            && call.tried_peers().len() < MAX_DETOURS;
        if !may_detour {
            return None;
        }
        let pool = self.pool_hash(call.arrival.kind);
        let is_near = |domain: &str| *domain == *self.identity.domain;
        let (mut helpers, mut partitioned_near) = (Vec::new(), 1);
        for (address, peer) in self.live_peers(now) {
            match peer.detour_port {
                _ if peer.partitioned.contains(&pool) => {
                    partitioned_near += usize::from(is_near(&peer.domain));
                }
                0 => {}
                port => helpers.push((SocketAddr::new(address.ip(), port), peer)),
            }
        }
        let near = helpers.iter().filter(|(_, peer)| is_near(&peer.domain)).count();
        // A few helpers could not carry the calls of most of their domain.
        let only_near = near >= partitioned_near;
        let usable = helpers.into_iter().filter(|(address, peer)| {
            (!only_near || is_near(&peer.domain))
                && !call.tried_peers().contains(address)
                && self.may_forward_to(call, peer)
        });
        let helper = usable.min_by_key(|(_, peer)| spread_hash(call.arrival.call, &peer.vm));
        helper.map(|(address, _)| address)
    }

    pub(super) fn start_detour(
        &mut self,
        now: Moment,
        key: CallKey,
        peer: SocketAddr,
        actions: &mut Actions,
    ) {
        if let Some(call) = self.calls.get_mut(&key) {
            let attempt = call.start_detour(peer, now);
            actions.push(Action::Detour(Detour { call: key, attempt, peer }));
        }
    }

    /// Ends the call unless another peer may handle it.
    pub(super) fn handle_detour_end(
        &mut self,
        now: Moment,
        key: CallKey,
        outcome: AttemptOutcome,
        actions: &mut Actions,
    ) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        match outcome {
            AttemptOutcome::Completed(_) | AttemptOutcome::RespondedLocally => {
                return self.end_call(key);
            }
            AttemptOutcome::Failed { .. } | AttemptOutcome::Abandoned { was_sent: true, .. } => {
                call.record_failed_attempt();
            }
            AttemptOutcome::NotSent
            | AttemptOutcome::NoConnection
            | AttemptOutcome::Unidentified { .. }
            | AttemptOutcome::Abandoned { .. }
            | AttemptOutcome::RefusedByTarget { .. } => call.record_unexecuted_attempt(),
        }
        if retry::may_retry(call, outcome, now) {
            self.backing_off.push((now, key));
            return self.requeue_due(now, actions);
        }
        let refusal = retry::refusal_for(call, RefusalCode::TargetFailed);
        self.end_call(key);
        actions.push(Action::Refuse { call: key, refusal });
    }
}
