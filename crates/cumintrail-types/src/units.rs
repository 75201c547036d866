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

/// Counts requests a second, in thousandths of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display)]
#[display("{}.{:03}", _0 / 1_000, _0 % 1_000)]
pub struct RequestRate(pub u32);

impl RequestRate {
    /// Parses a decimal number of requests a second; `None` for a negative number and for any other
    /// text. A rate beyond the largest one is the largest one.
    pub fn parse(text: &str) -> Option<Self> {
        let rate: f64 = text.trim().parse().ok()?;
        (rate >= 0.0).then(|| Self::from_per_second(rate))
    }

    /// Returns the rate of a number of requests a second.
    pub fn from_per_second(rate: f64) -> Self {
        Self((rate * 1_000.0) as u32)
    }

    /// Returns the number of requests a second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}
