//! What operators read from a daemon.

use std::fmt;
use std::sync::Arc;

use cumintrail_types::Generation;
use serde::{Deserialize, Serialize};

const MS_PER_SECOND: u64 = 1_000;
const MS_PER_MINUTE: u64 = 60 * MS_PER_SECOND;
const MS_PER_HOUR: u64 = 60 * MS_PER_MINUTE;
const MS_PER_DAY: u64 = 24 * MS_PER_HOUR;

/// Answers `GET /operator/status`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The VM's name.
    pub vm: Arc<str>,
    /// The VM's failure domain.
    pub domain: Arc<str>,
    /// The generation in force.
    pub generation: Generation,
    /// The preset in force.
    pub preset: Option<Arc<str>>,
    /// Whether the daemon takes new calls.
    pub ready: bool,
    /// How long the process has run.
    #[serde(rename = "up_ms")]
    pub up: Age,
    /// What is not as it should be.
    pub degraded: Vec<Degradation>,
    /// Calls in flight.
    pub calls: usize,
    /// Calls of these that wait for a slot.
    pub waiting: usize,
    /// Calls under an idempotency key whose outcome is still to be recorded.
    pub pending_outcomes: usize,
}

/// Holds the body of `POST /operator/drain`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DrainRequest {
    /// Give a target no new work, from all daemons.
    Target(Arc<str>),
    /// Let the daemon of this VM finish its calls and take no more.
    Vm(Arc<str>),
}

/// Holds a time in milliseconds, shown in the largest unit that fits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Age(pub u64);

impl fmt::Display for Age {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            ms if ms < MS_PER_SECOND => write!(f, "{ms} ms"),
            ms if ms < 2 * MS_PER_MINUTE => write!(f, "{} s", ms / MS_PER_SECOND),
            ms if ms < 2 * MS_PER_HOUR => write!(f, "{} min", ms / MS_PER_MINUTE),
            ms if ms < 2 * MS_PER_DAY => write!(f, "{} h", ms / MS_PER_HOUR),
            ms => write!(f, "{} d", ms / MS_PER_DAY),
        }
    }
}

/// Names one thing that is not as it should be; docs/OPERATIONS.md tells what to do about each.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Degradation {
    /// No configuration has been adopted yet.
    NotConfigured,
    /// A planned stop has begun.
    Stopping,
    /// A peer has a higher generation in force.
    GenerationBehind {
        /// The highest generation that a peer told.
        known: Generation,
    },
    /// An accepted generation cannot be put in force here; the one before stays.
    NotAdopted {
        /// The accepted generation.
        accepted: Generation,
        /// What is wrong with it.
        reason: String,
    },
    /// The platform has not answered.
    PlatformUnreachable {
        /// How long ago it last answered, if ever.
        #[serde(rename = "last_ms")]
        last: Option<Age>,
    },
    /// A target does not answer probes.
    TargetSilent {
        /// Its name.
        name: Arc<str>,
        /// Its failure domain.
        domain: Arc<str>,
        /// How long ago it last answered, if ever.
        #[serde(rename = "last_ms")]
        last: Option<Age>,
    },
    /// A target gets no work for a while, after failures in a row.
    TargetEjected {
        /// Its name.
        name: Arc<str>,
        /// Its failure domain.
        domain: Arc<str>,
        /// Failures in a row.
        failures: u32,
        /// When it gets work again.
        #[serde(rename = "left_ms")]
        left: Age,
    },
    /// A target is leaving and gets no new work.
    TargetLeaving {
        /// Its name.
        name: Arc<str>,
        /// Its failure domain.
        domain: Arc<str>,
        /// Calls that this daemon still has out at it.
        calls: u32,
    },
    /// A store does not answer.
    StoreSilent {
        /// Its name.
        name: Arc<str>,
        /// Its failure domain.
        domain: Arc<str>,
        /// How long ago it last answered, if ever.
        #[serde(rename = "last_ms")]
        last: Option<Age>,
    },
    /// A peer daemon does not answer.
    PeerSilent {
        /// Its name, or its address before it sent a digest.
        name: Arc<str>,
        /// Its failure domain.
        domain: Arc<str>,
        /// How long ago it last sent a digest, if ever.
        #[serde(rename = "last_ms")]
        last: Option<Age>,
    },
}

impl fmt::Display for Degradation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotConfigured => f.write_str("no configuration yet"),
            Self::Stopping => f.write_str("a planned stop has begun"),
            Self::GenerationBehind { known } => write!(f, "behind: a peer has generation {known}"),
            Self::NotAdopted { accepted, reason } => {
                write!(f, "generation {accepted} cannot be put in force: {reason}")
            }
            Self::PlatformUnreachable { last } => {
                write!(f, "platform unreachable, {}", last_response(*last))
            }
            Self::TargetSilent { name, domain, last } => {
                write!(f, "target {name} ({domain}) is silent, {}", last_response(*last))
            }
            Self::TargetEjected { name, domain, failures, left } => {
                write!(f, "target {name} ({domain}) gets no work for {left}: {failures} failures")
            }
            Self::TargetLeaving { name, domain, calls } => {
                write!(f, "target {name} ({domain}) is leaving, {calls} calls left")
            }
            Self::StoreSilent { name, domain, last } => {
                write!(f, "store {name} ({domain}) is silent, {}", last_response(*last))
            }
            Self::PeerSilent { name, domain, last } => {
                write!(f, "peer {name} ({domain}) is silent, {}", last_response(*last))
            }
        }
    }
}

fn last_response(last: Option<Age>) -> String {
    last.map_or_else(|| "never answered".into(), |age| format!("last answered {age} ago"))
}
