//! Access to the rows of idempotency keys in the platform's table; docs/DESIGN.md, "At most once".

mod breaker;
mod client;
mod index;
mod writer;

pub use breaker::TableBreaker;
pub use client::{NoResponse, TableClient, WriteOutcome, parse_record};
pub use writer::{WriteKind, WriterHandle, channel, run};
