//! Wire types of all protocols, kept apart from the types that decisions use.
//!
//! JSON and SSE towards callers, targets, stores, the platform and operators; `MessagePack`
//! between daemons. docs/DESIGN.md, "Protocols", lists the paths.

pub mod caller;
pub mod configuration;
pub mod engine;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod record;
pub mod retention;
pub mod store;

mod codec;

pub use codec::{CodecError, from_msgpack, to_msgpack};
