//! Errors of the command line and their exit codes.

use std::collections::BTreeMap;
use std::fmt;

use cumintrail_client::ClientError;
use cumintrail_config::Problems;
use cumintrail_types::Generation;
use serde::Serialize;
use snafu::Snafu;

/// Lists failure domains with the daemons in them that have not answered as wished.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Missing(pub BTreeMap<String, Vec<String>>);

impl Missing {
    /// Adds a daemon.
    pub fn add(&mut self, domain: &str, daemon: &str) {
        self.0.entry(domain.to_owned()).or_default().push(daemon.to_owned());
    }

    /// Tells whether nothing is missing.
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
        "generation {committed} was accepted in the meantime; it changes\n{changes}\n  hint: take \
         these changes into your declarations, look at `cumintrail plan` and apply again"
    ))]
    Conflict {
        /// The generation in force.
        committed: Generation,
        /// What the winners changed.
        changes: String,
    },
    /// The platform stopped answering while the change was on its way.
    #[snafu(display(
        "the change may or may not be accepted: {source}\n  hint: `cumintrail plan` tells once the \
         platform answers; applying the same declarations again is safe"
    ))]
    Unsettled {
        /// The client's error.
        source: ClientError,
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
    #[snafu(display(
        "generation {generation} is accepted but not confirmed by: {missing}\n  hint: these \
         failure domains may be cut off; look at `cumintrail status`"
    ))]
    Unconfirmed {
        /// The generation.
        generation: Generation,
        /// Failure domains with their daemons that have not confirmed.
        missing: Missing,
    },
    /// Not all daemons show a target or VM as drained.
    #[snafu(display(
        "`{name}` is not safe to stop yet; not shown by: {missing}\n  hint: run the command again \
         with a longer --wait"
    ))]
    NotDrained {
        /// The target or VM.
        name: String,
        /// Failure domains with the daemons that do not show it.
        missing: Missing,
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
            Self::Unreachable { .. } | Self::Record { .. } | Self::Unsettled { .. } => {
                EXIT_UNREACHABLE
            }
            Self::Conflict { .. } => EXIT_CONFLICT,
            Self::Unconfirmed { .. } | Self::NotDrained { .. } => EXIT_UNCONFIRMED,
        }
    }

    /// Names the kind of error for scripts.
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
