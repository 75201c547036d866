//! Streams whose first event came from a process that is not known for certain yet;
//! docs/DESIGN.md, "Software versions".

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Snapshot, Target};
use cumintrail_types::{CallKey, Moment, TargetKey};

use crate::stream_origins::{StreamId, UNKNOWN_VERSION};

/// Maximum number of unsettled streams.
const MAX_UNSETTLED: usize = 16_384;

/// States what is known of the process that a connection leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamSource {
    /// Its name, by a response to an identity request on the connection.
    Process(Arc<str>),
    /// When it accepted the connection at the address of the target, at the latest.
    Accepted(Moment),
}

/// A stream whose software version is not settled yet.
#[derive(Debug, Clone)]
pub struct UnsettledStream {
    /// The call whose response brought the first event.
    pub call: CallKey,
    /// The target that the call was sent to.
    pub target: TargetKey,
    /// What is known of the process that responded.
    pub source: StreamSource,
    /// When the first event arrived.
    pub began: Moment,
}

impl UnsettledStream {
    /// Returns the software version of the process that sent the first event, [`UNKNOWN_VERSION`] if
    /// it will not be known, and `None` if it may still be.
    ///
    /// A process with other software that took the target's place would have written its entry
    /// within a heartbeat of accepting a connection.
    pub fn software(
        &self,
        snapshot: &Snapshot,
        registry_as_of: Moment,
        heartbeat_interval: Duration,
    ) -> Option<Arc<str>> {
        let target = snapshot.targets.get(self.target)?;
        let listed = target.software.clone()?;
        let unknown = Arc::from(UNKNOWN_VERSION);
        match &self.source {
            StreamSource::Process(name) if *name == target.name => Some(listed),
            StreamSource::Process(name) => {
                let mut targets = snapshot.targets.iter().map(|(_, target)| target);
                let process = targets.find(|t| t.name == *name);
                let software = process.and_then(|process| process.software.clone());
                let is_late = registry_as_of >= self.began + heartbeat_interval;
                software.or_else(|| is_late.then_some(unknown))
            }
            StreamSource::Accepted(_) if is_replaced(snapshot, target) => Some(unknown),
            StreamSource::Accepted(at) => {
                (registry_as_of >= *at + heartbeat_interval).then_some(listed)
            }
        }
    }
}

/// Returns whether a target's address belongs to a later process with the same id and other software.
fn is_replaced(snapshot: &Snapshot, target: &Target) -> bool {
    let mut listed = snapshot.targets.iter().filter(|(_, t)| target.retired && !t.retired);
    listed.any(|(_, t)| {
        (&t.instance, t.address) == (&target.instance, target.address)
            && t.software != target.software
    })
}

/// Holds the unsettled streams of a daemon, in progress or not: their callers may take them up.
#[derive(Debug, Default)]
pub struct UnsettledStreams {
    streams: HashMap<StreamId, UnsettledStream>,
}

impl UnsettledStreams {
    /// Adds a stream that began; returns `false` if there is no room for it.
    pub fn add(&mut self, stream: StreamId, unsettled: UnsettledStream) -> bool {
        let has_room = self.streams.len() < MAX_UNSETTLED;
        if has_room {
            self.streams.insert(stream, unsettled);
        }
        has_room
    }

    /// Returns whether a stream is unsettled.
    pub fn contains(&self, stream: StreamId) -> bool {
        self.streams.contains_key(&stream)
    }

    /// Removes a stream that its caller has received as a whole.
    pub fn remove(&mut self, stream: StreamId) {
        self.streams.remove(&stream);
    }

    /// Removes the streams for which `software` returns a version, and returns them with it.
    pub fn settle(
        &mut self,
        software: impl Fn(&UnsettledStream) -> Option<Arc<str>>,
    ) -> Vec<(StreamId, UnsettledStream, Arc<str>)> {
        let settled = self.streams.iter().filter_map(|(stream, unsettled)| {
            Some((*stream, unsettled.clone(), software(unsettled)?))
        });
        let settled: Vec<_> = settled.collect();
        for (stream, ..) in &settled {
            self.streams.remove(stream);
        }
        settled
    }
}
