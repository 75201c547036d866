//! A dump of the control state for operators; docs/OPERATIONS.md, "Reading a dump".

use std::net::SocketAddr;
use std::sync::Arc;

use cumintrail_types::{Bytes, CallClass, CallKey, Generation, Incarnation, Moment, Tokens};
use serde::{Deserialize, Serialize};

use crate::Call;
use crate::membership::{Liveness, Peer};

/// Describes the state of a daemon, without prompt text, output or keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Dump {
    /// The VM's name.
    pub vm: Arc<str>,
    /// The VM's failure domain.
    pub domain: Arc<str>,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// Milliseconds since the process started.
    pub up_ms: u64,
    /// The generation in force.
    pub generation: Generation,
    /// The preset in force.
    pub preset: Option<Arc<str>>,
    /// Whether the daemon refuses new calls.
    pub stopping: bool,
    /// Calls that wait for a slot.
    pub waiting: usize,
    /// Calls without a complete response, oldest first.
    pub calls: Vec<CallDump>,
    /// Queues that are not empty.
    pub queues: Vec<QueueDump>,
    /// Usage of the client accounts with calls in flight.
    pub limits: Vec<LimitDump>,
    /// The declared targets, from the point of view of this daemon.
    pub targets: Vec<TargetDump>,
    /// The declared stores, from the point of view of this daemon.
    pub stores: Vec<StoreDump>,
    /// Blocks known to be in stores.
    pub kept_blocks: usize,
    /// The known peers, by operator address.
    pub peers: Vec<(SocketAddr, PeerDump)>,
    /// Content in quarantine.
    #[serde(default)]
    pub quarantined: Vec<QuarantineDump>,
    /// Targets that named a limit of requests.
    #[serde(default)]
    pub limited: Vec<LimitedTargetDump>,
}

/// Describes the limit of a target and this daemon's part of it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LimitedTargetDump {
    /// The target's declared name.
    pub name: Arc<str>,
    /// Requests a second that the target takes from all daemons together.
    pub limit: f64,
    /// Requests a second that this daemon sends at most.
    pub share: f64,
    /// The number of requests that it may send now.
    pub credit: f64,
    /// Milliseconds since a response last named the limit.
    pub age_ms: u64,
}

/// Describes content in quarantine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QuarantineDump {
    /// The key of the content, in hexadecimal.
    pub content: String,
    /// The client account whose calls are refused; `None` for all accounts.
    pub account: Option<Arc<str>>,
    /// Milliseconds until the quarantine ends.
    pub left_ms: u64,
}

/// Describes a call in flight.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallDump {
    /// The call.
    pub call: CallKey,
    /// The client account that the call counts against.
    #[serde(default)]
    pub account: Arc<str>,
    /// The class of the call, which determines whether it may be repeated.
    pub class: CallClass,
    /// The phase of the call: `queued`, `sending` or `streaming`.
    pub phase: String,
    /// The target of its current attempt.
    #[serde(default)]
    pub target: Option<Arc<str>>,
    /// Attempts so far.
    pub attempts: u8,
    /// The length of its prompt, in tokens.
    pub prompt: Tokens,
    /// Milliseconds since it arrived.
    pub age_ms: u64,
    /// Milliseconds until its deadline.
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
            age_ms: millis_between(now, call.arrived),
            left_ms: millis_between(call.arrival.deadline, now),
        }
    }
}

/// Describes the usage of a client account in this daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LimitDump {
    /// The account's name.
    pub account: Arc<str>,
    /// Its calls without a complete response.
    pub in_flight: u32,
    /// Its declared limit of concurrent calls in the whole deployment.
    pub concurrency: u32,
    /// The fraction of its limits that this daemon may use.
    pub share: f64,
    /// Its weight in fair queueing.
    pub weight: u32,
}

/// Describes the calls that wait for a slot of one model or plain service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QueueDump {
    /// The model's or service's name.
    pub name: Arc<str>,
    /// Calls waiting for a slot.
    pub waiting: usize,
}

/// Describes a target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetDump {
    /// Its declared name.
    pub name: Arc<str>,
    /// The address of the target.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Its liveness: `unknown`, `live` or `silent`.
    pub liveness: String,
    /// Whether it is leaving and gets no new calls.
    pub leaving: bool,
    /// Whether it was removed from the declarations.
    pub retired: bool,
    /// The weight version in its last report.
    pub version: Option<u64>,
    /// Whether its last report says that weights are being loaded.
    #[serde(default)]
    pub loading: bool,
    /// Calls that this daemon has in flight at it.
    pub in_flight: u32,
    /// Its declared slots.
    pub slots: u32,
    /// Prompt tokens that it is expected to compute for calls of this daemon.
    #[serde(default)]
    pub backlog: Tokens,
    /// Blocks that it is expected to have cached.
    pub blocks: usize,
    /// Consecutive failures.
    #[serde(default)]
    pub failures: u32,
    /// Milliseconds until it gets calls again after failures.
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
    /// The address of the store.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Its liveness: `unknown`, `live` or `silent`.
    pub liveness: String,
    /// Whether it was removed from the declarations.
    pub retired: bool,
    /// The incarnation of its last response.
    pub incarnation: Option<Incarnation>,
    /// Milliseconds since its changes were last read to the end.
    pub listing_age_ms: Option<u64>,
    /// Its declared link speed, in bytes per second.
    pub link_per_second: Bytes,
    /// Its observed link speed, in bytes per second; zero before the first transfer.
    pub observed_per_second: Bytes,
    /// Bytes of this daemon's transfers in progress on the link.
    pub link_in_flight: Bytes,
}

/// Describes a peer daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerDump {
    /// Its VM name.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// The generation in its last digest.
    pub generation: Generation,
    /// Its liveness: `unknown`, `live` or `silent`.
    pub liveness: String,
    /// Milliseconds since its last digest was received.
    #[serde(default)]
    pub heard_ms: Option<u64>,
}

impl PeerDump {
    pub(crate) fn new(now: Moment, peer: &Peer) -> Self {
        Self {
            vm: peer.vm.clone(),
            domain: peer.domain.clone(),
            generation: peer.generation,
            liveness: liveness_label(peer.liveness),
            heard_ms: peer.last_received.map(|at| millis_between(now, at)),
        }
    }
}

/// Returns the label of a liveness in dumps.
pub fn liveness_label(of: Liveness) -> String {
    format!("{of:?}").to_lowercase()
}

/// Returns the whole milliseconds from `earlier` to `later`.
pub const fn millis_between(later: Moment, earlier: Moment) -> u64 {
    later.since(earlier).as_millis() as u64
}
