//! Content of the digests that daemons exchange, and rows of the platform's VM list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::{
    Generation, Incarnation, Moment, RequestRate, Sealed, Tier, Tokens, WeightVersion,
};

use crate::TargetReport;
use crate::evacuation::EvacuationReport;
use crate::quarantine::QuarantineReport;
use crate::software_history::PoolVersion;
use crate::spill::DomainDemand;
use crate::stream_origins::StreamOrigin;
use crate::target_limits::ReportedLimit;

/// Names what the platform runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmRole {
    /// A daemon of this system; the listed address is its operator address.
    Daemon,
    /// A target.
    Target,
    /// A store of KV cache blocks or parts of prompts.
    Store,
}

/// Names what the platform intends to do with a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    /// In use.
    Live,
    /// About to be stopped.
    Leaving,
}

/// Describes one row of the platform's VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmEntry {
    /// The address of the process on the VM.
    pub address: SocketAddr,
    /// The VM's failure domain.
    pub domain: Arc<str>,
    /// What runs on the VM.
    pub role: VmRole,
    /// What the platform intends to do with the VM.
    pub state: VmState,
}

/// Identifies an incarnation of a target that is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeavingIncarnation {
    /// The target's address.
    pub address: SocketAddr,
    /// The incarnation that is leaving.
    pub incarnation: Incarnation,
    /// Time until the mark is removed if the incarnation is not seen again.
    pub expires_in: Duration,
}

/// Describes a target as probes found it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetUpdate {
    /// The target's address.
    pub address: SocketAddr,
    /// Grows with each change of the target's state; the highest revision prevails.
    pub revision: u64,
    /// Whether the target missed its last probes.
    pub silent: bool,
    /// Its last report; `None` for plain services that send none.
    pub report: Option<TargetReport>,
}

/// Describes the load that one daemon puts on one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// The hash of the target's name by [`crate::parts::name_hash`].
    pub target_hash: u64,
    /// Calls that run or wait at the target.
    pub calls: u32,
    /// Prompt tokens of these calls that are still to be computed.
    pub backlog: Tokens,
    /// Prompt and output tokens of these calls that occupy the target's memory.
    pub memory: Tokens,
}

impl TargetLoad {
    /// Returns the load multiplied by `factor`, rounded to whole calls and tokens.
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

/// Reports the age of the last reads of the platform by any daemon, as far as the sender knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    /// The age of the read that found the sender's generation to be the committed one.
    pub head: Option<Duration>,
    /// The age of the read that returned the sender's VM list.
    pub vms: Option<Duration>,
    /// The sequence number of that list.
    pub vms_sequence: u64,
}

/// Announces a weight version that operators set apart from declarations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionAnnouncement {
    /// The name of the weights.
    pub weights: Arc<str>,
    /// The version.
    pub version: WeightVersion,
    /// How long ago it was announced, if the sender or one of its peers observed that.
    pub age: Option<Duration>,
}

/// Reports how many daemons a failure domain has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainSize {
    /// The failure domain.
    pub domain: Arc<str>,
    /// Its number of daemons, silent ones included.
    pub daemons: u32,
    /// How long ago a daemon of the domain counted them.
    pub age: Duration,
}

/// Identifies a digest by its sender's incarnation and clock.
///
/// A digest can be delayed for as long as its receiver is suspended or disconnected. The echo in
/// the digest gives the receiver a time after which the digest was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Echo {
    /// The incarnation of the daemon that sent the digest.
    pub incarnation: Incarnation,
    /// When the digest was sent, by the sender's clock.
    pub sent: Moment,
}

/// Reports a daemon's state to a peer; small, so that it can be sent often.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerDigest {
    /// The sender's VM name.
    pub vm: Arc<str>,
    /// The sender's failure domain.
    pub domain: Arc<str>,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// When the digest was sent, by the sender's clock.
    pub sent: Moment,
    /// The last digest that the sender received from the receiver.
    pub echo: Option<Echo>,
    /// The sender's operator address.
    pub address: Option<SocketAddr>,
    /// The generation in force at the sender.
    pub generation: Generation,
    /// The age of the last reads of the platform that the sender knows of.
    pub freshness: Freshness,
    /// Leaving incarnations of targets that were not sent to this peer yet.
    pub leaving: Vec<LeavingIncarnation>,
    /// Target updates that were not sent to this peer yet.
    pub targets: Vec<TargetUpdate>,
    /// Blocks that the sender exported to stores since its last round of digests.
    pub stored: Vec<(SocketAddr, Sealed, Tier)>,
    /// The sender's calls per client account, by name; daemons divide account limits by them.
    pub demand: Vec<(Arc<str>, u32)>,
    /// The announced weight versions that the sender knows, by the name of the weights.
    pub versions: Vec<VersionAnnouncement>,
    /// The hashed names of targets that announced in a response that they are leaving.
    pub announced_leaving: Vec<u64>,
    /// The sender's load on targets that a registry lists.
    pub loads: Vec<TargetLoad>,
    /// The processor share of the sender's VM, in thousandths of a core; zero if unknown.
    pub processor_share: u16,
    /// The number of daemons in each failure domain, by the latest counts that the sender has.
    pub domain_sizes: Vec<DomainSize>,
    /// The software versions at which streams began, unknown ones included.
    pub stream_origins: Vec<StreamOrigin>,
    /// The software versions of the models and services that have or lately had several, by the hash
    /// of their names.
    pub software: Vec<PoolVersion>,
    /// Crashes of targets, and the content in quarantine for them.
    pub quarantine: QuarantineReport,
    /// The limits of targets, those that changed at once and the others from time to time.
    pub limits: Vec<ReportedLimit>,
    /// The calls a second that arrive at the sender for each model and service, by the hash of its
    /// name; only while some target has a limit.
    pub call_rates: Vec<(u64, RequestRate)>,
    /// The present calls a second that arrive at the sender for each plain service, by the hash of its
    /// name; only where traffic between failure domains has a price, as for the next field.
    pub service_rates: Vec<(u64, RequestRate)>,
    /// The calls a second that failure domains have to serve, as far as the sender knows.
    pub domain_demands: Vec<DomainDemand>,
    /// Peers that recently sent the sender a digest, with their failure domains; sent only where no
    /// VM list names them.
    pub peers: Vec<(SocketAddr, Arc<str>)>,
    /// The port on which the sender handles calls of its peers, at the host of its operator address;
    /// zero if it handles none.
    pub detour_port: u16,
    /// The models and services from which the sender is partitioned, by the hash of their names.
    pub partitioned: Vec<u64>,
    /// The failure domains that are or were evacuated.
    pub evacuations: Vec<EvacuationReport>,
}
