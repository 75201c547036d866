//! The record of recent software versions, and the versions at which streams may be resumed.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::{CallKey, Moment, Refusal, RefusalCode, TargetKey};

use super::Control;
use crate::placement::Placer;
use crate::software_history::{HistoryRow, PoolVersion};
use crate::stream_origins::{StreamId, StreamOrigin, StreamRequest, UNKNOWN_VERSION};
use crate::unsettled_streams::{StreamSource, UnsettledStream};
use crate::{Action, Actions, Arrival, Call, PeerDigest, Phase};

/// Rounds of digests that contain the origin of an own stream, so that a lost one does no harm.
const ORIGIN_ROUNDS: u32 = 2;

impl<P: Placer> Control<P> {
    /// Returns the software version that a call must run at; `None` if any will do.
    ///
    /// The daemon that began the stream may not have reported it yet, so the caller may try again
    /// after its next digest.
    pub(super) fn required_software(
        &self,
        now: Moment,
        arrival: &Arrival,
    ) -> Result<Option<Arc<str>>, Refusal> {
        let Some(snapshot) = &self.snapshot else {
            return Ok(None);
        };
        let request = arrival.options.stream;
        // A daemon whose entries are outdated may not know the version at which a stream began.
        let is_current = self.registry_current_until.is_none_or(|until| now < until);
        let knows_history = !self.has_registry || (self.software_history.is_known() && is_current);
        let origins = &self.stream_origins;
        let unknown =
            Refusal::not_run(RefusalCode::UnknownStream).retry_after(self.identity.digest_interval);
        let goes_on = matches!(request, Some(StreamRequest::Continue(_)));
        let stream = request.and_then(StreamRequest::stream).filter(|_| goes_on);
        if stream.is_some_and(|stream| self.unsettled_streams.contains(stream)) {
            return Err(unknown);
        }
        let required =
            origins.required_version(now, arrival.kind, request, snapshot, knows_history);
        required.map_err(|_| unknown)
    }

    /// Records which process sends the response of a call, before its first event.
    pub(super) fn record_source(&mut self, key: CallKey, source: StreamSource) {
        if let Some(call) = self.calls.get_mut(&key) {
            call.source = Some(source);
        }
    }

    /// Binds a resumable stream that has begun to the software version of the process that sent its
    /// first event, and records it for the daemons at which the caller may resume it.
    ///
    /// A target that states no process is taken for the one that is listed.
    pub(super) fn pin_software(&mut self, now: Moment, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        let (source, target) = (call.source.take(), call.target());
        let stream = call.arrival.options.stream.and_then(StreamRequest::stream);
        let (Some(target), None) = (target, &call.pinned_software) else { return };
        let Some(software) = self.listed_software(target) else { return };
        match source.zip(stream) {
            Some((source, stream)) => {
                let unsettled = UnsettledStream { call: key, target, source, began: now };
                if !self.unsettled_streams.add(stream, unsettled) {
                    self.bind_stream(now, key, UNKNOWN_VERSION.into());
                }
                self.settle_streams(now);
            }
            None => self.bind_stream(now, key, software),
        }
    }

    /// Records that the registry's entries are current as of a moment.
    pub(super) fn confirm_registry(&mut self, now: Moment, as_of: Moment, max_age: Duration) {
        self.registry_current_until = self.registry_current_until.max(Some(as_of + max_age));
        self.registry_as_of = self.registry_as_of.max(as_of);
        self.settle_streams(now);
    }

    /// Binds the streams whose process is known by now.
    pub(super) fn settle_streams(&mut self, now: Moment) {
        let Some(snapshot) = &self.snapshot else { return };
        let (as_of, interval) = (self.registry_as_of, self.heartbeat_interval);
        let software = |unsettled: &UnsettledStream| unsettled.software(snapshot, as_of, interval);
        let settled = self.unsettled_streams.settle(software);
        self.bind_settled(now, settled);
    }

    /// Binds the streams of a target by the process that responds at its address after one of its
    /// connections broke.
    ///
    /// The listed process had written its entry before the connections were opened. If it still
    /// responds, no other one has accepted them.
    pub(super) fn handle_process(&mut self, now: Moment, target: TargetKey, process: &str) {
        let Some(snapshot) = &self.snapshot else { return };
        let Some(listed) = snapshot.targets.get(target).filter(|t| *t.name == *process) else {
            return;
        };
        let settled = self
            .unsettled_streams
            .settle(|unsettled| listed.software.clone().filter(|_| unsettled.target == target));
        self.bind_settled(now, settled);
    }

    fn bind_settled(&mut self, now: Moment, settled: Vec<(StreamId, UnsettledStream, Arc<str>)>) {
        for (stream, UnsettledStream { call, .. }, software) in settled {
            if let Some(call) = self.calls.get_mut(&call) {
                call.pinned_software.get_or_insert_with(|| software.clone());
            }
            self.stream_origins.record(now, StreamOrigin { stream, software }, ORIGIN_ROUNDS);
        }
    }

    /// Returns whether a stream that goes on waits until the process that sent its first events is
    /// known.
    pub(super) fn awaits_process(&self, key: CallKey) -> bool {
        let call = self.calls.get(&key).filter(|call| call.phase() == Phase::Streaming);
        let stream = call.and_then(|call| call.arrival.options.stream?.stream());
        stream.is_some_and(|stream| self.unsettled_streams.contains(stream))
    }

    /// Returns whether the process that a call is sent to must be identified on the connection first.
    ///
    /// A stream that goes on fits only the listed software. One that begins while several versions
    /// are in use may be taken up at another daemon before the registry settles its version.
    pub(super) fn must_identify(&self, now: Moment, call: &Call, target: TargetKey) -> bool {
        let (Some(snapshot), Some(request)) = (&self.snapshot, call.arrival.options.stream) else {
            return false;
        };
        let goes_on = matches!(request, StreamRequest::Continue(_));
        let kind = call.arrival.kind;
        let is_current = self.registry_current_until.is_none_or(|until| now < until);
        self.listed_software(target).is_some()
            && (goes_on
                || call.phase() == Phase::Streaming
                || !is_current
                || self.stream_origins.recent_versions(now, kind, snapshot).len() > 1)
    }

    fn listed_software(&self, target: TargetKey) -> Option<Arc<str>> {
        self.snapshot.as_ref()?.targets.get(target)?.software.clone()
    }

    fn bind_stream(&mut self, now: Moment, key: CallKey, software: Arc<str>) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let Some(request) = call.arrival.options.stream else {
            return;
        };
        if call.pinned_software.is_none() || *software == *UNKNOWN_VERSION {
            call.pinned_software = Some(software.clone());
        }
        if let Some(stream) = request.stream() {
            self.stream_origins.record(now, StreamOrigin { stream, software }, ORIGIN_ROUNDS);
        }
    }

    /// Reads the record of recent software versions once, and lets one daemon keep it up to date.
    pub(super) fn update_software_history(&mut self, now: Moment, actions: &mut Actions) {
        if !self.has_registry || self.snapshot.is_none() {
            return;
        }
        let is_writer = self.membership.lease_rank(self.identity.address) == 0;
        let recent = if is_writer { self.several_versions(now) } else { Vec::new() };
        let era = self.rollout.era();
        let request = self.software_history.next_request(now, era, &recent, is_writer);
        actions.extend(request.map(Action::SoftwareHistory));
    }

    /// Returns the recent versions of the models and services that have or lately had several.
    fn several_versions(&self, now: Moment) -> Vec<PoolVersion> {
        let Some(snapshot) = &self.snapshot else {
            return Vec::new();
        };
        let mut several = Vec::new();
        for kind in snapshot.kinds() {
            let versions = self.stream_origins.recent_versions(now, kind, snapshot);
            if versions.len() > 1 {
                several.extend(versions.into_iter().map(|version| (self.pool_hash(kind), version)));
            }
        }
        several.sort_unstable();
        several
    }

    /// Returns the software versions for a digest, where several are or lately were in use.
    pub(super) fn reported_software(&self, now: Moment) -> Vec<PoolVersion> {
        if self.has_registry { self.several_versions(now) } else { Vec::new() }
    }

    /// Records the versions that a peer knows, since the platform may serve only some daemons.
    pub(super) fn record_reported_software(&mut self, now: Moment, digest: &PeerDigest) {
        let Some(snapshot) = self.snapshot.clone().filter(|_| !digest.software.is_empty()) else {
            return;
        };
        for kind in snapshot.kinds() {
            let pool = self.pool_hash(kind);
            for (_, version) in digest.software.iter().filter(|(of, _)| *of == pool) {
                self.stream_origins.record_reported(now, kind, version);
            }
        }
    }

    pub(super) fn handle_software_history(&mut self, now: Moment, row: HistoryRow) {
        if let Some(snapshot) = self.snapshot.clone() {
            for kind in snapshot.kinds() {
                let pool = self.pool_hash(kind);
                for (_, version) in row.versions.iter().filter(|(of, _)| *of == pool) {
                    self.stream_origins.record_history(now, kind, version.clone());
                }
            }
        }
        self.software_history.handle_read(row);
    }

    /// Handles a row that cannot be read: it may have listed another version of anything, and is
    /// written anew.
    pub(super) fn handle_damaged_history(&mut self, now: Moment, row_version: u64) {
        for kind in self.snapshot.iter().flat_map(|snapshot| snapshot.kinds()) {
            self.stream_origins.record_history(now, kind, Arc::from(UNKNOWN_VERSION));
        }
        self.software_history.handle_read(HistoryRow { row_version, versions: Vec::new() });
    }
}
