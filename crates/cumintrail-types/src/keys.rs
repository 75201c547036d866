//! Small `Copy` keys, identifiers and version numbers.

use derive_more::{Display, From, FromStr, Into};
use serde::{Deserialize, Serialize};

use crate::Key;

macro_rules! arena_keys {
    ($($(#[$doc:meta])* $name:ident($repr:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
        #[derive(From, Into, Serialize, Deserialize)]
        pub struct $name(pub $repr);

        impl Key for $name {
            fn from_index(index: usize) -> Self {
                Self(<$repr>::try_from(index).unwrap_or(<$repr>::MAX))
            }

            fn index(self) -> usize {
                usize::try_from(self.0).unwrap_or(usize::MAX)
            }
        }
    )*};
}

arena_keys! {
    /// Identifies a client account in a configuration snapshot and in those built from it.
    AccountKey(u32);
    /// Identifies a failure domain of a configuration snapshot.
    DomainKey(u16);
    /// Identifies a model of a configuration snapshot.
    ModelKey(u16);
    /// Identifies a plain service of a configuration snapshot.
    ServiceKey(u16);
    /// Identifies a route of relayed calls.
    RouteKey(u32);
    /// Identifies a store of KV cache blocks or prompt parts.
    StoreKey(u16);
    /// Identifies a target: one model engine or one replica of a plain service.
    TargetKey(u32);
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Display)]
        #[derive(From, Into, FromStr, Serialize, Deserialize)]
        pub struct $name(pub u64);
    )*};
}

counters! {
    /// Identifies a call within one daemon process; ids on the wire add the daemon's incarnation.
    CallKey;
    /// Numbers a version of a model's weights.
    WeightVersion;
    /// Numbers a committed configuration; a daemon adopts only a higher generation.
    Generation;
    /// Identifies one process lifetime, so that a restart at the same address is detected.
    Incarnation;
    /// Orders the holders of a lease; an engine may refuse a number lower than one it has seen.
    FencingNumber;
}
