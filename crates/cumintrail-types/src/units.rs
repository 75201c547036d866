//! Quantities whose type carries the unit.

use derive_more::{Add, AddAssign, Display, From, FromStr, Into, Sum};
use serde::{Deserialize, Serialize};

/// Counts prompt tokens or output tokens.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Display,
    Add,
    AddAssign,
    Sum,
    From,
    Into,
    FromStr,
    Serialize,
    Deserialize,
)]
pub struct Tokens(pub u32);

impl Tokens {
    /// Subtracts `other`, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

/// Counts bytes of memory, disk or traffic.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Display,
    Add,
    AddAssign,
    Sum,
    From,
    Into,
    FromStr,
    Serialize,
    Deserialize,
)]
pub struct Bytes(pub u64);

impl Bytes {
    /// Subtracts `other`, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}
