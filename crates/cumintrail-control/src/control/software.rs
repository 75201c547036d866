//! The record of recent software versions, and the versions at which streams may be resumed.

use std::sync::Arc;

use cumintrail_types::{Moment, Refusal, RefusalCode};

use super::Control;
use crate::placement::Placer;
use crate::software_history::{HistoryRow, PoolVersion};
use crate::{Action, Actions, Arrival, PeerDigest};

/// Stands for a version that a damaged row may have listed; no target has it.
const UNKNOWN_VERSION: &str = "";

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
