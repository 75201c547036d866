//! Keys that a daemon issues for operations that only it may run.

use std::net::SocketAddr;
use std::str::FromStr;

use cumintrail_types::{Incarnation, Moment, WriteId};
use derive_more::Display;

const CONTEXT: &str = "cumintrail 2026 operation keys";
/// Starts each issued key, so that it is told apart from callers' own keys.
const PREFIX: &str = "cumintrail-op1";
const SEPARATOR: char = '_';

/// Names one operation and the one process that may run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{PREFIX}_{address}_{:x}_{:x}_{id}_{mac}", incarnation.0, issued.0)]
pub struct OperationKey {
    /// Where peers reach the issuer.
    pub address: SocketAddr,
    /// The run of the issuer's process.
    pub incarnation: Incarnation,
    /// When it was issued, by the issuer's monotonic clock; only the issuer may read it.
    pub issued: Moment,
    /// The random id.
    pub id: WriteId,
    mac: WriteId,
}

/// Reports a text that is no operation key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("no operation key")]
pub struct InvalidOperationKey;

impl FromStr for OperationKey {
    type Err = InvalidOperationKey;

    fn from_str(text: &str) -> Result<Self, InvalidOperationKey> {
        let parts: Vec<&str> = text.split(SEPARATOR).collect();
        let [PREFIX, address, incarnation, issued, id, mac] = parts[..] else {
            return Err(InvalidOperationKey);
        };
        let hex = |text| u64::from_str_radix(text, 16).map_err(|_| InvalidOperationKey);
        Ok(Self {
            address: address.parse().map_err(|_| InvalidOperationKey)?,
            incarnation: Incarnation(hex(incarnation)?),
            issued: Moment(hex(issued)?),
            id: id.parse().map_err(|_| InvalidOperationKey)?,
            mac: mac.parse().map_err(|_| InvalidOperationKey)?,
        })
    }
}

impl OperationKey {
    /// Tells whether a text claims to be an operation key.
    pub fn has_prefix(text: &str) -> bool {
        text.starts_with(PREFIX)
    }
}

/// Issues operation keys and tells genuine ones; equal on all daemons.
#[derive(Clone)]
pub struct OperationKeySigner([u8; 32]);

impl std::fmt::Debug for OperationKeySigner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("OperationKeySigner(hidden)")
    }
}

impl OperationKeySigner {
    /// Derives the ring from the daemons' common key.
    pub fn new(peer_key: &str) -> Self {
        Self(blake3::derive_key(CONTEXT, peer_key.as_bytes()))
    }

    /// Issues a key for a client account.
    pub fn issue(
        &self,
        account: &str,
        address: SocketAddr,
        incarnation: Incarnation,
        issued: Moment,
        id: WriteId,
    ) -> OperationKey {
        let unsigned = OperationKey { address, incarnation, issued, id, mac: WriteId([0; 16]) };
        OperationKey { mac: self.compute_mac(account, &unsigned), ..unsigned }
    }

    /// Tells whether a key was issued to this client account.
    pub fn verifies(&self, account: &str, key: &OperationKey) -> bool {
        // The comparison of keyed hashes is the library's, which takes constant time.
        let wide = |mac: WriteId| {
            let mut bytes = [0; 32];
            bytes[..16].copy_from_slice(&mac.0);
            blake3::Hash::from_bytes(bytes)
        };
        wide(self.compute_mac(account, key)) == wide(key.mac)
    }

    fn compute_mac(&self, account: &str, key: &OperationKey) -> WriteId {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        let named = format!("{account}\0{}\0", key.address);
        hasher.update(named.as_bytes());
        hasher.update(&key.incarnation.0.to_le_bytes());
        hasher.update(&key.issued.0.to_le_bytes());
        hasher.update(&key.id.0);
        let mut mac = [0; 16];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        WriteId(mac)
    }
}
