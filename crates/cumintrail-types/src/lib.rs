//! Keys, units and other small types shared by the cumintrail crates; docs/GLOSSARY.md maps them
//! to standard terms.

mod arena;
mod block;
mod call;
mod clock;
mod keys;
mod log_text;
mod refusal;
mod time;
mod units;

pub use arena::{Arena, Key};
pub use block::{BlockKey, Digest, KeyChain, Sealed, Tier, WriteId};
pub use call::{AttemptNumber, CallClass, Ran, Urgency};
pub use clock::{Clock, since_boot};
pub use keys::{
    AccountKey, CallKey, DomainKey, FencingNumber, Generation, Incarnation, ModelKey, RouteKey,
    ServiceKey, StoreKey, TargetKey, WeightVersion,
};
pub use log_text::LogText;
pub use refusal::{Refusal, RefusalCode};
pub use time::Moment;
pub use units::{Bytes, RequestRate, Tokens};
