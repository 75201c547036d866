//! A readable description of the control state.

use std::net::SocketAddr;
use std::sync::Arc;

use cumintrail_types::{CallKey, Generation, Incarnation, Moment};
use serde::{Deserialize, Serialize};

use crate::Call;
use crate::membership::Peer;

/// Describes a daemon; holds no prompt text, answer or key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Dump {
    /// The VM's name.
    pub vm: Arc<str>,
    /// The VM's failure domain.
    pub domain: Arc<str>,
    /// The run of the process.
    pub incarnation: Incarnation,
    /// The generation in force.
    pub generation: Generation,
    /// The preset in force.
    pub preset: Option<Arc<str>>,
    /// Whether the daemon takes no new work.
    pub stopping: bool,
    /// Calls that wait for a slot.
    pub waiting: usize,
    /// Calls that are not answered yet.
    pub calls: Vec<CallDump>,
    /// The targets as this daemon sees them.
    pub targets: Vec<TargetDump>,
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
    /// How far it has come.
    pub phase: String,
    /// Attempts so far.
    pub attempts: u8,
    /// Milliseconds since it arrived.
    pub age_ms: u64,
    /// Milliseconds until it is given up.
    pub left_ms: u64,
}

impl CallDump {
    pub(crate) fn new(now: Moment, key: CallKey, call: &Call) -> Self {
        Self {
            call: key,
            phase: format!("{:?}", call.phase()).to_lowercase(),
            attempts: call.attempts(),
            age_ms: now.since(call.arrived).as_millis() as u64,
            left_ms: call.arrival.deadline.since(now).as_millis() as u64,
        }
    }
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
    /// Calls that this daemon has out at it.
    pub in_flight: u32,
    /// Its declared slots.
    pub slots: u32,
    /// Blocks that it probably holds.
    pub blocks: usize,
    /// Milliseconds since its last report.
    pub report_age_ms: Option<u64>,
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
}

impl From<&Peer> for PeerDump {
    fn from(peer: &Peer) -> Self {
        Self {
            vm: peer.vm.clone(),
            domain: peer.domain.clone(),
            generation: peer.generation,
            liveness: format!("{:?}", peer.liveness).to_lowercase(),
        }
    }
}
