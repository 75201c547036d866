//! The operators' command line: declarations, presets, status and dumps.

mod access;
mod commands;
pub mod drain;
pub mod dump;
mod errors;
mod materials;
mod publish;
pub mod status;
mod table;

pub use access::Access;
pub use commands::{Arguments, confirm, run, run_to_exit};
pub use errors::{CliError, Missing};
pub use publish::{Accepted, Change, apply, plan, switch_preset};
pub use table::Style;
