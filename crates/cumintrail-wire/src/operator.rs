//! The operators' protocol: the status of a daemon, and requests to drain.

use std::fmt;
use std::sync::Arc;

use cumintrail_types::Generation;
use serde::{Deserialize, Serialize};

const MS_PER_SECOND: u64 = 1_000;
const MS_PER_MINUTE: u64 = 60 * MS_PER_SECOND;
const MS_PER_HOUR: u64 = 60 * MS_PER_MINUTE;
const MS_PER_DAY: u64 = 24 * MS_PER_HOUR;

/// Represents the response to `GET /operator/status`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The name of the daemon's VM.
    pub vm: Arc<str>,
    /// The failure domain of the VM.
    pub domain: Arc<str>,
    /// The generation in force; zero if there is none.
    pub generation: Generation,
    /// The preset in force; `None` without a configuration.
    pub preset: Option<Arc<str>>,
    /// Whether the daemon is ready to accept new calls.
    pub ready: bool,
    /// The time since the process started.
    #[serde(rename = "up_ms")]
    pub up: Age,
    /// The conditions that degrade the service.
    pub degraded: Vec<Degradation>,
    /// The number of calls in progress.
    pub calls: usize,
    /// The number of calls that wait in the admission queue.
    pub waiting: usize,
    /// The number of calls under an idempotency key whose outcome is not recorded yet.
    pub pending_outcomes: usize,
}

/// Represents the body of `POST /operator/drain`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DrainRequest {
    /// Stops all daemons from sending new calls to this target.
    Target(Arc<str>),
    /// Makes the daemon of this VM finish its calls and accept no new ones.
    Vm(Arc<str>),
}

/// Represents the body of `POST /operator/lift`, which lifts the quarantine of content on all daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiftRequest {
    /// The content, as dumps show it.
    pub content: Arc<str>,
}

/// Represents a duration in milliseconds, displayed rounded down in a unit that suits its length.
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

/// Describes a condition that degrades the service; docs/OPERATIONS.md describes what to do
/// about each.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Degradation {
    /// The daemon has not adopted a configuration yet.
    NotConfigured,
    /// A planned stop of the daemon has begun.
    Stopping,
    /// A peer has a higher generation in force.
    GenerationBehind {
        /// The highest generation that a peer reported.
        known: Generation,
    },
    /// The daemon cannot put a committed generation in force, and keeps the previous one.
    NotAdopted {
        /// The committed generation.
        accepted: Generation,
        /// Why the generation cannot be put in force.
        reason: String,
    },
    /// The platform does not respond.
    PlatformUnreachable {
        /// The time since the platform's last response; `None` if there was none.
        #[serde(rename = "last_ms")]
        last: Option<Age>,
    },
    /// A target does not respond to probes.
    TargetSilent {
        /// The name of the target.
        name: Arc<str>,
        /// The failure domain of the target.
        domain: Arc<str>,
        /// The time since the target's last report; `None` if there was none.
        #[serde(rename = "last_ms")]
        last: Option<Age>,
    },
    /// A target receives no calls for a limited time after consecutive failures.
    TargetEjected {
        /// The name of the target.
        name: Arc<str>,
        /// The failure domain of the target.
        domain: Arc<str>,
        /// The number of consecutive failures.
        failures: u32,
        /// The time until the target may receive calls again.
        #[serde(rename = "left_ms")]
        left: Age,
    },
    /// A target is leaving and receives no new calls.
    TargetLeaving {
        /// The name of the target.
        name: Arc<str>,
        /// The failure domain of the target.
        domain: Arc<str>,
        /// The number of this daemon's calls that the target is still processing.
        calls: u32,
    },
    /// A store does not respond.
    StoreSilent {
        /// The name of the store.
        name: Arc<str>,
        /// The failure domain of the store.
        domain: Arc<str>,
        /// The time since the store's changes were last read to the end; `None` if they never were.
        #[serde(rename = "last_ms")]
        last: Option<Age>,
    },
    /// A peer does not respond.
    PeerSilent {
        /// The VM name of the peer, or its address if it has not sent a digest yet.
        name: Arc<str>,
        /// The failure domain of the peer.
        domain: Arc<str>,
        /// The time since the peer's last digest was received; `None` if there was none.
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
