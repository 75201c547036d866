//! Calls that go on with a stream whose origin no daemon reported; docs/DESIGN.md, "Software versions".

use std::time::Duration;

use cumintrail_config::TargetKind;
use cumintrail_types::{CallKey, Moment, Refusal};

use super::Control;
use crate::placement::Placer;
use crate::stream_origins::{OriginEvidence, RequiredSoftware};
use crate::{Arrival, Call};

/// The interval at which a call that waits for entries of the registry is looked at again; it does
/// not wait in the queue, where it would precede other calls.
const ENTRY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How many times the age up to which entries are current they may have before a call no longer
/// waits for newer ones.
const MAX_STALE_AGES: u32 = 2;

/// States whether the version of the stream that a call goes on with is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OriginState {
    /// The call did not wait for it.
    Settled,
    /// The call waited for it until now.
    SettledNow,
    /// The call waits for newer entries.
    Awaited,
}

impl<P: Placer> Control<P> {
    /// Returns the software version that a call must run at, unless the entries that would confirm it
    /// come after the call's deadline.
    pub(super) fn required_software_in_time(
        &self,
        now: Moment,
        arrival: &Arrival,
    ) -> Result<RequiredSoftware, Refusal> {
        let is_current = self.registry_current_until.is_none_or(|until| now < until);
        let required = self.required_software(now, arrival, is_current)?;
        let entries_from = now + self.longest_unlisted(arrival.kind);
        if arrival.deadline <= entries_from && self.may_be_unlisted(required.1, arrival.kind, now) {
            return Err(self.unknown_stream());
        }
        Ok(required)
    }

    /// Returns whether a process that these entries do not list yet may have begun the stream of a
    /// call that goes on at the only listed version.
    pub(super) fn may_be_unlisted(
        &self,
        origin: OriginEvidence,
        kind: TargetKind,
        arrived: Moment,
    ) -> bool {
        self.has_registry
            && origin == OriginEvidence::OnlyVersion
            && self.registry_current_until.is_some()
            && self.registry_as_of < arrived + self.longest_unlisted(kind)
    }

    /// Returns for how long a process may send events before its entry is written.
    ///
    /// One that has the id and the address of an earlier process writes its entry within a heartbeat of
    /// its start. Where each process has an id of its own, calls reach it by its entry only.
    fn longest_unlisted(&self, kind: TargetKind) -> Duration {
        let targets = self.snapshot.iter().flat_map(|snapshot| snapshot.targets.iter());
        let mut used = targets.filter(|(_, target)| target.kind == kind && !target.retired);
        let keeps_ids = used.any(|(_, target)| target.name != target.instance);
        if keeps_ids { self.heartbeat_interval } else { Duration::ZERO }
    }

    /// Lets a call wait outside the queue until the registry was read again.
    pub(super) fn wait_for_entries(&mut self, now: Moment, key: CallKey) {
        self.backing_off.push((now + ENTRY_CHECK_INTERVAL, key));
    }

    /// Determines the version of a stream whose origin was not known when its call arrived.
    pub(super) fn settle_origin(
        &mut self,
        now: Moment,
        key: CallKey,
    ) -> Result<OriginState, Refusal> {
        let waits =
            |call: &&Call| call.attempts() == 0 && call.origin == OriginEvidence::OnlyVersion;
        let Some(call) = self.calls.get(&key).filter(waits) else {
            return Ok(OriginState::Settled);
        };
        // Entries that settle the origin are current as of a later moment than those of its arrival.
        let (software, origin) = self.required_software(now, &call.arrival, true)?;
        let is_awaited = self.may_be_unlisted(origin, call.arrival.kind, call.arrived);
        let no_longer_awaited = self.registry_as_of + self.registry_max_age * MAX_STALE_AGES;
        if is_awaited && now >= no_longer_awaited {
            return Err(self.unknown_stream());
        }
        if let Some(call) = self.calls.get_mut(&key) {
            (call.pinned_software, call.origin) = (software, origin);
        }
        Ok(if is_awaited { OriginState::Awaited } else { OriginState::SettledNow })
    }
}
