//! KV cache blocks in stores: their keys, seals and the hash chain that derives the keys.

use std::fmt;
use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Bytes, Tokens, WeightVersion};

const KEY_DERIVATION_CONTEXT: &str = "cumintrail 2026 block key chain";

macro_rules! hex_ids {
    ($($(#[$doc:meta])* $name:ident, $len:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(pub [u8; $len]);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }

        impl FromStr for $name {
            type Err = InvalidHex;

            fn from_str(text: &str) -> Result<Self, InvalidHex> {
                let mut bytes = [0; $len];
                decode_hex(text, &mut bytes).map(|()| Self(bytes))
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidHex;

            fn try_from(text: String) -> Result<Self, InvalidHex> {
                text.parse()
            }
        }
    )*};
}

hex_ids! {
    /// Identifies a prefix block: 128 bits of the keyed hash chain up to and including the block.
    BlockKey, 16;
    /// Identifies one write of a block, so that a reader detects reuse of freed space.
    WriteId, 16;
    /// Contains the 32 bytes of a BLAKE3 hash.
    Digest, 32;
}

impl Digest {
    /// Computes the BLAKE3 digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }
}

/// Indicates text that is not the expected number of hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("not a name in hexadecimal digits of the right length")]
pub struct InvalidHex;

impl std::error::Error for InvalidHex {}

fn decode_hex(text: &str, bytes: &mut [u8]) -> Result<(), InvalidHex> {
    if text.len() != bytes.len() * 2 || !text.is_ascii() {
        return Err(InvalidHex);
    }
    for (i, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).map_err(|_| InvalidHex)?;
    }
    Ok(())
}

/// Identifies the storage tier in which a store VM holds a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Tier {
    /// Main memory of the store VM.
    #[display("memory")]
    Memory,
    /// Disk of the store VM.
    #[display("disk")]
    Disk,
}

/// Describes a completely written block; a read whose bytes do not match is a miss.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sealed {
    /// The key of the block.
    pub key: BlockKey,
    /// The write that produced the bytes; also the store's strong `ETag`.
    pub write_id: WriteId,
    /// The digest of the bytes.
    pub digest: Digest,
    /// The number of bytes.
    pub length: Bytes,
}

impl Sealed {
    /// Returns whether bytes that were read have the digest and length of the sealed block.
    pub fn matches(&self, digest: Digest, length: Bytes) -> bool {
        (digest, length) == (self.digest, self.length)
    }
}

/// Derives the block keys of a prompt; see docs/DESIGN.md, "Block keys".
///
/// The chain is keyed with the client account's secret, so no other account can derive its block
/// keys, and it covers model, adapter and weight version, so a weight version never reads blocks
/// of another one.
#[derive(Debug, Clone)]
pub struct KeyChain {
    secret: [u8; 32],
    previous: BlockKey,
}

impl KeyChain {
    /// Starts a chain for one account, model, adapter and weight version.
    pub fn new(account_secret: &[u8], model: &str, adapter: &str, version: WeightVersion) -> Self {
        let secret = blake3::derive_key(KEY_DERIVATION_CONTEXT, account_secret);
        let mut hasher = blake3::Hasher::new_keyed(&secret);
        for part in [model.as_bytes(), adapter.as_bytes(), &version.0.to_le_bytes()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self { secret, previous: truncate_to_key(&hasher.finalize()) }
    }

    /// Returns the cache salt: the key from which all further block keys of the chain derive.
    pub const fn cache_salt(&self) -> BlockKey {
        self.previous
    }

    /// Appends the prompt text of the next block and returns the key of that block.
    pub fn next_key(&mut self, block: &[u8]) -> BlockKey {
        let mut hasher = blake3::Hasher::new_keyed(&self.secret);
        hasher.update(&self.previous.0);
        hasher.update(block);
        self.previous = truncate_to_key(&hasher.finalize());
        self.previous
    }

    /// Returns the keys of all full blocks of `prompt`; a shorter remainder has no key.
    pub fn block_keys(
        mut self,
        prompt: &str,
        block_tokens: Tokens,
        bytes_per_token: u32,
    ) -> Vec<BlockKey> {
        let block_bytes = (block_tokens.0 * bytes_per_token).max(1) as usize;
        prompt.as_bytes().chunks_exact(block_bytes).map(|block| self.next_key(block)).collect()
    }
}

fn truncate_to_key(hash: &blake3::Hash) -> BlockKey {
    let mut key = [0; 16];
    key.copy_from_slice(&hash.as_bytes()[..16]);
    BlockKey(key)
}
