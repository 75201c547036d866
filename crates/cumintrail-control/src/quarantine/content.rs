//! Content of calls, and whose calls with it are refused.

use std::sync::Arc;

use derive_more::From;

use crate::parts::name_hash;

/// The code that stands for all accounts.
const ALL_ACCOUNTS: u64 = 0;

/// Identifies content of calls on all daemons: a part of prompts, a prefix block, or a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, From)]
pub struct ContentKey(pub u64);

impl ContentKey {
    /// Returns the key of a part of prompts.
    pub fn of_part(name: &str) -> Self {
        Self(name_hash(name))
    }

    /// Returns the key of a request, from the texts that identify it.
    pub fn of_request<'a>(texts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for text in texts {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text);
        }
        Self::of_hash(hasher.finalize().as_bytes())
    }

    /// Returns the key that consists of the first bytes of a hash.
    pub fn of_hash(hash: &[u8]) -> Self {
        let mut key = [0; 8];
        key.copy_from_slice(&hash[..8]);
        Self(u64::from_le_bytes(key))
    }
}

/// Names the content of a call under which a target may crash.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallContent {
    /// What it may share with calls of other callers: the parts or the prefix blocks of its prompt but
    /// the last, which is its own.
    pub shared: Arc<[ContentKey]>,
    /// The whole request, which it shares with its repeats; `None` if they are not recognized.
    pub request: Option<ContentKey>,
}

impl CallContent {
    /// Returns all content.
    pub fn iter(&self) -> impl Iterator<Item = ContentKey> {
        self.shared.iter().copied().chain(self.request)
    }

    /// Returns whether no content is known.
    pub fn is_empty(&self) -> bool {
        self.shared.is_empty() && self.request.is_none()
    }
}

/// Limits the calls that a quarantine refuses.
///
/// Targets that crash under calls of one account alone prove nothing about calls of others, which
/// may share content with them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Calls of the account whose name has this hash.
    Account(u64),
    /// Calls of all accounts.
    All,
}

impl Scope {
    /// Returns the scope that stands for a hashed account name, or for all accounts.
    pub const fn of_code(code: u64) -> Self {
        if code == ALL_ACCOUNTS { Self::All } else { Self::Account(code) }
    }

    /// Returns the number that stands for the scope in digests.
    pub const fn code(self) -> u64 {
        match self {
            Self::Account(account) => account,
            Self::All => ALL_ACCOUNTS,
        }
    }

    pub(super) fn includes(self, account: u64) -> bool {
        self == Self::All || self == Self::Account(account)
    }
}
