//! The record of recent software versions, and the versions at which streams may be resumed.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::Target;
use cumintrail_types::{CallKey, Moment, Refusal, RefusalCode, TargetKey};

use super::Control;
use crate::placement::Placer;
use crate::software_history::{HistoryRow, PoolVersion};
use crate::stream_origins::{
    OriginEvidence, RequiredSoftware, StreamId, StreamOrigin, StreamRequest, UNKNOWN_VERSION,
};
use crate::unsettled_streams::UnsettledStream;
use crate::{Action, Actions, Arrival, Call, PeerDigest, Phase, retry};

/// Rounds of digests that contain the origin of an own stream, so that a lost one does no harm.
const ORIGIN_ROUNDS: u32 = 2;

impl<P: Placer> Control<P> {
    /// Returns the software version that a call must run at, and the evidence for it.
    ///
    /// The daemon that began the stream may not have reported it yet, so the caller may try again
    /// after its next digest.
    pub(super) fn required_software(
        &self,
        now: Moment,
        arrival: &Arrival,
        is_current: bool,
    ) -> Result<RequiredSoftware, Refusal> {
        let Some(snapshot) = &self.snapshot else {
            return Ok(RequiredSoftware::default());
        };
        let request = arrival.options.stream;
        // A daemon whose entries are outdated may not know the version at which a stream began.
        let knows_history = !self.has_registry || (self.software_history.is_known() && is_current);
        let origins = &self.stream_origins;
        let is_unsettled = match request {
            Some(StreamRequest::Continue(Some(stream))) => self.unsettled_streams.contains(stream),
            // It may be any of them.
            Some(StreamRequest::Continue(None)) => !self.unsettled_streams.is_empty(),
            _ => false,
        };
        if is_unsettled {
            return Err(self.unknown_stream());
        }
        let required =
            origins.required_version(now, arrival.kind, request, snapshot, knows_history);
        required.map_err(|_| self.unknown_stream())
    }

    /// Returns the refusal of a call whose stream may have begun at one of several versions.
    pub(super) fn unknown_stream(&self) -> Refusal {
        Refusal::not_run(RefusalCode::UnknownStream).retry_after(self.identity.digest_interval)
    }

    /// Records which process sends the response of a call, before its first event.
    pub(super) fn record_process(&mut self, key: CallKey, process: Arc<str>) {
        if let Some(call) = self.calls.get_mut(&key) {
            call.process = Some(process);
        }
    }

    /// Binds a resumable stream that has begun to the software version of the process that sent its
    /// first event, and records it for the daemons at which the caller may resume it.
    ///
    /// Where the process need not be identified, it is taken for the listed one.
    pub(super) fn pin_software(&mut self, now: Moment, key: CallKey) {
        let Some((snapshot, call)) = self.snapshot.as_ref().zip(self.calls.get_mut(&key)) else {
            return;
        };
        let stream = call.arrival.options.stream.and_then(StreamRequest::stream);
        let (process, listed) = (call.process.take(), call.target());
        let listed = listed.and_then(|target| snapshot.targets.get(target));
        // The origin of a stream that goes on is reported again.
        if let Some(software) = call.pinned_software.clone() {
            return self.bind_stream(now, key, software);
        }
        let Some(target) = listed else { return };
        let Some(software) = target.software.clone() else { return };
        let Some(process) = process.filter(|process| *process != target.name) else {
            return self.bind_stream(now, key, software);
        };
        let kind = call.arrival.kind;
        let unsettled = UnsettledStream { call: key, kind, process, began: now };
        let (as_of, interval) = (self.registry_as_of, self.heartbeat_interval);
        match (unsettled.software(snapshot, as_of, interval), stream) {
            (Some(software), _) => self.bind_stream(now, key, software),
            // Its caller may take it up elsewhere before the process is listed.
            (None, Some(stream)) if self.unsettled_streams.add(stream, unsettled) => {
                let origin = StreamOrigin { stream, software: UNKNOWN_VERSION.into() };
                self.stream_origins.record(now, origin, ORIGIN_ROUNDS);
                self.send_digest_soon(now);
            }
            (None, _) => self.bind_stream(now, key, UNKNOWN_VERSION.into()),
        }
    }

    /// Records that the registry's entries are current as of a moment.
    ///
    /// Unless they were current shortly before, a software version may have come and gone meanwhile.
    pub(super) fn confirm_registry(&mut self, now: Moment, as_of: Moment, max_age: Duration) {
        if self.registry_current_until.is_some_and(|until| as_of >= until + self.heartbeat_interval)
        {
            self.software_history.forget();
        }
        self.registry_current_until = self.registry_current_until.max(Some(as_of + max_age));
        self.registry_as_of = self.registry_as_of.max(as_of);
        self.registry_max_age = max_age;
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

    fn bind_settled(&mut self, now: Moment, settled: Vec<(StreamId, UnsettledStream, Arc<str>)>) {
        for (stream, UnsettledStream { call, kind, .. }, software) in settled {
            if *software == *UNKNOWN_VERSION {
                // Daemons without the report may not take the listed version for the only one.
                self.stream_origins.record_history(now, kind, software.clone());
            }
            if let Some(call) = self.calls.get_mut(&call) {
                call.pinned_software.get_or_insert_with(|| software.clone());
            }
            self.stream_origins.settle(now, StreamOrigin { stream, software }, ORIGIN_ROUNDS);
        }
    }

    /// Returns whether a stream that goes on waits, for the entry of the process that sent its first
    /// events or for the entries of those that took the place of all targets of its version.
    pub(super) fn awaits_entry(&self, now: Moment, key: CallKey) -> bool {
        let (Some(snapshot), Some(call)) = (&self.snapshot, self.calls.get(&key)) else {
            return false;
        };
        let stream = call.arrival.options.stream.and_then(StreamRequest::stream);
        let has_begun = call.phase() == Phase::Streaming;
        if has_begun && stream.is_some_and(|stream| self.unsettled_streams.contains(stream)) {
            return true;
        }
        let mut usable = self.usable_targets(now, snapshot, call).peekable();
        call.pinned_software.is_some()
            && usable.peek().is_some()
            && usable.all(|target| self.is_replaced(target))
    }

    /// Excludes targets whose place another process has taken, for calls that go on at a version.
    pub(super) fn exclude_replaced(
        &self,
        call: &Call,
        mut usable: Vec<TargetKey>,
    ) -> Result<Vec<TargetKey>, Refusal> {
        if call.pinned_software.is_some() {
            usable.retain(|target| !self.is_replaced(*target));
        }
        if usable.is_empty() {
            let refusal = retry::refusal_for(call, RefusalCode::UnknownStream);
            return Err(refusal.retry_after(self.identity.digest_interval));
        }
        Ok(usable)
    }

    fn is_replaced(&self, target: TargetKey) -> bool {
        self.targets.get(target).is_some_and(|state| state.is_replaced)
    }

    /// Returns whether the process that a call is sent to must be identified on the connection first:
    /// where processes start again under their names, an entry of the registry may be that of an
    /// earlier one with other software. Elsewhere a call names the only process that may respond.
    pub(super) fn must_identify(&self, call: &Call, target: TargetKey) -> bool {
        let target = self.snapshot.as_ref().and_then(|snapshot| snapshot.targets.get(target));
        let restarts = |t: &Target| t.software.is_some() && t.name != t.instance;
        call.arrival.options.stream.is_some() && target.is_some_and(restarts)
    }

    fn bind_stream(&mut self, now: Moment, key: CallKey, software: Arc<str>) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        let Some(request) = call.arrival.options.stream else {
            return;
        };
        call.pinned_software.get_or_insert_with(|| software.clone());
        // The only listed version was concluded from entries, not observed at the stream's process.
        let rounds = if call.origin == OriginEvidence::OnlyVersion { 0 } else { ORIGIN_ROUNDS };
        if let Some(stream) = request.stream() {
            self.stream_origins.record(now, StreamOrigin { stream, software }, rounds);
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
                    self.stream_origins.record_stored(now, kind, version);
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
