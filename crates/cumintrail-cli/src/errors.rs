//! Errors of the command line and their exit codes.

use cumintrail_client::ClientError;
use cumintrail_config::Problems;
use cumintrail_types::Generation;
use snafu::Snafu;

/// Tells why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// Files have errors.
    #[snafu(transparent)]
    Invalid {
        /// The errors.
        source: Problems,
    },
    /// The platform or a daemon cannot be reached.
    #[snafu(display("cannot reach {what}: {source}\n  hint: {hint}"))]
    Unreachable {
        /// What was asked.
        what: String,
        /// The client's error.
        source: ClientError,
        /// What to do.
        hint: &'static str,
    },
    /// Another operator was faster.
    #[snafu(display(
        "generation {accepted} was accepted in the meantime\n  hint: look at `cumintrail plan` \
         and apply again; sections changed by the other operator: {sections}"
    ))]
    Conflict {
        /// The generation in force.
        accepted: Generation,
        /// The sections that the winner changed.
        sections: String,
    },
    /// A record of the platform cannot be read.
    #[snafu(display("the record `{key}` is missing or unreadable\n  hint: {hint}"))]
    Record {
        /// Its key.
        key: String,
        /// What to do.
        hint: &'static str,
    },
    /// Not all daemons confirmed in time.
    #[snafu(display("generation {generation} is accepted but not confirmed by: {missing}"))]
    Unconfirmed {
        /// The generation.
        generation: Generation,
        /// Failure domains and VMs that have not confirmed.
        missing: String,
    },
    /// The command's arguments do not fit.
    #[snafu(display("{message}\n  hint: {hint}"))]
    Usage {
        /// What is wrong.
        message: String,
        /// What to do.
        hint: String,
    },
}

const EXIT_INVALID: u8 = 2;
const EXIT_UNREACHABLE: u8 = 3;
const EXIT_CONFLICT: u8 = 4;
const EXIT_UNCONFIRMED: u8 = 5;

impl CliError {
    /// Lists all exit codes but zero.
    pub const EXIT_CODES: [u8; 4] =
        [EXIT_INVALID, EXIT_UNREACHABLE, EXIT_CONFLICT, EXIT_UNCONFIRMED];

    /// Returns the exit code, as docs/OPERATIONS.md documents it.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Invalid { .. } | Self::Usage { .. } => EXIT_INVALID,
            Self::Unreachable { .. } | Self::Record { .. } => EXIT_UNREACHABLE,
            Self::Conflict { .. } => EXIT_CONFLICT,
            Self::Unconfirmed { .. } => EXIT_UNCONFIRMED,
        }
    }
}
