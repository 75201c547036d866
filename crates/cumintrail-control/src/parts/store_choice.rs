//! Choice of the managed store for a part; docs/POLICY.md, "Which store keeps a part".

use cumintrail_types::{BlockKey, StoreKey, Tokens};
use smallvec::SmallVec;

/// Minimum ratio of transfer times, the next slower store's to this store's, for a part to be
/// saved.
///
/// Fast stores have little capacity. Short parts gain most from fast stores: from a large store, a
/// short transfer consists mainly of the fixed delay.
const MIN_SPEED_RATIO: f64 = 4.0;
/// The minimum ratio for a store whose used fraction is at least [`SCARCE_USAGE`].
const MIN_SPEED_RATIO_WHEN_SCARCE: f64 = 6.0;
/// Used fraction of a store's capacity from which [`MIN_SPEED_RATIO_WHEN_SCARCE`] applies to it.
const SCARCE_USAGE: f64 = 0.6;
/// Used fraction of a store's capacity from which no parts are saved there: saves in flight fill
/// the rest.
const MAX_USAGE: f64 = 0.97;

/// Describes a store that parts may be saved to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PartStore {
    /// The store.
    pub key: StoreKey,
    /// The hash of the store's name by [`name_hash`], the same on all daemons.
    pub name_hash: u64,
    /// The capacity in tokens, which a store of parts declares as `capacity_bytes`.
    pub capacity_tokens: u64,
    /// The fixed delay of each transfer.
    pub delay_seconds: f64,
    /// The additional transfer time per token.
    pub seconds_per_token: f64,
}

impl PartStore {
    /// Returns the seconds that the transfer of a part occupies the store's link.
    pub fn transfer_seconds(&self, tokens: Tokens) -> f64 {
        self.delay_seconds + f64::from(tokens.0) * self.seconds_per_token
    }

    fn has_equal_speed(&self, other: &Self) -> bool {
        (self.delay_seconds, self.seconds_per_token)
            == (other.delay_seconds, other.seconds_per_token)
    }

    /// Returns the score of weighted rendezvous hashing: the store with the highest score is
    /// chosen, and stores are chosen in proportion to their capacity.
    fn score(&self, part: BlockKey) -> f64 {
        -(self.capacity_tokens.max(1) as f64) / unit_hash(part, self.name_hash).ln()
    }
}

/// Lists the stores that may store one part: one for each transfer speed, the fastest first.
#[derive(Debug, Clone)]
pub struct StoreChoice {
    stores: SmallVec<[PartStore; 4]>,
    tokens: Tokens,
}

impl StoreChoice {
    /// Chooses the stores by the part's key; all daemons choose the same ones.
    pub fn new(stores: &[PartStore], part: BlockKey, tokens: Tokens) -> Self {
        let mut chosen: SmallVec<[PartStore; 4]> = SmallVec::new();
        for store in stores {
            match chosen.iter_mut().find(|other| other.has_equal_speed(store)) {
                Some(other) if store.score(part) > other.score(part) => *other = *store,
                Some(_) => {}
                None => chosen.push(*store),
            }
        }
        chosen.sort_by(|a, b| a.transfer_seconds(tokens).total_cmp(&b.transfer_seconds(tokens)));
        Self { stores: chosen, tokens }
    }

    /// Returns the keys of the stores, the fastest first.
    pub fn keys(&self) -> impl Iterator<Item = StoreKey> + '_ {
        self.stores.iter().map(|store| store.key)
    }

    /// Returns the store to save the part to; `None` if no store may take it or recomputing is
    /// faster than reading from each store that may.
    ///
    /// `used_tokens` returns the tokens in a store, or `None` if no parts may be saved there now.
    pub fn store_to_save(
        &self,
        recompute_seconds: f64,
        used_tokens: impl Fn(StoreKey) -> Option<u64>,
    ) -> Option<StoreKey> {
        let mut rest = self.stores.iter().peekable();
        while let Some(store) = rest.next() {
            let transfer_seconds = store.transfer_seconds(self.tokens);
            let speed_ratio = rest
                .peek()
                .map_or(f64::MAX, |next| next.transfer_seconds(self.tokens) / transfer_seconds);
            let usage = used_tokens(store.key)
                .map(|tokens| tokens as f64 / store.capacity_tokens.max(1) as f64);
            let may_save = match usage {
                None => false,
                Some(usage) if usage >= MAX_USAGE => false,
                Some(usage) if usage >= SCARCE_USAGE => speed_ratio >= MIN_SPEED_RATIO_WHEN_SCARCE,
                Some(_) => speed_ratio >= MIN_SPEED_RATIO,
            };
            if may_save && transfer_seconds < recompute_seconds {
                return Some(store.key);
            }
        }
        None
    }
}

/// Returns the hash of a name, as an input of rendezvous hashing.
pub fn name_hash(name: &str) -> u64 {
    // FNV-1a: names are short and not secret, and the hash must be the same on all daemons.
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Returns a hash of a part's key and a name's hash between zero and one, the same on all daemons.
pub fn unit_hash(key: BlockKey, name_hash: u64) -> f64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&key.0[..8]);
    let mut mixed = u64::from_le_bytes(bytes) ^ name_hash.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    let unit = ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64;
    unit.clamp(f64::EPSILON, 1.0 - f64::EPSILON)
}
