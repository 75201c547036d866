//! Digests: what this daemon sends to peers and how it applies theirs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::Moment;
use rand::Rng;
use rand::seq::IteratorRandom;

use super::Control;
use crate::membership::Liveness;
use crate::parts::name_hash;
use crate::placement::Placer;
use crate::retry::RetryPolicy;
use crate::stream_origins::StreamOrigin;
use crate::{Action, Actions, PeerDigest, TargetLoad};

/// Minimum time between two rounds of digests, even if changes are urgent.
const MIN_DIGEST_GAP: Duration = Duration::from_millis(100);
/// Maximum number of peers that one digest lists.
const MAX_ADVERTISED_PEERS: usize = 12;
/// How long a peer is listed in digests after its own last digest.
const ADVERTISED_PEER_MAX_AGE: Duration = Duration::from_secs(5);
/// How long the loads in a peer's digest count after they were received.
pub(super) const LOAD_MAX_AGE: Duration = Duration::from_millis(1_500);
/// Maximum number of daemons that one with recently received loads stands for.
pub(super) const MAX_LOAD_SCALE: f64 = 16.0;
/// Time from the start of a process, without a suspension, after which its count of daemons is
/// complete.
const PEER_DISCOVERY_TIME: Duration = Duration::from_secs(5);
/// The number of daemons that is assumed until then: more than any deployment has.
pub(super) const MAX_DAEMONS: usize = 1_000;
/// Rounds of digests in which a daemon passes on the origin of a stream that a peer reported.
const RELAYED_ORIGIN_ROUNDS: u32 = 1;
/// Maximum number of client accounts whose calls one digest reports, the busiest first.
const MAX_REPORTED_ACCOUNTS: usize = 64;

impl<P: Placer> Control<P> {
    /// Brings the next digests forward, since peers should soon receive a change.
    pub(super) fn send_digest_soon(&mut self, now: Moment) {
        let soonest = now.max(self.last_digest + MIN_DIGEST_GAP);
        self.next_digest = self.next_digest.min(soonest);
    }

    pub(super) fn send_digests(&mut self, now: Moment, actions: &mut Actions) {
        if self.next_digest > now {
            return;
        }
        self.last_digest = now;
        let interval = self.identity.digest_interval;
        self.next_digest = now + interval.mul_f64(self.rng.random_range(0.9..1.1));
        let (own, domain) = (self.identity.address, self.identity.domain.clone());
        self.share_limits(now, actions);
        self.refresh_allowances(now);
        let full_mesh = self.membership.is_full_mesh(own);
        let gets_origins = |of_peer: &Arc<str>| full_mesh || *of_peer == domain;
        let common = PeerDigest {
            vm: self.identity.vm.clone(),
            domain: domain.clone(),
            incarnation: self.identity.incarnation,
            sent: now,
            echo: None,
            address: Some(own),
            generation: self.generation(),
            freshness: self.freshness(now),
            leaving: Vec::new(),
            targets: Vec::new(),
            stored: std::mem::take(&mut self.newly_stored),
            demand: self.account_demand(),
            versions: self.version_announcements(now),
            announced_leaving: self.announced_leaving(),
            loads: self.own_loads(now),
            processor_share: self.identity.processor_share,
            domain_sizes: self.membership.domain_sizes(now, own, &domain),
            stream_origins: self.take_stream_origins(own, gets_origins),
            software: self.reported_software(now),
            quarantine: self.take_quarantine_report(now),
            limits: self.take_limit_reports(now),
            call_rates: self.call_rates(now),
            service_rates: self.service_rates(now),
            domain_demands: self.update_demands(now, actions),
            peers: self.peers_to_advertise(now),
            detour_port: self.detour_port,
            partitioned: self.partitioned_pools(),
            evacuations: self.evacuation_reports(now),
        };
        for to in self.membership.choose_peers(own, &domain, &mut self.rng) {
            let mut digest = common.clone();
            if !self.membership.domain_of(to).is_some_and(gets_origins) {
                digest.stream_origins.clear();
            }
            self.membership.fill_digest(now, to, &mut digest);
            actions.push(Action::SendDigest { to, digest: Box::new(digest) });
        }
    }

    /// Takes the origins of streams for a round of digests; they stay pending while no peer would get
    /// them.
    fn take_stream_origins(
        &mut self,
        own: SocketAddr,
        gets_origins: impl Fn(&Arc<str>) -> bool,
    ) -> Vec<StreamOrigin> {
        let others = self.membership.peers().filter(|(address, _)| *address != own);
        let mut usable = others.filter(|(_, peer)| peer.liveness != Liveness::Silent);
        if usable.any(|(_, peer)| gets_origins(&peer.domain)) {
            return self.stream_origins.take_reports();
        }
        Vec::new()
    }

    /// Records the origins of streams in a peer's digest.
    ///
    /// Where a round of digests reaches only some of the peers, those of a failure domain pass
    /// origins on among themselves. Callers retry within a domain, so that others need none.
    fn record_stream_origins(&mut self, now: Moment, digest: &PeerDigest) {
        let sampled = !self.membership.is_full_mesh(self.identity.address);
        let passes_on = sampled && digest.domain == self.identity.domain;
        for origin in &digest.stream_origins {
            let rounds = if passes_on { RELAYED_ORIGIN_ROUNDS } else { 0 };
            self.stream_origins.record(now, origin.clone(), rounds);
        }
    }

    /// Divides the retry policy of the whole deployment among the present daemons and assigns the
    /// readers of the platform, where a registry lists the targets.
    fn share_limits(&mut self, now: Moment, actions: &mut Actions) {
        if !self.has_registry {
            return;
        }
        let (own, domain) = (self.identity.address, &self.identity.domain);
        let candidate = (own, self.identity.processor_share);
        let assignment = self.membership.assign_readers(now, candidate, domain, self.may_follow);
        let daemons = self.membership.daemon_count(now, own, domain);
        // Nothing is discovered during a suspension, which may be just after the start.
        let knows_daemons = self.knows_daemons || now.since(self.resumed_at) >= PEER_DISCOVERY_TIME;
        if (daemons, knows_daemons) != (self.daemon_count, self.knows_daemons) {
            (self.daemon_count, self.knows_daemons) = (daemons, knows_daemons);
            self.set_retry_policy(self.retry_policy);
        }
        if assignment != self.reader_assignment {
            self.reader_assignment = assignment.clone();
            actions.push(Action::AssignReaders(assignment));
        }
    }

    /// Returns this daemon's share of the retry policy, divided among all daemons.
    pub(super) fn own_retry_policy(&self) -> RetryPolicy {
        // Many daemons may start at once, and each discovers the others within this time.
        let daemons = if self.knows_daemons { self.daemon_count } else { MAX_DAEMONS };
        self.retry_policy.per_daemon(daemons)
    }

    /// Returns this daemon's load on each target that a registry lists.
    fn own_loads(&self, now: Moment) -> Vec<TargetLoad> {
        let snapshot = self.snapshot.as_deref().filter(|_| self.has_registry);
        let targets = snapshot.into_iter().flat_map(|s| s.targets.iter());
        let busy = targets.filter_map(|(key, target)| {
            let state = self.targets.get(key).filter(|state| state.in_flight > 0)?;
            Some(TargetLoad {
                target_hash: name_hash(&target.name),
                calls: state.in_flight,
                backlog: state.own_backlog(now, target.prefill_tokens_per_second),
                memory: state.memory,
            })
        });
        busy.collect()
    }

    /// Records a peer's loads, and estimates the load of all peers on each target.
    ///
    /// In a larger deployment each peer sends a digest to only some of the others at a time.
    /// Callers reach all daemons alike, so the recently received loads are scaled up to all peers.
    fn record_peer_loads(&mut self, now: Moment, from: SocketAddr, loads: &[TargetLoad]) {
        self.peer_loads.insert(from, (now, loads.to_vec()));
        self.peer_loads.retain(|_, (at, _)| now.since(*at) < LOAD_MAX_AGE);
        let mut sums: HashMap<u64, TargetLoad> = HashMap::new();
        for load in self.peer_loads.values().flat_map(|(_, loads)| loads) {
            let sum = sums.entry(load.target_hash).or_default();
            sum.calls += load.calls;
            sum.backlog += load.backlog;
            sum.memory += load.memory;
        }
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let others = self.daemon_count.saturating_sub(1);
        let scale = others as f64 / self.peer_loads.len().max(1) as f64;
        for (key, target) in snapshot.targets.iter().filter(|(_, t)| !t.retired) {
            let load = sums.get(&name_hash(&target.name)).copied().unwrap_or_default();
            let mut load = load.scaled(scale.clamp(1.0, MAX_LOAD_SCALE));
            load.calls = self.peer_calls(now, target).unwrap_or(load.calls);
            if let Some(state) = self.targets.get_mut(key) {
                state.record_foreign_load(now, load);
            }
        }
    }

    /// Chooses recently active peers to list in a digest where no VM list names them.
    fn peers_to_advertise(&mut self, now: Moment) -> Vec<(SocketAddr, Arc<str>)> {
        if !self.has_registry {
            return Vec::new();
        }
        let fresh = self.membership.peers().filter(|(_, peer)| {
            peer.last_received.is_some_and(|at| now.since(at) < ADVERTISED_PEER_MAX_AGE)
        });
        let fresh = fresh.map(|(address, peer)| (address, peer.domain.clone()));
        fresh.choose_multiple(&mut self.rng, MAX_ADVERTISED_PEERS)
    }

    /// Counts the calls of each client account in this daemon, waiting ones included.
    fn account_demand(&self) -> Vec<(Arc<str>, u32)> {
        let accounts = self.snapshot.iter().flat_map(|s| s.accounts.iter());
        let mut demand: Vec<(Arc<str>, u32)> = accounts
            .map(|(key, account)| (account.name.clone(), self.admission.in_flight(key)))
            .filter(|(_, calls)| *calls > 0)
            .collect();
        demand.sort_unstable_by_key(|(_, calls)| std::cmp::Reverse(*calls));
        demand.truncate(MAX_REPORTED_ACCOUNTS);
        demand
    }

    pub(super) fn handle_digest(
        &mut self,
        now: Moment,
        digest: &PeerDigest,
        actions: &mut Actions,
    ) {
        self.record_peer_reads(now, digest, actions);
        for update in self.membership.record_digest(now, digest) {
            self.apply_target_update(now, &update);
        }
        // An echo to an earlier incarnation of this daemon uses that incarnation's clock.
        let own = self.identity.incarnation;
        let echo = digest.echo.filter(|echo| echo.incarnation == own && echo.sent <= now);
        if let Some((address, echo)) = digest.address.zip(echo) {
            self.membership.record_echo(address, echo.sent);
        }
        if !digest.leaving.is_empty() {
            self.send_digest_soon(now);
        }
        self.record_announcements(now, &digest.versions, actions);
        self.record_announced_leaving(&digest.announced_leaving);
        self.record_stream_origins(now, digest);
        self.record_reported_software(now, digest);
        self.record_quarantine_report(now, digest);
        self.record_limit_reports(now, digest);
        self.record_evacuation_reports(now, digest, actions);
        self.record_domain_demands(now, digest);
        if let Some(from) = digest.address.filter(|_| self.has_registry) {
            self.record_peer_loads(now, from, &digest.loads);
        }
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        for (address, sealed, tier) in &digest.stored {
            let store = snapshot.stores.iter().find(|(_, s)| s.address == *address);
            if let Some((store, _)) = store {
                let block = crate::directory::StoredBlock { store, sealed: *sealed, tier: *tier };
                self.directory.add_stored(block);
            }
        }
    }
}
