//! Streams whose process is not listed yet; docs/DESIGN.md, "Software versions".

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_types::{CallKey, Moment};

use crate::stream_origins::{StreamId, UNKNOWN_VERSION};

/// Maximum number of unsettled streams.
const MAX_UNSETTLED: usize = 16_384;

/// A stream whose software version is not known yet.
#[derive(Debug, Clone)]
pub struct UnsettledStream {
    /// The call whose response brought the first event.
    pub call: CallKey,
    /// The model or service of the call.
    pub kind: TargetKind,
    /// The name of the process that sent it.
    pub process: Arc<str>,
    /// When it arrived.
    pub began: Moment,
}

impl UnsettledStream {
    /// Returns the software version of the process, [`UNKNOWN_VERSION`] if it will not be known, and
    /// `None` if it may still be.
    ///
    /// A process writes its entry within a heartbeat of its start, unless it ends before.
    pub fn software(
        &self,
        snapshot: &Snapshot,
        registry_as_of: Moment,
        heartbeat_interval: Duration,
    ) -> Option<Arc<str>> {
        let mut targets = snapshot.targets.iter().map(|(_, target)| target);
        let listed = targets.find(|target| target.name == self.process);
        let is_late = registry_as_of >= self.began + heartbeat_interval;
        let unknown = || is_late.then(|| Arc::from(UNKNOWN_VERSION));
        listed.and_then(|target| target.software.clone()).or_else(unknown)
    }
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

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns whether a stream is unsettled.
    pub fn contains(&self, stream: StreamId) -> bool {
        self.streams.contains_key(&stream)
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
