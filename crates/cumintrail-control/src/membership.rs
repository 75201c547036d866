//! Tracks which targets, stores and peers take part; docs/DESIGN.md, "Membership".
//!
//! Daemons send each other digests that contain only changes: a few peers are chosen each time, and
//! each is sent what changed since the last digest to it. If a peer does not accept a digest, the
//! next one repeats its changes.

mod leaving;
mod read_schedule;
mod readers;
mod rendezvous;
mod target_updates;
mod versioned_list;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::{Generation, Incarnation, Moment};
use rand::Rng;
use rand::seq::IteratorRandom;

use self::leaving::LeavingTargets;
pub use self::read_schedule::ReadSchedule;
pub use self::rendezvous::{is_selected, weight as rendezvous_weight};
use self::target_updates::TargetUpdates;
pub use self::versioned_list::{VersionedVmList, VmChanges};
use crate::{Echo, PeerDigest, TargetReport, TargetUpdate, VmEntry, VmRole, VmState};

/// Consecutive failed digests after which a peer counts as silent.
const SILENT_AFTER_FAILURES: u32 = 2;
/// Digest rounds between two attempts to reach a silent peer.
const SILENT_RETRY_ROUNDS: u64 = 4;
/// Number of peers up to which each digest is sent to all of them.
const MAX_FULL_MESH_PEERS: usize = 8;
/// Number of peers of the own failure domain that a digest is sent to.
const SAME_DOMAIN_FANOUT: usize = 3;
/// Time from the last digest of a peer that the VM list does not contain until its removal.
const UNLISTED_PEER_RETENTION: Duration = Duration::from_secs(60);
/// How long a peer's demand counts after its last digest.
const DEMAND_MAX_AGE: Duration = Duration::from_secs(10);

/// Hashed in place of a target address to rank the daemons for the lease.
const LEASE_HASH_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Hashed in place of a target address to select the daemons that read the platform.
const PLATFORM_HASH_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 1);

/// Describes whether a process responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Liveness {
    /// Not determined yet.
    #[default]
    Unknown,
    /// Responds.
    Live,
    /// Did not respond to the last requests.
    Silent,
}

/// Describes a peer daemon.
#[derive(Debug, Clone, Default)]
pub struct Peer {
    /// Its VM name; empty until it sends a digest.
    pub vm: Arc<str>,
    /// Its failure domain; empty until it is known.
    pub domain: Arc<str>,
    /// The processor share of its VM, in thousandths of a core; zero until it sends a digest.
    pub processor_share: u16,
    /// The incarnation that sent its last digest.
    pub incarnation: Incarnation,
    /// The highest generation that this incarnation reported.
    pub generation: Generation,
    /// When its last digest was received.
    pub last_received: Option<Moment>,
    /// When this daemon sent the latest digest that the peer echoed; the echo was sent after it.
    pub last_echoed: Option<Moment>,
    /// Identifies the last digest received from it, to be echoed in the next one to it.
    to_echo: Option<Echo>,
    /// Whether it responds to digests.
    pub liveness: Liveness,
    /// Whether the VM list marks it as about to be stopped.
    pub leaving: bool,
    /// The calls per client account that it last reported.
    pub demand: Vec<(Arc<str>, u32)>,
    /// The port on which it handles calls of its peers; zero for none.
    pub detour_port: u16,
    /// The models and services from which it is partitioned, by the hash of their names.
    pub partitioned: Vec<u64>,
    /// Whether the last VM list contains it; the settings count as the list before the first.
    listed: bool,
    /// Consecutive failed digests.
    failures: u32,
    /// Number of the last change that was sent to it.
    last_sent_change: u64,
    /// Value of `last_sent_change` before the last digest, restored if that digest fails.
    previous_sent_change: u64,
    /// Whether its present incarnation was sent a digest.
    first_digest_sent: bool,
}

/// Tracks peers, leaving targets and the latest update of each target.
#[derive(Debug, Default)]
pub struct Membership {
    list_sequence: u64,
    peers: BTreeMap<SocketAddr, Peer>,
    /// The number of daemons of each failure domain, and when one of its daemons counted them.
    domain_counts: BTreeMap<Arc<str>, (u32, Moment)>,
    leaving: LeavingTargets,
    target_updates: TargetUpdates,
    /// Number of the last change; each peer is sent those after the last one sent to it.
    last_change: u64,
    /// Values of `last_change` at the last two calls of [`Membership::expire`], the older first.
    change_at_previous_expiry: u64,
    change_at_last_expiry: u64,
    /// Digest rounds so far.
    rounds: u64,
}

impl Membership {
    /// Applies a VM list, unless a newer one was applied before.
    ///
    /// If the list newly marks a target or store as leaving, the incarnation that `incarnation_at`
    /// returns for its address is marked too. That mark covers no other incarnation, so that a new
    /// VM at the same address is usable once a newer list has it as live.
    pub fn apply_vm_list(
        &mut self,
        now: Moment,
        sequence: u64,
        vms: &[VmEntry],
        incarnation_at: impl Fn(SocketAddr) -> Option<Incarnation>,
    ) {
        if sequence < self.list_sequence {
            return;
        }
        self.list_sequence = sequence;
        for peer in self.peers.values_mut().filter(|_| sequence > 0) {
            peer.listed = false;
        }
        for vm in vms {
            let leaving = vm.state == VmState::Leaving;
            if vm.role == VmRole::Daemon {
                let peer = self.add_peer(vm.address, &vm.domain);
                (peer.listed, peer.leaving) = (true, leaving);
            } else if leaving && self.leaving.add_listed(vm.address) {
                let seen = incarnation_at(vm.address).filter(|i| i.0 > 0);
                seen.map(|incarnation| self.mark_leaving(now, vm.address, incarnation));
            }
        }
        let listed =
            |at: SocketAddr| vms.iter().any(|vm| vm.address == at && vm.state == VmState::Leaving);
        self.leaving.remove_listed(|address| !listed(address));
    }

    /// Adds a peer if it is unknown, and its failure domain if that is unknown.
    fn add_peer(&mut self, address: SocketAddr, domain: &Arc<str>) -> &mut Peer {
        let peer = self.peers.entry(address).or_default();
        if peer.domain.is_empty() {
            peer.domain = domain.clone();
        }
        peer
    }

    /// Records a peer's digest; returns the target updates that were accepted.
    pub fn record_digest(&mut self, now: Moment, digest: &PeerDigest) -> Vec<TargetUpdate> {
        for leaving in &digest.leaving {
            let is_new = self.leaving.record_received(now, *leaving, self.last_change + 1);
            self.last_change += u64::from(is_new);
        }
        let accepted = digest
            .targets
            .iter()
            .filter(|update| self.target_updates.merge(update, &mut self.last_change))
            .copied();
        let accepted = accepted.collect();
        let Some(address) = digest.address else {
            return accepted;
        };
        self.record_domain_sizes(now, &digest.domain_sizes);
        for (named, domain) in &digest.peers {
            self.add_peer(*named, domain);
        }
        let peer = self.add_peer(address, &digest.domain);
        if peer.incarnation != digest.incarnation {
            // A new incarnation has none of the state that was sent to the previous one.
            (peer.first_digest_sent, peer.generation) = (false, Generation(0));
        }
        peer.vm = digest.vm.clone();
        peer.domain = digest.domain.clone();
        peer.incarnation = digest.incarnation;
        peer.generation = peer.generation.max(digest.generation);
        peer.last_received = Some(now);
        peer.to_echo = Some(Echo { incarnation: digest.incarnation, sent: digest.sent });
        peer.processor_share = digest.processor_share;
        peer.detour_port = digest.detour_port;
        peer.partitioned.clone_from(&digest.partitioned);
        peer.demand.clone_from(&digest.demand);
        (peer.liveness, peer.failures) = (Liveness::Live, 0);
        accepted
    }

    /// Records that a peer did not accept a digest.
    ///
    /// The next digest to it repeats the changes. Once the peer counts as silent, it is retried in
    /// some digest rounds only.
    pub fn record_failed_digest(&mut self, address: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.failures += 1;
            peer.last_sent_change = peer.previous_sent_change;
            if peer.failures >= SILENT_AFTER_FAILURES {
                peer.liveness = Liveness::Silent;
            }
        }
    }

    /// Marks an incarnation of a target as leaving; returns whether the mark is new.
    pub fn mark_leaving(
        &mut self,
        now: Moment,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> bool {
        let new = self.leaving.mark(now, address, incarnation, self.last_change + 1);
        self.last_change += u64::from(new);
        new
    }

    /// Returns whether an incarnation of a target is leaving, or may be leaving if the incarnation
    /// is unknown.
    pub fn is_leaving(&self, address: SocketAddr, incarnation: Option<Incarnation>) -> bool {
        self.leaving.may_contain(address, incarnation)
    }

    /// Removes expired marks of leaving incarnations, and unlisted peers without recent digests; before
    /// `resumed_at` this daemon may have been suspended and received none.
    ///
    /// `incarnation_at` returns the incarnation that responds at an address.
    pub fn expire(
        &mut self,
        now: Moment,
        resumed_at: Moment,
        incarnation_at: impl Fn(SocketAddr) -> Option<Incarnation>,
    ) {
        self.leaving.expire(now, incarnation_at);
        self.change_at_previous_expiry =
            std::mem::replace(&mut self.change_at_last_expiry, self.last_change);
        let is_recent = |at: Moment| now.since(at.max(resumed_at)) < UNLISTED_PEER_RETENTION;
        self.peers.retain(|_, peer| peer.listed || peer.last_received.is_some_and(is_recent));
    }

    /// Records a response to an own probe; returns whether peers should be informed at once.
    pub fn record_probe(&mut self, address: SocketAddr, report: Option<TargetReport>) -> bool {
        self.target_updates.record_probe(address, report, &mut self.last_change)
    }

    /// Records that a target missed enough own probes to count as silent; returns whether peers
    /// should be informed at once.
    pub fn record_silence(&mut self, address: SocketAddr) -> bool {
        self.target_updates.record_silence(address, &mut self.last_change)
    }

    /// Returns the known peers.
    pub fn peers(&self) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        self.peers.iter().map(|(address, peer)| (*address, peer))
    }

    /// Returns the number of daemons other than `own` that are neither silent nor leaving.
    pub fn usable_peer_count(&self, own: SocketAddr) -> usize {
        let usable = |(address, peer): &(SocketAddr, &Peer)| {
            *address != own && peer.liveness != Liveness::Silent && !peer.leaving
        };
        self.peers().filter(usable).count()
    }

    /// Records that a peer echoed a digest that this incarnation of the daemon sent at `sent`.
    pub fn record_echo(&mut self, address: SocketAddr, sent: Moment) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.last_echoed = peer.last_echoed.max(Some(sent));
        }
    }

    /// Returns whether at least half of the known peers, and at least one, echoed a digest that
    /// this daemon sent at `since` or later.
    pub fn received_from_half(&self, own: SocketAddr, since: Moment) -> bool {
        let others = || self.peers().filter(|(address, _)| *address != own);
        let recent = others().filter(|(_, p)| p.last_echoed.is_some_and(|at| at >= since)).count();
        recent > 0 && recent * 2 >= others().count()
    }

    /// Returns the sum of the calls of a client account that live peers recently reported.
    pub fn peer_demand(&self, now: Moment, account: &str) -> u32 {
        let fresh = self.peers.values().filter(|peer| {
            peer.liveness == Liveness::Live
                && peer.last_received.is_some_and(|at| now.since(at) < DEMAND_MAX_AGE)
        });
        let demand = fresh.flat_map(|peer| &peer.demand).filter(|(name, _)| &**name == account);
        demand.map(|(_, calls)| *calls).sum()
    }

    /// Groups the daemons that can probe targets by failure domain, `own` included.
    pub fn probers(&self, own: SocketAddr, own_domain: &Arc<str>) -> Probers {
        let mut by_domain: BTreeMap<Arc<str>, Vec<SocketAddr>> = BTreeMap::new();
        by_domain.entry(own_domain.clone()).or_default().push(own);
        for (address, peer) in self.peers().filter(|(address, _)| *address != own) {
            if peer.liveness != Liveness::Silent && !peer.leaving && !peer.domain.is_empty() {
                by_domain.entry(peer.domain.clone()).or_default().push(address);
            }
        }
        Probers { own, own_domain: own_domain.clone(), by_domain }
    }

    /// Returns the sequence number of the last applied VM list, or zero.
    pub const fn list_sequence(&self) -> u64 {
        self.list_sequence
    }

    /// Returns whether this daemon is one of those of its failure domain that read the platform.
    pub fn is_platform_reader(&self, own: SocketAddr, own_domain: &Arc<str>) -> bool {
        let near = self.peers().filter(|(address, peer)| {
            *address != own
                && peer.domain == *own_domain
                && peer.liveness != Liveness::Silent
                && !peer.leaving
        });
        let near: Vec<SocketAddr> = near.map(|(address, _)| address).chain([own]).collect();
        is_selected(PLATFORM_HASH_ADDRESS, own, &near)
    }

    /// Chooses the peers that the next digest is sent to.
    ///
    /// In a small deployment these are all peers, silent ones only in some rounds. Otherwise they
    /// are some peers of the own failure domain, one of the next domain, new incarnations that this
    /// daemon sends its full state, one peer whose last digest failed and, in some rounds, a silent
    /// one.
    pub fn choose_peers(
        &mut self,
        own: SocketAddr,
        own_domain: &Arc<str>,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        self.rounds += 1;
        let try_silent = self.rounds.is_multiple_of(SILENT_RETRY_ROUNDS);
        let others = || self.peers().filter(|(address, _)| *address != own);
        let usable = || others().filter(|(_, p)| p.liveness != Liveness::Silent);
        if self.is_full_mesh(own) {
            let all = others().filter(|(_, p)| try_silent || p.liveness != Liveness::Silent);
            return all.map(|(address, _)| address).collect();
        }
        let near = usable().filter(|(_, p)| p.domain == *own_domain).map(|(address, _)| address);
        let mut chosen = near.choose_multiple(rng, SAME_DOMAIN_FANOUT);
        let next = next_domain(own_domain, usable().map(|(_, p)| &p.domain).collect());
        let far = usable().filter(|(_, p)| Some(&p.domain) == next);
        chosen.extend(far.map(|(address, _)| address).choose(rng));
        let new = usable()
            .filter(|(a, p)| !p.first_digest_sent && self.sends_full_state(*a, own, own_domain));
        chosen.extend(new.map(|(address, _)| address).take(SAME_DOMAIN_FANOUT));
        // A peer that failed a digest is retried before it counts as silent.
        chosen.extend(usable().filter(|(_, p)| p.failures > 0).map(|(a, _)| a).choose(rng));
        let silent = others().filter(|(_, p)| try_silent && p.liveness == Liveness::Silent);
        chosen.extend(silent.map(|(address, _)| address).choose(rng));
        chosen.sort_unstable();
        chosen.dedup();
        chosen
    }

    /// Returns the failure domain of a peer.
    pub fn domain_of(&self, peer: SocketAddr) -> Option<&Arc<str>> {
        self.peers.get(&peer).map(|state| &state.domain)
    }

    /// Returns whether each round of digests reaches all peers.
    pub fn is_full_mesh(&self, own: SocketAddr) -> bool {
        self.peers().filter(|(address, _)| *address != own).count() <= MAX_FULL_MESH_PEERS
    }

    /// Returns this daemon's rank for holding the lease for orders; the first has rank zero.
    pub fn lease_rank(&self, own: SocketAddr) -> u32 {
        let usable = self.peers().filter(|(_, p)| p.liveness != Liveness::Silent && !p.leaving);
        let daemons: Vec<SocketAddr> = usable.map(|(address, _)| address).collect();
        rendezvous::rank(LEASE_HASH_ADDRESS, own, &daemons) as u32
    }

    /// Returns whether `own` sends its full state to a new incarnation at `of`.
    ///
    /// Two daemons of the receiver's failure domain do, or two of all daemons if none is usable
    /// there. The others send it recent changes only.
    fn sends_full_state(&self, of: SocketAddr, own: SocketAddr, own_domain: &Arc<str>) -> bool {
        let domain = self.peers.get(&of).map(|p| p.domain.clone()).unwrap_or_default();
        let usable = |(address, p): &(SocketAddr, &Peer)| {
            ![of, own].contains(address) && p.liveness != Liveness::Silent && !p.leaving
        };
        let others = self.peers().filter(usable).map(|(address, p)| (address, &p.domain));
        let all: Vec<_> = others.chain([(own, own_domain)]).collect();
        let near = all.iter().filter(|(_, d)| **d == domain).map(|(address, _)| *address);
        let near: Vec<SocketAddr> = near.collect();
        if near.is_empty() {
            let all: Vec<SocketAddr> = all.iter().map(|(address, _)| *address).collect();
            return is_selected(of, own, &all);
        }
        is_selected(of, own, &near)
    }

    /// Adds to a digest the changes since the last digest to `to`, and the echo of the last digest
    /// from it.
    pub fn fill_digest(&mut self, now: Moment, to: SocketAddr, digest: &mut PeerDigest) {
        let full_state =
            digest.address.is_none_or(|own| self.sends_full_state(to, own, &digest.domain));
        let Some(peer) = self.peers.get_mut(&to) else {
            return;
        };
        if !std::mem::replace(&mut peer.first_digest_sent, true) {
            peer.last_sent_change = if full_state { 0 } else { self.change_at_previous_expiry };
        }
        peer.previous_sent_change = peer.last_sent_change;
        digest.echo = peer.to_echo;
        digest.leaving = self.leaving.changes_after(now, peer.last_sent_change);
        let upto = self.target_updates.collect_after(peer.last_sent_change, &mut digest.targets);
        peer.last_sent_change = upto.unwrap_or(self.last_change);
    }
}

/// Returns the failure domain that follows `own` in name order, wrapping around at the end.
fn next_domain<'a>(own: &Arc<str>, mut domains: BTreeSet<&'a Arc<str>>) -> Option<&'a Arc<str>> {
    domains.retain(|d| !d.is_empty() && *d != own);
    domains.iter().find(|d| **d > own).or_else(|| domains.first()).copied()
}

/// Divides the probing of targets between daemons.
#[derive(Debug)]
pub struct Probers {
    own: SocketAddr,
    own_domain: Arc<str>,
    by_domain: BTreeMap<Arc<str>, Vec<SocketAddr>>,
}

impl Probers {
    /// Returns whether this daemon probes a target.
    ///
    /// Two daemons of the target's failure domain probe it. If a daemon knows no usable one there,
    /// it selects two of its own failure domain instead.
    pub fn is_assigned(&self, target: SocketAddr, domain: &str) -> bool {
        is_selected(target, self.own, self.daemons(domain))
    }

    /// Returns whether this daemon ranks first for a target, for work that a single daemon does.
    pub fn is_first(&self, target: SocketAddr, domain: &str) -> bool {
        let daemons = self.daemons(domain);
        daemons.contains(&self.own) && rendezvous::rank(target, self.own, daemons) == 0
    }

    fn daemons(&self, domain: &str) -> &[SocketAddr] {
        let daemons = self.by_domain.get(domain).or_else(|| self.by_domain.get(&self.own_domain));
        daemons.map(Vec::as_slice).unwrap_or_default()
    }
}
