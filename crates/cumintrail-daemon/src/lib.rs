//! The daemon of one entry VM.
//!
//! One thread owns the control state, traffic threads serve calls, and a background thread does
//! the I/O that the control state requests; docs/DESIGN.md, "The life of a request".

mod background;
mod callers;
mod clock;
mod control_meter;
mod control_thread;
mod daemon;
mod degraded;
mod endpoint;
mod evacuation_lines;
mod gateway;
pub mod held;
mod limit_lines;
mod log_queue;
mod metric;
mod operators;
mod platform_contact;
mod process;
mod quarantine_lines;
mod relay;
mod shared;
mod spill_lines;
mod table;
mod usage;
mod version_lines;

pub use daemon::{Daemon, SpawnError};
pub use gateway::{Gateway, GatewayOptions, OperatorChange, Platform};
pub use metric::{METRICS, MetricDescription, MetricKind, install_recorder};
pub use process::{Arguments, EXIT_CODES, ignore_early_hangups, run, run_gateway};
pub use relay::{
    ForwardMetadata, HeaderDialect, NativeDialect, Part, ProcessIdentity, Relay, RequestMetadata,
    ResponseKind,
};
pub use relay::{dialect, events};
pub use usage::{ProcessUsage, process_usage};
