//! The platform's protocol: a transactional table, an object store and a VM list.
//!
//! - `POST /table` runs a transaction; `GET /table/{key}` reads a row.
//! - `PUT`, `GET` and `DELETE /objects/{name}` write, read and remove an object.
//! - `GET /vms` reads the VM list. The list's sequence number is its `ETag`, so that
//!   `If-None-Match` avoids the transfer of an unchanged list.

use std::net::SocketAddr;
use std::sync::Arc;

use cumintrail_control::{VmEntry, VmRole, VmState};
use cumintrail_types::FencingNumber;
use derive_more::From;
use serde::{Deserialize, Serialize};

/// Represents a transaction: all writes take effect if all conditions hold, otherwise none does.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Transaction {
    /// The conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// Requires that a row has a given version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Condition {
    /// The row's key.
    pub key: String,
    /// The required version; zero requires that the row is absent.
    pub version: u64,
}

/// Writes or removes a row.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The new value; `None` removes the row.
    pub value: Option<String>,
}

/// Represents the response to a transaction.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TransactionResponse {
    /// Whether the writes took effect.
    pub committed: bool,
    /// The rows of the conditions, in their order, with `None` for an absent row; may be empty if
    /// the writes took effect.
    pub found: Vec<Option<Row>>,
    /// The version of all written rows, if the table counts versions over all rows.
    #[serde(default)]
    pub version: Option<u64>,
}

/// Represents a row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The version: 1 or higher, increased by each write of the row.
    pub version: u64,
    /// The value.
    pub value: String,
}

/// Represents the response to `GET /vms`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct VmList {
    /// The sequence number, which increases with each change; a stale response has a lower one.
    pub sequence: u64,
    /// The VMs of the deployment.
    pub vms: Vec<ListedVm>,
}

/// Returns the `ETag` of the VM list with this sequence number.
pub fn vm_list_etag(sequence: u64) -> String {
    format!("\"{sequence}\"")
}

/// Describes a VM of the list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedVm {
    /// The address of the process that runs on the VM.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: String,
    /// The kind of process that runs on the VM.
    pub role: ListedRole,
    /// Whether the VM is about to be stopped.
    #[serde(default)]
    pub leaving: bool,
}

/// Describes what kind of process runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, From, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedRole {
    /// A daemon; the address is its operator address.
    Daemon,
    /// A target: a model engine or a replica of a plain service.
    Target,
    /// A store: a cache tier outside the engines.
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

/// The key of the row that stores the recent software versions of targets.
pub const SOFTWARE_HISTORY_KEY: &str = "software/recent";

/// Represents the row [`SOFTWARE_HISTORY_KEY`]: models and services by the hash of their name, with
/// their versions.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SoftwareHistoryRecord {
    /// The versions of the models and services that have or lately had several.
    pub versions: Vec<(u64, Arc<str>)>,
}

/// The key of the row that stores the lease under which orders to targets are sent.
pub const LEASE_KEY: &str = "lease/rollout";

/// Represents the row [`LEASE_KEY`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The VM name and the incarnation of the daemon that wrote the row.
    pub holder: Arc<str>,
    /// The fencing number that the holder's orders carry.
    pub fencing: FencingNumber,
    /// Whether the holder has released the lease.
    pub released: bool,
}
