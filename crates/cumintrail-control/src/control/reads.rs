//! Reads of the platform: who does them, and what others learn of them.

use std::time::Duration;

use cumintrail_types::Moment;
use rand::Rng;

use super::Control;
use crate::membership::ReadSchedule;
use crate::placement::Placer;
use crate::{Action, Actions, Freshness, PeerDigest};

/// Remembers when the platform was last read, by this daemon or another.
#[derive(Debug, Clone, Copy)]
pub struct PlatformReads {
    interval: Duration,
    head: ReadSchedule,
    vms: ReadSchedule,
}

impl<P: Placer> Control<P> {
    /// Begins to read the platform, each `interval` while this daemon is one that reads.
    pub fn enable_platform_reads(&mut self, interval: Duration) {
        self.reads = Some(PlatformReads {
            interval,
            head: ReadSchedule::default(),
            vms: ReadSchedule::default(),
        });
    }

    pub(super) fn start_platform_reads(&mut self, now: Moment, actions: &mut Actions) {
        let Some(reads) = &mut self.reads else {
            return;
        };
        let identity = &self.identity;
        let has_configuration = self.snapshot.is_some();
        let is_reader = !has_configuration
            || self.membership.is_platform_reader(identity.address, &identity.domain);
        let wait = reads.interval.mul_f64(self.rng.random_range(0.8..1.2));
        if reads.head.is_due(now, is_reader, wait) {
            actions.push(Action::ReadHead);
        }
        if reads.vms.is_due(now, is_reader, wait) {
            actions.push(Action::ReadVms);
        }
    }

    /// Tells whether the first VM list is still awaited.
    ///
    /// Until then a daemon knows of no others and would probe all targets.
    pub(super) fn awaits_vm_list(&self) -> bool {
        self.reads.is_some_and(|reads| reads.vms.is_pending())
    }

    pub(super) fn handle_head_read(&mut self, now: Moment, answered: bool) {
        if let Some(reads) = &mut self.reads {
            reads.head.record_read(now, answered);
        }
    }

    /// Takes the end of a read of the VM list, with the number of the list if it was answered.
    pub(super) fn handle_vms_read(&mut self, now: Moment, sequence: Option<u64>) {
        let known = self.membership.list_sequence();
        if let Some(reads) = &mut self.reads {
            match sequence {
                // A list that lags confirms nothing and leaves others to look themselves.
                Some(sequence) if sequence < known => {}
                _ => reads.vms.record_read(now, sequence.is_some()),
            }
        }
    }

    /// Returns what peers are told of reads.
    pub(super) fn freshness(&self, now: Moment) -> Freshness {
        Freshness {
            head: self.reads.and_then(|reads| reads.head.age(now)),
            vms: self.reads.and_then(|reads| reads.vms.age(now)),
            vms_sequence: self.membership.list_sequence(),
        }
    }

    /// Takes what a peer tells of reads, and asks it for a newer VM list.
    pub(super) fn record_peer_reads(
        &mut self,
        now: Moment,
        digest: &PeerDigest,
        actions: &mut Actions,
    ) {
        let (generation, sequence) = (self.generation(), self.membership.list_sequence());
        let Some(reads) = &mut self.reads else {
            return;
        };
        let told = &digest.freshness;
        // A read with another result than the one known here would hide that this daemon lags.
        if digest.generation == generation {
            reads.head.record_peer_read(now, told.head);
        }
        match digest.address {
            _ if told.vms_sequence == sequence => reads.vms.record_peer_read(now, told.vms),
            Some(from) if told.vms_sequence > sequence => actions.push(Action::AskVms { from }),
            _ => {}
        }
    }
}
