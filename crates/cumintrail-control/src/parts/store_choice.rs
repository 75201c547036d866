//! In which managed store a part is kept; docs/POLICY.md, "Which store keeps a part".

use cumintrail_types::{BlockKey, StoreKey, Tokens};
use smallvec::SmallVec;

/// How many times quicker than the next kind of store one must be for a part, to take it.
///
/// Quick stores have little room. Short parts gain most there, as they cost roomy stores mainly the
/// delay of each transfer.
const MIN_SPEED_RATIO: f64 = 4.0;
/// The same for a store whose room is taken up to [`SCARCE`].
const MIN_SPEED_RATIO_WHEN_SCARCE: f64 = 6.0;
/// The taken part of a store's room from which on it takes the parts that gain most only.
const SCARCE_USAGE: f64 = 0.6;
/// The taken part of a store's room from which on it takes nothing: saves on their way fill the rest.
const MAX_USAGE: f64 = 0.97;

/// Describes a store that parts may be saved to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PartStore {
    /// The store.
    pub key: StoreKey,
    /// Its place in the choice of stores, the same on all daemons.
    pub name_hash: u64,
    /// The tokens that it has room for.
    pub capacity_tokens: u64,
    /// Seconds that each transfer waits.
    pub delay_seconds: f64,
    /// Seconds that the transfer of one token takes besides.
    pub seconds_per_token: f64,
}

impl PartStore {
    /// Returns the seconds that the transfer of a part takes of its link.
    pub fn transfer_seconds(&self, tokens: Tokens) -> f64 {
        self.delay_seconds + f64::from(tokens.0) * self.seconds_per_token
    }

    fn has_equal_speed(&self, other: &Self) -> bool {
        (self.delay_seconds, self.seconds_per_token)
            == (other.delay_seconds, other.seconds_per_token)
    }

    /// Returns a number by which all daemons choose among stores alike, in proportion to their room.
    fn score(&self, part: BlockKey) -> f64 {
        -(self.capacity_tokens.max(1) as f64) / unit_hash(part, self.name_hash).ln()
    }
}

/// Holds the stores that may keep one part: one of each kind, the quickest first.
#[derive(Debug, Clone)]
pub struct StoreChoice {
    stores: SmallVec<[PartStore; 4]>,
    tokens: Tokens,
}

impl StoreChoice {
    /// Chooses them by the part's name, alike on all daemons.
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

    /// Lists them.
    pub fn keys(&self) -> impl Iterator<Item = StoreKey> + '_ {
        self.stores.iter().map(|store| store.key)
    }

    /// Chooses the one that a part is saved to; nothing where computing it anew is quicker.
    ///
    /// `taken` tells the tokens that a store holds, or nothing if it takes none at present.
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
            let is_fit = match usage {
                None => false,
                Some(usage) if usage >= MAX_USAGE => false,
                Some(usage) if usage >= SCARCE_USAGE => speed_ratio >= MIN_SPEED_RATIO_WHEN_SCARCE,
                Some(_) => speed_ratio >= MIN_SPEED_RATIO,
            };
            if is_fit && transfer_seconds < recompute_seconds {
                return Some(store.key);
            }
        }
        None
    }
}

/// Returns the place of something in a choice by its name.
pub fn name_hash(name: &str) -> u64 {
    // FNV-1a: short names, no secret, and the same on all daemons.
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Draws a number between zero and one for a part and a place, the same on all daemons.
pub fn unit_hash(key: BlockKey, name_hash: u64) -> f64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&key.0[..8]);
    let mut mixed = u64::from_le_bytes(bytes) ^ name_hash.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    let unit = ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64;
    unit.clamp(f64::EPSILON, 1.0 - f64::EPSILON)
}
