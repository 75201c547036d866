//! Which targets, stores and peers take part; docs/DESIGN.md, "Membership".
//!
//! Daemons tell each other changes only: each peer is sent what changed since the last digest to
//! it, and a few peers are chosen each time. A peer that misses one is sent everything again.

mod leaving;
mod read_schedule;
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
pub use self::rendezvous::is_selected;
use self::target_updates::TargetUpdates;
pub use self::versioned_list::{VersionedVmList, VmChanges};
use crate::{Echo, PeerDigest, TargetReport, TargetUpdate, VmEntry, VmRole, VmState};

/// Failed digests in a row after which a peer counts as silent.
const SILENT_AFTER_FAILURES: u32 = 2;
/// Digests between two tries to reach a silent peer.
const SILENT_RETRY_ROUNDS: u64 = 4;
/// Up to this many peers, each digest goes to all of them.
const MAX_FULL_MESH_PEERS: usize = 8;
/// Peers of the own failure domain that a digest goes to.
const SAME_DOMAIN_FANOUT: usize = 3;
/// How long a peer that the VM list no longer has is kept after its last digest.
const UNLISTED_PEER_RETENTION: Duration = Duration::from_secs(60);
/// How long what a peer wants counts after its last digest.
const DEMAND_MAX_AGE: Duration = Duration::from_secs(10);

/// Stands for the lease in the rendezvous hash.
const LEASE_HASH_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Stands for the platform in the rendezvous hash.
const PLATFORM_HASH_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 1);

/// Tells whether a process answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Liveness {
    /// Not asked yet.
    #[default]
    Unknown,
    /// Answers.
    Live,
    /// Missed its last probes.
    Silent,
}

/// Holds what is known of a peer daemon.
#[derive(Debug, Clone, Default)]
pub struct Peer {
    /// Its VM name, once it sent a digest.
    pub vm: Arc<str>,
    /// Its failure domain; empty until it is known.
    pub domain: Arc<str>,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The generation it last told.
    pub generation: Generation,
    /// When it last sent a digest.
    pub last_received: Option<Moment>,
    /// A moment after which it sent the last one that echoed a digest of this daemon.
    pub last_echoed: Option<Moment>,
    /// The last digest that it sent.
    to_echo: Option<Echo>,
    /// Whether it answers.
    pub liveness: Liveness,
    /// Whether the VM list has it as about to be stopped.
    pub leaving: bool,
    /// The calls per client account that it last told to want.
    pub demand: Vec<(Arc<str>, u32)>,
    /// Whether the settings or the last VM list name it.
    listed: bool,
    failures: u32,
    /// The last change that was sent to it.
    last_sent_change: u64,
    /// The last change before the digest that it may not have taken.
    previous_sent_change: u64,
    /// Whether it was brought up to date since its process started.
    first_digest_sent: bool,
}

/// Remembers peers, leaving targets and what is told of targets.
#[derive(Debug, Default)]
pub struct Membership {
    list_sequence: u64,
    peers: BTreeMap<SocketAddr, Peer>,
    leaving: LeavingTargets,
    target_updates: TargetUpdates,
    /// Counts changes, so that each peer is sent those after its last one.
    last_change: u64,
    /// That count at the last two calls of [`Membership::expire`], the older one first.
    change_at_previous_expiry: u64,
    change_at_last_expiry: u64,
    rounds: u64,
}

impl Membership {
    /// Takes a VM list, unless a newer one was read before.
    ///
    /// A listed address that is leaving stands for the run seen there, so that a new VM on the same
    /// address is usable again; `running` tells that run.
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

    /// Notes a peer that may be asked.
    fn add_peer(&mut self, address: SocketAddr, domain: &Arc<str>) -> &mut Peer {
        let peer = self.peers.entry(address).or_default();
        if peer.domain.is_empty() {
            peer.domain = domain.clone();
        }
        peer
    }

    /// Takes a peer's digest; returns the news of targets that were accepted.
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
        for (named, domain) in &digest.peers {
            self.add_peer(*named, domain);
        }
        let peer = self.add_peer(address, &digest.domain);
        if peer.incarnation != digest.incarnation {
            // A new process knows nothing of what was sent to the one before.
            (peer.first_digest_sent, peer.generation) = (false, Generation(0));
        }
        peer.vm = digest.vm.clone();
        peer.domain = digest.domain.clone();
        peer.incarnation = digest.incarnation;
        peer.generation = peer.generation.max(digest.generation);
        peer.last_received = Some(now);
        peer.to_echo = Some(Echo { incarnation: digest.incarnation, sent: digest.sent });
        peer.demand.clone_from(&digest.demand);
        (peer.liveness, peer.failures) = (Liveness::Live, 0);
        accepted
    }

    /// Notes a peer that did not take a digest; it is tried again at once, then now and then.
    pub fn record_failed_digest(&mut self, address: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.failures += 1;
            peer.last_sent_change = peer.previous_sent_change;
            if peer.failures >= SILENT_AFTER_FAILURES {
                peer.liveness = Liveness::Silent;
            }
        }
    }

    /// Notes that a run of a target is leaving, for good; tells whether that is new.
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

    /// Tells whether a run of a target is leaving, or may be while the run is not known.
    pub fn is_leaving(&self, address: SocketAddr, incarnation: Option<Incarnation>) -> bool {
        self.leaving.may_contain(address, incarnation)
    }

    /// Forgets runs that have ended and peers that are gone.
    pub fn expire(
        &mut self,
        now: Moment,
        incarnation_at: impl Fn(SocketAddr) -> Option<Incarnation>,
    ) {
        self.leaving.expire(now, incarnation_at);
        self.change_at_previous_expiry =
            std::mem::replace(&mut self.change_at_last_expiry, self.last_change);
        self.peers.retain(|_, peer| {
            peer.listed
                || peer.last_received.is_some_and(|at| now.since(at) < UNLISTED_PEER_RETENTION)
        });
    }

    /// Takes the result of an own probe; tells whether peers should know at once.
    pub fn record_probe(&mut self, address: SocketAddr, report: Option<TargetReport>) -> bool {
        self.target_updates.record_probe(address, report, &mut self.last_change)
    }

    /// Takes an own probe that a target missed often enough to count as silent.
    pub fn record_silence(&mut self, address: SocketAddr) -> bool {
        self.target_updates.record_silence(address, &mut self.last_change)
    }

    /// Returns the known peers.
    pub fn peers(&self) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        self.peers.iter().map(|(address, peer)| (*address, peer))
    }

    /// Returns the number of daemons beside `own` that are not silent.
    pub fn usable_peer_count(&self, own: SocketAddr) -> usize {
        let usable = |(address, peer): &(SocketAddr, &Peer)| {
            *address != own && peer.liveness != Liveness::Silent && !peer.leaving
        };
        self.peers().filter(usable).count()
    }

    /// Notes that a peer echoed a digest of this run of the daemon, which was sent at `sent`.
    pub fn record_echo(&mut self, address: SocketAddr, sent: Moment) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.last_echoed = peer.last_echoed.max(Some(sent));
        }
    }

    /// Tells whether half of the known peers or more sent something after `since`.
    pub fn received_from_half(&self, own: SocketAddr, since: Moment) -> bool {
        let others = || self.peers().filter(|(address, _)| *address != own);
        let heard = others().filter(|(_, p)| p.last_echoed.is_some_and(|at| at >= since)).count();
        heard > 0 && heard * 2 >= others().count()
    }

    /// Returns how many calls of a client account all other daemons want, as far as they told.
    pub fn peer_demand(&self, now: Moment, account: &str) -> u32 {
        let fresh = self.peers.values().filter(|peer| {
            peer.liveness == Liveness::Live
                && peer.last_received.is_some_and(|at| now.since(at) < DEMAND_MAX_AGE)
        });
        let demand = fresh.flat_map(|peer| &peer.demand).filter(|(name, _)| &**name == account);
        demand.map(|(_, calls)| *calls).sum()
    }

    /// Groups the daemons that take part in probing by failure domain, `own` included.
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

    /// Returns the number of the VM list that was taken last, or zero.
    pub const fn list_sequence(&self) -> u64 {
        self.list_sequence
    }

    /// Tells whether this daemon is one of those of its failure domain that read the platform.
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

    /// Chooses the peers of the next digest.
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
        if others().count() <= MAX_FULL_MESH_PEERS {
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
        // A suspected peer is asked again before it counts as silent.
        chosen.extend(usable().filter(|(_, p)| p.failures > 0).map(|(a, _)| a).choose(rng));
        let silent = others().filter(|(_, p)| try_silent && p.liveness == Liveness::Silent);
        chosen.extend(silent.map(|(address, _)| address).choose(rng));
        chosen.sort_unstable();
        chosen.dedup();
        chosen
    }

    /// Returns this daemon's place among those that may hold the lease for orders.
    pub fn lease_rank(&self, own: SocketAddr) -> u32 {
        let usable = self.peers().filter(|(_, p)| p.liveness != Liveness::Silent && !p.leaving);
        let daemons: Vec<SocketAddr> = usable.map(|(address, _)| address).collect();
        rendezvous::rank(LEASE_HASH_ADDRESS, own, &daemons) as u32
    }

    /// Tells whether `own` brings a new process up to date; two daemons of its failure domain do,
    /// the others tell it only what changed of late.
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

    /// Fills a digest with what changed since the last one to `peer`.
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

/// Returns the failure domain after `own` in name order, around the end.
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
    /// Tells whether this daemon probes a target.
    ///
    /// The daemons of the target's failure domain do; where there is none, those of each other
    /// domain that has noticed stand in.
    pub fn is_assigned(&self, target: SocketAddr, domain: &str) -> bool {
        is_selected(target, self.own, self.daemons(domain))
    }

    /// Tells whether this daemon comes first for a target, for what only one is to do.
    pub fn is_first(&self, target: SocketAddr, domain: &str) -> bool {
        let daemons = self.daemons(domain);
        daemons.contains(&self.own) && rendezvous::rank(target, self.own, daemons) == 0
    }

    fn daemons(&self, domain: &str) -> &[SocketAddr] {
        let daemons = self.by_domain.get(domain).or_else(|| self.by_domain.get(&self.own_domain));
        daemons.map(Vec::as_slice).unwrap_or_default()
    }
}
