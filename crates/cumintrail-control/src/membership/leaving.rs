//! Runs of targets that are leaving: sticky, told to all, forgotten when the run is gone.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use cumintrail_types::{Incarnation, Moment};

use crate::LeavingIncarnation;

/// How long a run is remembered after it was last seen.
const RETENTION: Duration = Duration::from_secs(3_600);
/// Bounds memory against a peer that tells nonsense.
const MAX_INCARNATIONS: usize = 16_384;

#[derive(Debug)]
struct Entry {
    expires: Moment,
    change: u64,
}

/// Remembers leaving runs and addresses.
#[derive(Debug, Default)]
pub struct LeavingTargets {
    incarnations: HashMap<(SocketAddr, Incarnation), Entry>,
    /// Addresses that the VM list has as leaving.
    listed: HashSet<SocketAddr>,
}

impl LeavingTargets {
    /// Marks a run; tells whether that is new.
    pub fn mark(
        &mut self,
        now: Moment,
        address: SocketAddr,
        incarnation: Incarnation,
        change: u64,
    ) -> bool {
        self.record_received(
            now,
            LeavingIncarnation { address, incarnation, expires_in: RETENTION },
            change,
        )
    }

    /// Takes a run that a peer told of; its remaining life travels, so that it ends everywhere.
    pub fn record_received(
        &mut self,
        now: Moment,
        received: LeavingIncarnation,
        change: u64,
    ) -> bool {
        let known = self.incarnations.contains_key(&(received.address, received.incarnation));
        if known || received.expires_in.is_zero() || self.incarnations.len() >= MAX_INCARNATIONS {
            return false;
        }
        let entry = Entry { expires: now + received.expires_in.min(RETENTION), change };
        self.incarnations.insert((received.address, received.incarnation), entry);
        true
    }

    /// Notes an address that the VM list has as leaving; tells whether that is new.
    pub fn add_listed(&mut self, address: SocketAddr) -> bool {
        self.listed.insert(address)
    }

    /// Drops the listed addresses that a newer list has as live or no longer has.
    pub fn remove_listed(&mut self, gone: impl Fn(SocketAddr) -> bool) {
        self.listed.retain(|address| !gone(*address));
    }

    /// Tells whether the run at an address is leaving.
    ///
    /// While the run is not known, any marked one at the address may be it: a daemon can hear of
    /// a mark before its own probes get through.
    pub fn may_contain(&self, address: SocketAddr, incarnation: Option<Incarnation>) -> bool {
        let marked = match incarnation {
            Some(incarnation) => self.incarnations.contains_key(&(address, incarnation)),
            None => self.incarnations.keys().any(|(at, _)| *at == address),
        };
        marked || self.listed.contains(&address)
    }

    /// Forgets runs that have ended long ago; a run that still answers is kept.
    pub fn expire(
        &mut self,
        now: Moment,
        incarnation_at: impl Fn(SocketAddr) -> Option<Incarnation>,
    ) {
        self.incarnations.retain(|(address, incarnation), entry| {
            if incarnation_at(*address) == Some(*incarnation) {
                entry.expires = now + RETENTION;
            }
            entry.expires > now
        });
    }

    /// Returns the runs that were marked after change number `sent`.
    pub fn changes_after(&self, now: Moment, sent: u64) -> Vec<LeavingIncarnation> {
        let fresh = self.incarnations.iter().filter(|(_, entry)| entry.change > sent);
        let leaving = |(&(address, incarnation), entry): (&(SocketAddr, Incarnation), &Entry)| {
            LeavingIncarnation { address, incarnation, expires_in: entry.expires.since(now) }
        };
        fresh.map(leaving).collect()
    }
}
