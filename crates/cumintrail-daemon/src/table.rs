//! The way to the rows of idempotency keys in the platform's table; docs/DESIGN.md, "At most once".

mod gate;
mod link;
mod writer;

pub use gate::TableGate;
pub use link::{Lost, TableLink, Written, parse};
pub use writer::{Urgency, WriterLink, channel, run};
