//! Leaving incarnations of targets.
//!
//! A mark is never withdrawn and is sent to all peers; it expires after the incarnation is gone.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use cumintrail_types::{Incarnation, Moment};

use crate::LeavingIncarnation;

/// Time from the last observation of an incarnation until its mark is removed.
const RETENTION: Duration = Duration::from_secs(3_600);
/// Limits memory use if a peer sends invalid marks.
const MAX_INCARNATIONS: usize = 16_384;

#[derive(Debug)]
struct Entry {
    expires: Moment,
    /// Number of the change that added the mark.
    changed: u64,
}

/// Tracks leaving incarnations, and addresses that the VM list marks as leaving.
#[derive(Debug, Default)]
pub struct LeavingTargets {
    incarnations: HashMap<(SocketAddr, Incarnation), Entry>,
    /// Addresses that the last VM list marks as leaving.
    listed: HashSet<SocketAddr>,
}

impl LeavingTargets {
    /// Marks an incarnation as leaving; returns whether the mark is new.
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

    /// Records a mark received from a peer; returns whether it is new.
    ///
    /// The mark keeps its remaining retention, so that it expires on all daemons.
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
        let entry = Entry { expires: now + received.expires_in.min(RETENTION), changed: change };
        self.incarnations.insert((received.address, received.incarnation), entry);
        true
    }

    /// Adds an address that the VM list marks as leaving; returns whether it is new.
    pub fn add_listed(&mut self, address: SocketAddr) -> bool {
        self.listed.insert(address)
    }

    /// Removes the listed addresses for which `gone` returns true: those that a newer list has as
    /// live or does not contain.
    pub fn remove_listed(&mut self, gone: impl Fn(SocketAddr) -> bool) {
        self.listed.retain(|address| !gone(*address));
    }

    /// Returns whether the incarnation at an address is leaving.
    ///
    /// If the incarnation is unknown, any marked one at the address may be the present one: a
    /// daemon can receive a mark before its own probes succeed.
    pub fn may_contain(&self, address: SocketAddr, incarnation: Option<Incarnation>) -> bool {
        let marked = match incarnation {
            Some(incarnation) => self.incarnations.contains_key(&(address, incarnation)),
            None => self.incarnations.keys().any(|(at, _)| *at == address),
        };
        marked || self.listed.contains(&address)
    }

    /// Removes expired marks; the mark of an incarnation that still responds is renewed.
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

    /// Returns the incarnations that were marked after change number `sent`.
    pub fn changes_after(&self, now: Moment, sent: u64) -> Vec<LeavingIncarnation> {
        let fresh = self.incarnations.iter().filter(|(_, entry)| entry.changed > sent);
        let leaving = |(&(address, incarnation), entry): (&(SocketAddr, Incarnation), &Entry)| {
            LeavingIncarnation { address, incarnation, expires_in: entry.expires.since(now) }
        };
        fresh.map(leaving).collect()
    }
}
