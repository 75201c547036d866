//! The operators' command line: declarations, presets, status, dumps and drains.

mod commands;
mod declarations;
pub mod drain;
pub mod dump;
mod errors;
mod lift;
mod operator_client;
mod publish;
pub mod status;
mod table;

pub use commands::{Arguments, run, run_to_exit, wait_for_confirmation};
pub use errors::{CliError, Missing};
pub use operator_client::OperatorClient;
pub use publish::{CommittedConfiguration, ConfigurationChange, apply, plan, switch_preset};
pub use table::Style;
