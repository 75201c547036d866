//! A readable description of the control state; docs/OPERATIONS.md, "Reading a dump".

use std::net::SocketAddr;
use std::sync::Arc;

use cumintrail_types::{Bytes, CallClass, CallKey, Generation, Incarnation, Moment, Tokens};
use serde::{Deserialize, Serialize};

use crate::Call;
use crate::membership::{Liveness, Peer};

/// Describes a daemon; holds no prompt text, answer or key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Dump {
    /// The VM's name.
    pub vm: Arc<str>,
    /// The VM's failure domain.
    pub domain: Arc<str>,
    /// The run of the process.
    pub incarnation: Incarnation,
    /// Milliseconds since the process started.
    pub up_ms: u64,
    /// The generation in force.
    pub generation: Generation,
    /// The preset in force.
    pub preset: Option<Arc<str>>,
    /// Whether the daemon takes no new work.
    pub stopping: bool,
    /// Calls that wait for a slot.
    pub waiting: usize,
    /// Calls that are not answered yet, oldest first.
    pub calls: Vec<CallDump>,
    /// Queues that are not empty.
    pub queues: Vec<QueueDump>,
    /// Client accounts with calls in flight.
    pub limits: Vec<LimitDump>,
    /// The targets as this daemon sees them.
    pub targets: Vec<TargetDump>,
    /// The stores as this daemon sees them.
    pub stores: Vec<StoreDump>,
    /// Blocks known in stores.
    pub kept_blocks: usize,
    /// The peers as this daemon sees them, by operator address.
    pub peers: Vec<(SocketAddr, PeerDump)>,
}

/// Describes a call in flight.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallDump {
    /// The call.
    pub call: CallKey,
    /// The client account that pays for it.
    #[serde(default)]
    pub account: Arc<str>,
    /// How it may be repeated.
    pub class: CallClass,
    /// How far it has come.
    pub phase: String,
    /// Where its current attempt runs.
    #[serde(default)]
    pub target: Option<Arc<str>>,
    /// Attempts so far.
    pub attempts: u8,
    /// The length of its prompt.
    pub prompt: Tokens,
    /// Milliseconds since it arrived.
    pub age_ms: u64,
    /// Milliseconds until it is given up.
    pub left_ms: u64,
}

impl CallDump {
    pub(crate) fn new(
        now: Moment,
        key: CallKey,
        call: &Call,
        account: Arc<str>,
        target: Option<Arc<str>>,
    ) -> Self {
        Self {
            call: key,
            account,
            class: call.arrival.class,
            phase: format!("{:?}", call.phase()).to_lowercase(),
            target,
            attempts: call.attempts(),
            prompt: call.arrival.prompt,
            age_ms: millis(now, call.arrived),
            left_ms: millis(call.arrival.deadline, now),
        }
    }
}

/// Describes what a client account uses in this daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LimitDump {
    /// The account's name.
    pub account: Arc<str>,
    /// Its calls that are not answered yet.
    pub in_flight: u32,
    /// Its declared limit in the whole deployment.
    pub concurrency: u32,
    /// The part of its limits that this daemon may use.
    pub share: f64,
    /// Its weight when slots are scarce.
    pub weight: u32,
}

/// Describes the calls that wait for a slot of one model or plain service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QueueDump {
    /// The model's or service's name.
    pub name: Arc<str>,
    /// Calls that wait.
    pub waiting: usize,
}

/// Describes a target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetDump {
    /// Its declared name.
    pub name: Arc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it answers.
    pub liveness: String,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Whether it was removed from the declarations.
    pub retired: bool,
    /// The weight version it last reported.
    pub version: Option<u64>,
    /// Whether it last reported that weights are being loaded.
    #[serde(default)]
    pub loading: bool,
    /// Calls that this daemon has out at it.
    pub in_flight: u32,
    /// Its declared slots.
    pub slots: u32,
    /// Prompt tokens that this daemon expects it to compute.
    #[serde(default)]
    pub backlog: Tokens,
    /// Blocks that it probably holds.
    pub blocks: usize,
    /// Failures in a row.
    #[serde(default)]
    pub failures: u32,
    /// Milliseconds until it gets work again after failures.
    #[serde(default)]
    pub ejected_ms: u64,
    /// Milliseconds since its last report.
    pub report_age_ms: Option<u64>,
}

/// Describes a store and its link.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoreDump {
    /// Its declared name.
    pub name: Arc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it answers.
    pub liveness: String,
    /// Whether it was removed from the declarations.
    pub retired: bool,
    /// The run of its process that answered last.
    pub incarnation: Option<Incarnation>,
    /// Milliseconds since its changes were last read to the end.
    pub listing_age_ms: Option<u64>,
    /// Its declared link speed, in bytes a second.
    pub link_per_second: Bytes,
    /// Observed link speed in bytes a second; zero before the first transfer.
    pub observed_per_second: Bytes,
    /// Bytes of this daemon's transfers on the way.
    pub link_in_flight: Bytes,
}

/// Describes a peer daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerDump {
    /// Its VM name.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// The generation that it last told.
    pub generation: Generation,
    /// Whether it answers.
    pub liveness: String,
    /// Milliseconds since its last digest.
    #[serde(default)]
    pub heard_ms: Option<u64>,
}

impl PeerDump {
    pub(crate) fn new(now: Moment, peer: &Peer) -> Self {
        Self {
            vm: peer.vm.clone(),
            domain: peer.domain.clone(),
            generation: peer.generation,
            liveness: liveness(peer.liveness),
            heard_ms: peer.last_received.map(|at| millis(now, at)),
        }
    }
}

/// Names a liveness as dumps show it.
pub fn liveness(of: Liveness) -> String {
    format!("{of:?}").to_lowercase()
}

/// Returns whole milliseconds from one moment to a later one.
pub const fn millis(later: Moment, earlier: Moment) -> u64 {
    later.since(earlier).as_millis() as u64
}
