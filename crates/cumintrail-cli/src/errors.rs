//! Errors of the command line and their exit codes.

use std::collections::BTreeMap;
use std::fmt;

use cumintrail_client::ClientError;
use cumintrail_config::Problems;
use cumintrail_types::Generation;
use serde::Serialize;
use snafu::Snafu;

/// Lists, by failure domain, the daemons that have not confirmed a generation or a drain.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Missing(pub BTreeMap<String, Vec<String>>);

impl Missing {
    /// Adds a daemon, given by its address and, if known, the reason.
    pub fn add(&mut self, domain: &str, daemon: &str) {
        self.0.entry(domain.to_owned()).or_default().push(daemon.to_owned());
    }

    /// Returns whether no daemon is listed.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Missing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, (domain, daemons)) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { "; " };
            write!(f, "{separator}{domain} ({})", daemons.join(", "))?;
        }
        Ok(())
    }
}

/// Describes why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// A file or the configuration that would result is invalid.
    #[snafu(transparent)]
    Invalid {
        /// The problems found, with file and line.
        source: Problems,
    },
    /// A request to the platform or a daemon failed.
    #[snafu(display("cannot reach {what}: {source}\n  hint: {hint}"))]
    Unreachable {
        /// The service or VM that the request was for, as the message names it.
        what: String,
        /// The error of the request.
        source: ClientError,
        /// Advice for the operator.
        hint: &'static str,
    },
    /// Another operator committed a generation first.
    #[snafu(display(
        "generation {committed} was accepted in the meantime; it changes\n{changes}\n  hint: take \
         these changes into your declarations, look at `cumintrail plan` and apply again"
    ))]
    Conflict {
        /// The committed generation.
        committed: Generation,
        /// What other operators changed since this command read the configuration.
        changes: String,
    },
    /// The platform stopped responding during the commit, so the outcome is unknown.
    #[snafu(display(
        "the change may or may not be accepted: {source}\n  hint: `cumintrail plan` tells once the \
         platform answers; applying the same declarations again is safe"
    ))]
    Unsettled {
        /// The error of the request.
        source: ClientError,
    },
    /// A record in the platform's table or object store is missing or unreadable.
    #[snafu(display("the record `{key}` is missing or unreadable\n  hint: {hint}"))]
    Record {
        /// The key of the record.
        key: String,
        /// Advice for the operator.
        hint: &'static str,
    },
    /// Not all daemons had the generation in force before the timeout.
    #[snafu(display(
        "generation {generation} is accepted but not confirmed by: {missing}\n  hint: these \
         failure domains may be cut off; look at `cumintrail status`"
    ))]
    Unconfirmed {
        /// The committed generation.
        generation: Generation,
        /// Failure domains with their daemons that have not confirmed.
        missing: Missing,
    },
    /// A target or VM was not safe to stop before the timeout.
    #[snafu(display(
        "`{name}` is not safe to stop yet; not shown by: {missing}\n  hint: run the command again \
         with a longer --wait"
    ))]
    NotDrained {
        /// The name of the target or VM.
        name: String,
        /// Failure domains with the daemons that do not show it as drained.
        missing: Missing,
    },
    /// An argument names no known target or responding VM, or standard input holds no key.
    #[snafu(display("{message}\n  hint: {hint}"))]
    Usage {
        /// What is wrong.
        message: String,
        /// Advice for the operator.
        hint: String,
    },
}

const EXIT_INVALID: u8 = 2;
const EXIT_UNREACHABLE: u8 = 3;
const EXIT_CONFLICT: u8 = 4;
const EXIT_UNCONFIRMED: u8 = 5;

impl CliError {
    /// Lists all exit codes except zero.
    pub const EXIT_CODES: [u8; 4] =
        [EXIT_INVALID, EXIT_UNREACHABLE, EXIT_CONFLICT, EXIT_UNCONFIRMED];

    /// Returns the exit code, as documented in docs/OPERATIONS.md.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Invalid { .. } | Self::Usage { .. } => EXIT_INVALID,
            Self::Unreachable { .. } | Self::Record { .. } | Self::Unsettled { .. } => {
                EXIT_UNREACHABLE
            }
            Self::Conflict { .. } => EXIT_CONFLICT,
            Self::Unconfirmed { .. } | Self::NotDrained { .. } => EXIT_UNCONFIRMED,
        }
    }

    /// Returns the error code that JSON output carries.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Invalid { .. } => "invalid",
            Self::Usage { .. } => "usage",
            Self::Unreachable { .. } => "unreachable",
            Self::Record { .. } => "record",
            Self::Unsettled { .. } => "unsettled",
            Self::Conflict { .. } => "conflict",
            Self::Unconfirmed { .. } => "unconfirmed",
            Self::NotDrained { .. } => "not-drained",
        }
    }
}
