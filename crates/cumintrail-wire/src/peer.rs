//! What daemons tell each other, in `MessagePack` over HTTP.
//!
//! - `POST /peer/digest` takes a [`DigestMessage`].
//! - `POST /peer/config` takes a [`ConfigRequest`] and answers a [`ConfigReply`].

use std::net::SocketAddr;
use std::sync::Arc;

use cumintrail_config::{Delta, Sections};
use cumintrail_control::PeerDigest;
use cumintrail_types::{Digest, Generation, Incarnation, Sealed, Tier};
use serde::{Deserialize, Serialize};

/// Holds a daemon's digest; see [`PeerDigest`] for the fields.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DigestMessage {
    vm: Arc<str>,
    domain: Arc<str>,
    incarnation: Incarnation,
    address: Option<SocketAddr>,
    generation: Generation,
    #[serde(default)]
    leaving: Vec<(SocketAddr, Incarnation)>,
    #[serde(default)]
    stored: Vec<(SocketAddr, Sealed, Tier)>,
    #[serde(default)]
    wants: Vec<(Arc<str>, u32)>,
}

impl From<PeerDigest> for DigestMessage {
    fn from(d: PeerDigest) -> Self {
        Self {
            vm: d.vm,
            domain: d.domain,
            incarnation: d.incarnation,
            address: d.address,
            generation: d.generation,
            leaving: d.leaving,
            stored: d.stored,
            wants: d.wants,
        }
    }
}

impl From<DigestMessage> for PeerDigest {
    fn from(m: DigestMessage) -> Self {
        Self {
            vm: m.vm,
            domain: m.domain,
            incarnation: m.incarnation,
            address: m.address,
            generation: m.generation,
            leaving: m.leaving,
            stored: m.stored,
            wants: m.wants,
        }
    }
}

/// Answers a digest, so that a sender that lags learns it from the one it told.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct DigestReply {
    /// The generation in force at the receiver.
    pub generation: Generation,
}

/// Asks a peer for what it has in force beyond `after`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// The generation in force at the asker.
    pub after: Generation,
}

/// Answers with changes, a snapshot, or nothing newer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum ConfigReply {
    /// The peer has nothing newer.
    Nothing,
    /// The changes after the asker's generation, in order.
    Changes(Vec<ChangeRecord>),
    /// The whole configuration.
    Snapshot(SnapshotRecord),
}

/// Holds the row `config/head`: the accepted generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRecord {
    /// The accepted generation.
    pub generation: Generation,
    /// The random id of the change, which settles a lost answer.
    pub change: String,
    /// The newest generation that has a snapshot in the object store.
    pub snapshot: Generation,
}

/// Holds the row `config/change/{generation}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The generation that this change makes.
    pub generation: Generation,
    /// The random id of the change.
    pub change: String,
    /// What changes.
    pub delta: Delta,
    /// The preset in force from here on.
    pub preset: Arc<str>,
}

/// Holds the object `config/{generation}`: a whole configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// The generation.
    pub generation: Generation,
    /// The preset in force.
    pub preset: Arc<str>,
    /// All declarations, as pairs, since JSON keys are text.
    pub sections: Vec<(cumintrail_config::SectionName, Arc<str>)>,
}

impl SnapshotRecord {
    /// Returns the declarations.
    pub fn to_sections(&self) -> Sections {
        Sections(self.sections.iter().cloned().collect())
    }
}

/// The row of the accepted generation.
pub const HEAD_KEY: &str = "config/head";

/// Names the row of a change.
pub fn change_key(generation: Generation) -> String {
    format!("config/change/{generation:020}", generation = generation.0)
}

/// Names the object of a whole configuration.
pub fn snapshot_name(generation: Generation, change: &str) -> String {
    format!("config/{}-{change}", generation.0)
}

/// Names the object of a shared text.
pub fn material_name(digest: &Digest) -> String {
    format!("material/{digest}")
}
