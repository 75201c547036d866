//! What daemons tell each other in digests, and rows of the platform's VM list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::{Generation, Incarnation, Moment, Sealed, Tier, Tokens, WeightVersion};

use crate::TargetReport;

/// Tells what the platform runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmRole {
    /// A daemon of this system; its address is the operator address.
    Daemon,
    /// A target.
    Target,
    /// A store of kept KV cache.
    Store,
}

/// Tells what the platform intends with a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    /// In use.
    Live,
    /// About to be stopped.
    Leaving,
}

/// Holds one row of the platform's VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmEntry {
    /// The address of the process on it.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: Arc<str>,
    /// What runs on it.
    pub role: VmRole,
    /// What is intended with it.
    pub state: VmState,
}

/// Names a run of a target that is leaving, for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeavingIncarnation {
    /// The target's address.
    pub address: SocketAddr,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// How much longer the run is remembered after it has ended.
    pub expires_in: Duration,
}

/// Tells what probes found of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetUpdate {
    /// The target's address.
    pub address: SocketAddr,
    /// Grows with each change of its state; the highest counts.
    pub revision: u64,
    /// Whether it missed its last probes.
    pub silent: bool,
    /// Its last report; nothing for plain services that give none.
    pub report: Option<TargetReport>,
}

/// Tells what one daemon has out at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// The target, by [`crate::parts::place_of`] its name.
    pub target_hash: u64,
    /// Calls that run or wait there.
    pub calls: u32,
    /// Prompt tokens that are still to be computed.
    pub backlog: Tokens,
    /// Tokens of prompts and answers that take memory.
    pub memory: Tokens,
}

impl TargetLoad {
    /// Returns the load so many times over.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        let times = |n: u32| (f64::from(n) * factor).round() as u32;
        Self {
            target_hash: self.target_hash,
            calls: times(self.calls),
            backlog: Tokens(times(self.backlog.0)),
            memory: Tokens(times(self.memory.0)),
        }
    }
}

/// Tells how long ago the platform was last read by anybody, as far as the sender knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    /// The age of the read that found the sender's generation as the accepted one.
    pub head: Option<Duration>,
    /// The age of the read that found the sender's VM list.
    pub vms: Option<Duration>,
    /// The number of that list.
    pub vms_sequence: u64,
}

/// Names a weight version that operators want, apart from declarations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionAnnouncement {
    /// The name of the weights.
    pub weights: Arc<str>,
    /// The version.
    pub version: WeightVersion,
    /// How long ago it was named, if the sender or a peer of it saw that.
    pub age: Option<Duration>,
}

/// Names a digest by the run and the clock of its sender.
///
/// A digest may wait on its way as long as its receiver is suspended or cut off; what it echoes tells
/// the receiver a time after which it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Echo {
    /// The run of the process that sent it.
    pub incarnation: Incarnation,
    /// When that was, by its clock.
    pub sent: Moment,
}

/// Holds what a daemon tells a peer; small, so that it can be sent often.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerDigest {
    /// The sender's VM name.
    pub vm: Arc<str>,
    /// The sender's failure domain.
    pub domain: Arc<str>,
    /// The run of the sender's process.
    pub incarnation: Incarnation,
    /// When it was sent, by the sender's clock.
    pub sent: Moment,
    /// The last digest that the sender has of the receiver.
    pub echo: Option<Echo>,
    /// The sender's operator address.
    pub address: Option<SocketAddr>,
    /// The generation in force at the sender.
    pub generation: Generation,
    /// What the sender knows of reads of the platform.
    pub freshness: Freshness,
    /// Runs of targets that are leaving, as far as this peer was not told yet.
    pub leaving: Vec<LeavingIncarnation>,
    /// What probes found, as far as this peer was not told yet.
    pub targets: Vec<TargetUpdate>,
    /// Blocks that the sender learned to be in stores since its last digest to this peer.
    pub stored: Vec<(SocketAddr, Sealed, Tier)>,
    /// Use of client accounts by the sender, for dividing limits: name, calls wanted.
    pub demand: Vec<(Arc<str>, u32)>,
    /// The weight versions that the sender knows to be declared, by the name of the weights.
    pub versions: Vec<VersionAnnouncement>,
    /// What the sender has out at targets that a registry lists.
    pub loads: Vec<TargetLoad>,
    /// Peers that the sender heard of late, where no list names them.
    pub peers: Vec<(SocketAddr, Arc<str>)>,
}
