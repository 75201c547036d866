//! Wire types of all protocols, separate from the types that the control logic uses.
//!
//! Callers, targets, stores, the platform and operators use JSON and SSE; daemons use `MessagePack`
//! between each other. docs/DESIGN.md, "Protocols", lists the paths.

pub mod caller;
pub mod configuration;
pub mod engine;
pub mod feed;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod record;
pub mod retention;
pub mod store;

mod codec;

pub use codec::{CodecError, from_msgpack, to_msgpack};
