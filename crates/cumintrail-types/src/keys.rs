//! Small `Copy` keys and counters.

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
    /// Names a client account within one configuration snapshot lineage.
    AccountKey(u32);
    /// Names a failure domain.
    DomainKey(u16);
    /// Names a model.
    ModelKey(u16);
    /// Names a plain service.
    ServiceKey(u16);
    /// Names a route of relayed calls.
    RouteKey(u32);
    /// Names a store VM of kept KV cache.
    StoreKey(u16);
    /// Names a target: one model engine or one replica of a plain service.
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
    /// Identifies a call within one daemon process; wire ids add the daemon's incarnation.
    CallKey;
    /// Numbers a version of a model's weights.
    WeightVersion;
    /// Numbers an accepted configuration; a daemon adopts only a higher one.
    Generation;
    /// Identifies one run of a process, so that a restart on the same address is told apart.
    Incarnation;
    /// Orders the holders of a lease; an engine may refuse a lower number than it has seen.
    FencingNumber;
}
