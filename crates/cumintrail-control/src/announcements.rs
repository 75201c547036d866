//! What is reported of announced weight versions and of calls on replaced weights;
//! docs/OPERATIONS.md, "Weight versions".

use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::{CallKey, WeightVersion};
use derive_more::Display;

/// Describes the announcement that replaced a weight version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replacement {
    /// The announced version.
    pub by: WeightVersion,
    /// How long ago it was announced, as far as this daemon knows.
    pub age: Duration,
    /// Whether this daemon or a peer observed the announcement.
    pub is_observed: bool,
}

/// Where the time of an announcement was learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum AnnouncementSource {
    /// This daemon received the version, from the platform or through a peer.
    #[display("receipt")]
    Receipt,
    /// The digest of a peer stated an earlier announcement, or one that this daemon had not observed.
    #[display("peer")]
    Peer,
}

/// Reports that a version became known, or that its announcement turned out to be older.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnouncementReport {
    /// The name of the weights.
    pub weights: Arc<str>,
    /// The version.
    pub version: WeightVersion,
    /// How long ago it was announced, as far as this daemon knows.
    pub age: Duration,
    /// Whether this daemon or a peer observed the announcement.
    pub is_observed: bool,
    /// How old this daemon's knowledge of the operator table was before.
    pub unread: Duration,
    /// Where the time was learned.
    pub source: AnnouncementSource,
}

/// Reports a call that began on replaced weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BeginOnReplaced {
    /// The call.
    pub call: CallKey,
    /// The weight version that the call was sent for.
    pub version: WeightVersion,
    /// The announcement that replaced it, as of the first event.
    pub replacement: Replacement,
    /// Time from the dispatch to the first event.
    pub waited: Duration,
    /// Whether no call is sent to these weights any more.
    pub is_late: bool,
}
