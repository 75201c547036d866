//! Reads of the platform: which daemons do them, and what digests report of them.

use std::time::Duration;

use cumintrail_types::Moment;
use rand::Rng;

use super::Control;
use crate::membership::ReadSchedule;
use crate::placement::Placer;
use crate::{Action, Actions, Freshness, PeerDigest};

/// Tracks when this daemon or another last read the committed generation and the VM list.
#[derive(Debug, Clone, Copy)]
pub struct PlatformReads {
    interval: Duration,
    head: ReadSchedule,
    vms: ReadSchedule,
}

impl<P: Placer> Control<P> {
    /// Enables reads of the platform, about once per `interval` while this daemon is a reader.
    pub fn enable_platform_reads(&mut self, interval: Duration) {
        self.platform_reads = Some(PlatformReads {
            interval,
            head: ReadSchedule::default(),
            vms: ReadSchedule::default(),
        });
    }

    pub(super) fn start_platform_reads(&mut self, now: Moment, actions: &mut Actions) {
        let Some(reads) = &mut self.platform_reads else {
            return;
        };
        let identity = &self.identity;
        let has_configuration = self.snapshot.is_some();
        let is_reader = !has_configuration
            || self.membership.is_platform_reader(identity.address, &identity.domain);
        let wait = reads.interval.mul_f64(self.rng.random_range(0.8..1.2));
        if reads.head.is_due(now, is_reader, wait) {
            actions.push(Action::ReadGeneration);
        }
        if reads.vms.is_due(now, is_reader, wait) {
            actions.push(Action::ReadVmList);
        }
    }

    /// Returns whether the result of a first read of the VM list is still awaited.
    ///
    /// Until then the daemon knows no others and would probe all targets.
    pub(super) fn awaits_vm_list(&self) -> bool {
        self.platform_reads.is_some_and(|reads| reads.vms.is_pending())
    }

    pub(super) fn handle_head_read(&mut self, now: Moment, answered: bool) {
        if let Some(reads) = &mut self.platform_reads {
            reads.head.record_read(now, answered);
        }
    }

    /// Handles the end of a read of the VM list; `sequence` is the sequence number of the list, or
    /// `None` if the platform did not respond.
    pub(super) fn handle_vms_read(&mut self, now: Moment, sequence: Option<u64>) {
        let known = self.membership.list_sequence();
        if let Some(reads) = &mut self.platform_reads {
            match sequence {
                // An older list does not confirm the known one. The known read then becomes stale,
                // and other daemons read by themselves.
                Some(sequence) if sequence < known => {}
                _ => reads.vms.record_read(now, sequence.is_some()),
            }
        }
    }

    /// Returns the ages of the last known reads, for digests.
    pub(super) fn freshness(&self, now: Moment) -> Freshness {
        Freshness {
            head: self.platform_reads.and_then(|reads| reads.head.age(now)),
            vms: self.platform_reads.and_then(|reads| reads.vms.age(now)),
            vms_sequence: self.membership.list_sequence(),
        }
    }

    /// Records the ages of reads in a peer's digest, and requests the peer's VM list if it is
    /// newer.
    pub(super) fn record_peer_reads(
        &mut self,
        now: Moment,
        digest: &PeerDigest,
        actions: &mut Actions,
    ) {
        let (generation, sequence) = (self.generation(), self.membership.list_sequence());
        let Some(reads) = &mut self.platform_reads else {
            return;
        };
        let peer = &digest.freshness;
        // Recording a read that found another generation would hide that this daemon lags behind.
        if digest.generation == generation {
            reads.head.record_peer_read(now, peer.head);
        }
        match digest.address {
            _ if peer.vms_sequence == sequence => reads.vms.record_peer_read(now, peer.vms),
            Some(from) if peer.vms_sequence > sequence => actions.push(Action::GetVmList { from }),
            _ => {}
        }
    }
}
