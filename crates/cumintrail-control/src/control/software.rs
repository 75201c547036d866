//! The record of recent software versions, and the versions at which streams may be resumed.

use std::sync::Arc;

use cumintrail_config::Snapshot;
use cumintrail_types::{CallKey, Moment, Refusal, RefusalCode, TargetKey};

use super::Control;
use crate::placement::Placer;
use crate::software_history::{HistoryRow, PoolVersion};
use crate::stream_origins::{StreamOrigin, UNKNOWN_VERSION};
use crate::{Action, Actions, Arrival, AttemptOutcome, Call, PeerDigest, Phase, retry};

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
        let required =
            origins.required_version(now, arrival.kind, request, snapshot, knows_history);
        let unknown = Refusal::not_run(RefusalCode::UnknownStream);
        required.map_err(|_| unknown.retry_after(self.identity.digest_interval))
    }

    /// Binds a resumable stream that has begun to the software version of its target, and records
    /// it for the daemons at which the caller may resume it.
    pub(super) fn pin_software(&mut self, now: Moment, key: CallKey) {
        let Some(target) = self.calls.get(&key).and_then(Call::target) else {
            return;
        };
        let Some(snapshot) = &self.snapshot else { return };
        let Some(software) = snapshot.targets.get(target).and_then(|t| t.software.clone()) else {
            return;
        };
        match self.targets.get(target) {
            _ if is_replaced(snapshot, target) => {
                self.bind_stream(now, key, UNKNOWN_VERSION.into());
            }
            // It is bound when the doubt ends, or when it breaks.
            Some(state) if state.doubt.exists() => {
                self.record_accepted(now, target, self.dispatched(key));
            }
            _ => self.bind_stream(now, key, software),
        }
    }

    /// Records that the process at a target's address may have ended, and another one taken its place.
    pub(super) fn doubt_process(&mut self, now: Moment, target: TargetKey) {
        if let Some(state) = self.targets.get_mut(target).filter(|_| self.has_registry) {
            state.doubt.record_break(now);
        }
    }

    /// Records that a target accepted a connection, at the earliest at `sent`.
    pub(super) fn record_accepted(&mut self, now: Moment, target: TargetKey, sent: Moment) {
        if let Some(state) = self.targets.get_mut(target) {
            state.doubt.record_accepted(now, sent);
        }
    }

    /// Records what the end of an attempt shows about the process at the target's address.
    pub(super) fn record_process_evidence(
        &mut self,
        now: Moment,
        key: CallKey,
        target: TargetKey,
        outcome: AttemptOutcome,
    ) {
        let sent = self.dispatched(key);
        match outcome {
            AttemptOutcome::Completed(_) => {
                let call = self.calls.get(&key).filter(|call| call.attempts() == 1);
                if let (Some(event), Some(state)) =
                    (call.and_then(|call| call.first_token), self.targets.get_mut(target))
                {
                    state.doubt.record_complete(now, event);
                }
                self.record_accepted(now, target, sent);
            }
            AttemptOutcome::RefusedByTarget { .. } => self.record_accepted(now, target, sent),
            AttemptOutcome::NoConnection => self.doubt_process(now, target),
            AttemptOutcome::Failed { .. } => self.bind_doubtful_stream(now, key),
            AttemptOutcome::NotSent | AttemptOutcome::RespondedLocally => {}
        }
    }

    /// Ends doubts about processes that the registry lists, as of a moment, as before, and binds the
    /// streams that began meanwhile.
    pub(super) fn confirm_processes(&mut self, now: Moment, as_of: Moment) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let interval = self.heartbeat_interval;
        let confirmed = self.targets.iter_mut().filter_map(|(key, state)| {
            let is_listed = snapshot.targets.get(key).is_some_and(|target| !target.retired);
            (is_listed && state.doubt.record_listed(as_of, interval)).then_some(key)
        });
        let confirmed: Vec<TargetKey> = confirmed.collect();
        let is_unbound = |call: &Call| {
            call.phase() == Phase::Streaming
                && call.pinned_software.is_none()
                && call.target().is_some_and(|target| confirmed.contains(&target))
        };
        let unbound = self.calls.iter().filter(|(_, call)| is_unbound(call));
        let unbound: Vec<CallKey> = unbound.map(|(key, _)| *key).collect();
        for key in unbound {
            self.pin_software(now, key);
        }
    }

    /// Binds a stream to an unknown version if it breaks before its target's process is known.
    pub(super) fn bind_doubtful_stream(&mut self, now: Moment, key: CallKey) {
        let is_unbound = self.calls.get(&key).is_some_and(|call| {
            call.phase() == Phase::Streaming
                && call.pinned_software.is_none()
                && call.target().is_some_and(|target| self.lists_software(target))
        });
        if is_unbound {
            self.bind_stream(now, key, UNKNOWN_VERSION.into());
        }
    }

    /// Excludes targets whose process may have been replaced by one with other software.
    ///
    /// A stream that goes on needs a process whose version is known. One that begins can be resumed
    /// only if it is.
    pub(super) fn exclude_doubtful(
        &self,
        call: &Call,
        mut usable: Vec<TargetKey>,
    ) -> Result<Vec<TargetKey>, Refusal> {
        let is_doubtful = |key: &TargetKey| self.is_doubtful(*key);
        if call.arrival.options.stream.is_none() || usable.iter().all(is_doubtful) {
            return match call.pinned_software {
                Some(_) if usable.iter().any(is_doubtful) => {
                    let refusal = retry::refusal_for(call, RefusalCode::UnknownStream);
                    Err(refusal.retry_after(self.identity.digest_interval))
                }
                _ => Ok(usable),
            };
        }
        usable.retain(|key| !self.is_doubtful(*key));
        Ok(usable)
    }

    /// Returns whether a stream can go on only at targets that another process may have replaced.
    pub(super) fn awaits_process(&self, now: Moment, key: CallKey) -> bool {
        let (Some(snapshot), Some(call)) = (&self.snapshot, self.calls.get(&key)) else {
            return false;
        };
        let mut usable = self.usable_targets(now, snapshot, call).peekable();
        call.pinned_software.is_some()
            && usable.peek().is_some()
            && usable.all(|target| self.is_doubtful(target))
    }

    fn is_doubtful(&self, target: TargetKey) -> bool {
        self.lists_software(target)
            && self.targets.get(target).is_some_and(|state| state.doubt.exists())
    }

    fn lists_software(&self, target: TargetKey) -> bool {
        let target = self.snapshot.as_ref().and_then(|s| s.targets.get(target));
        target.is_some_and(|target| target.software.is_some())
    }

    fn dispatched(&self, key: CallKey) -> Moment {
        self.calls.get(&key).map(|call| call.dispatched).unwrap_or_default()
    }

    /// Takes back the software versions of the streams that processes send which are listed only
    /// now: their targets had started again under their id when the streams began.
    ///
    /// The system of a process that ended has broken its exchanges, so those that still go on belong
    /// to the process that took its place.
    pub(super) fn doubt_software(&mut self, now: Moment, before: Option<&Snapshot>) {
        let Some((before, snapshot)) = before.zip(self.snapshot.clone()) else {
            return;
        };
        let replaced = |target| {
            before.targets.get(target).is_some_and(|t| !t.retired && t.software.is_some())
                && is_replaced(&snapshot, target)
        };
        let streams = self.calls.iter().filter(|(_, call)| {
            let has_begun = call.pinned_software.is_some() || call.phase() == Phase::Streaming;
            has_begun && call.target().is_some_and(replaced)
        });
        let streams: Vec<CallKey> = streams.map(|(key, _)| *key).collect();
        for key in streams {
            self.bind_stream(now, key, UNKNOWN_VERSION.into());
        }
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

/// Returns whether a target's address belongs to a later process with the same id and other software.
fn is_replaced(snapshot: &Snapshot, target: TargetKey) -> bool {
    let Some(target) = snapshot.targets.get(target).filter(|target| target.retired) else {
        return false;
    };
    let mut listed = snapshot.targets.iter().filter(|(_, t)| !t.retired);
    listed.any(|(_, t)| {
        (&t.instance, t.address) == (&target.instance, target.address)
            && t.software != target.software
    })
}
