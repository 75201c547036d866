//! The platform's protocol: a transactional table, an object store and a VM list.
//!
//! - `POST /table` runs a transaction; `GET /table/{key}` reads a row.
//! - `PUT`, `GET` and `DELETE /objects/{name}`.
//! - `GET /vms`, whose entity tag is the list's number; `If-None-Match` spares an unchanged list.

use std::net::SocketAddr;
use std::sync::Arc;

use cumintrail_control::{VmEntry, VmRole, VmState};
use cumintrail_types::FencingNumber;
use derive_more::From;
use serde::{Deserialize, Serialize};

/// Holds a transaction: all conditions hold and all writes happen, or none does.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written.
    pub writes: Vec<Write>,
}

/// Demands the version that a row has.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Condition {
    /// The row's key.
    pub key: String,
    /// Its version; zero demands that it is absent.
    pub version: u64,
}

/// Writes a row.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// Its new value; nothing removes it.
    pub value: Option<String>,
}

/// Answers a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// Whether the writes happened.
    pub committed: bool,
    /// The rows of the conditions, as they were found.
    pub found: Vec<Option<Row>>,
    /// The version that all written rows have, where versions are counted over all rows.
    #[serde(default)]
    pub version: Option<u64>,
}

/// Holds a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Grows with each write of the row, from 1.
    pub version: u64,
    /// The value.
    pub value: String,
}

/// Answers `GET /vms`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct VmList {
    /// Grows with each change; a lagging answer has a lower one.
    pub sequence: u64,
    /// The VMs.
    pub vms: Vec<ListedVm>,
}

/// Returns the entity tag of a VM list.
pub fn vm_list_etag(sequence: u64) -> String {
    format!("\"{sequence}\"")
}

/// Describes a VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedVm {
    /// The address of the process on it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// What runs on it.
    pub role: ListedRole,
    /// Whether it is about to be stopped.
    #[serde(default)]
    pub leaving: bool,
}

/// Names what runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, From, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedRole {
    /// A daemon, at its operator address.
    Daemon,
    /// A target.
    Target,
    /// A store.
    Store,
}

impl From<ListedVm> for VmEntry {
    fn from(vm: ListedVm) -> Self {
        let role = match vm.role {
            ListedRole::Daemon => VmRole::Daemon,
            ListedRole::Target => VmRole::Target,
            ListedRole::Store => VmRole::Store,
        };
        let state = if vm.leaving { VmState::Leaving } else { VmState::Live };
        Self { address: vm.address, domain: vm.domain.into(), role, state }
    }
}

/// The row of the lease for orders to targets.
pub const LEASE_KEY: &str = "lease/rollout";

/// Holds the row [`LEASE_KEY`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The VM and the run of its process that wrote the row.
    pub holder: Arc<str>,
    /// The number of its holding, which orders carry.
    pub fencing: FencingNumber,
    /// Whether the holder has given the lease back.
    pub released: bool,
}
