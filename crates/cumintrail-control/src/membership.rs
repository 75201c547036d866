//! Which targets, stores and peers take part.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use cumintrail_types::{Incarnation, Moment};

use crate::{PeerDigest, VmEntry, VmRole, VmState};

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
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its VM name, once it sent a digest.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The generation it last told.
    pub generation: cumintrail_types::Generation,
    /// When it last sent a digest.
    pub heard: Option<Moment>,
    /// Whether it answers.
    pub liveness: Liveness,
}

/// Remembers leaving VMs and peers.
#[derive(Debug, Default)]
pub struct Membership {
    list_sequence: u64,
    leaving_addresses: HashSet<SocketAddr>,
    leaving: HashSet<(SocketAddr, Incarnation)>,
    peers: HashMap<SocketAddr, Peer>,
}

impl Membership {
    /// Takes a VM list, unless a newer one was read before.
    pub fn take_list(&mut self, sequence: u64, vms: &[VmEntry]) {
        if sequence < self.list_sequence {
            return;
        }
        self.list_sequence = sequence;
        for vm in vms {
            match (vm.role, vm.state) {
                (VmRole::Daemon, VmState::Live) => self.add_peer(vm.address, &vm.domain),
                (_, VmState::Leaving) => {
                    self.leaving_addresses.insert(vm.address);
                }
                _ => {}
            }
        }
    }

    /// Notes a peer that may be asked.
    pub fn add_peer(&mut self, address: SocketAddr, domain: &Arc<str>) {
        self.peers.entry(address).or_insert_with(|| Peer {
            vm: "".into(),
            domain: domain.clone(),
            incarnation: Incarnation(0),
            generation: cumintrail_types::Generation(0),
            heard: None,
            liveness: Liveness::Unknown,
        });
    }

    /// Takes a peer's digest.
    pub fn take_digest(&mut self, now: Moment, digest: &PeerDigest) {
        self.leaving.extend(digest.leaving.iter().copied());
        let Some(address) = digest.address else {
            return;
        };
        self.add_peer(address, &digest.domain);
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.vm = digest.vm.clone();
            peer.domain = digest.domain.clone();
            peer.incarnation = digest.incarnation;
            peer.generation = peer.generation.max(digest.generation);
            peer.heard = Some(now);
            peer.liveness = Liveness::Live;
        }
    }

    /// Notes a peer that did not answer.
    pub fn peer_silent(&mut self, address: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.liveness = Liveness::Silent;
        }
    }

    /// Notes that a run of a target is leaving, for good.
    pub fn mark_leaving(&mut self, address: SocketAddr, incarnation: Incarnation) {
        self.leaving.insert((address, incarnation));
    }

    /// Tells whether a run of a target is leaving.
    pub fn is_leaving(&self, address: SocketAddr, incarnation: Incarnation) -> bool {
        self.leaving.contains(&(address, incarnation)) || self.leaving_addresses.contains(&address)
    }

    /// Returns all runs known to be leaving.
    pub fn leaving(&self) -> impl Iterator<Item = (SocketAddr, Incarnation)> {
        self.leaving.iter().copied()
    }

    /// Returns the known peers.
    pub fn peers(&self) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        self.peers.iter().map(|(address, peer)| (*address, peer))
    }
}
