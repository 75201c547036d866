//! Runs of targets that are leaving: sticky, told to all, forgotten when the run is gone.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use cumintrail_types::{Incarnation, Moment};

use crate::LeavingRun;

/// How long a run is remembered after it was last seen.
const LIFE: Duration = Duration::from_secs(3_600);
/// Bounds memory against a peer that tells nonsense.
const MAX_RUNS: usize = 16_384;

#[derive(Debug)]
struct Entry {
    expires: Moment,
    changed: u64,
}

/// Remembers leaving runs and addresses.
#[derive(Debug, Default)]
pub struct Leaving {
    runs: HashMap<(SocketAddr, Incarnation), Entry>,
    /// Addresses that the VM list has as leaving.
    listed: HashSet<SocketAddr>,
}

impl Leaving {
    /// Marks a run; tells whether that is new.
    pub fn mark(
        &mut self,
        now: Moment,
        address: SocketAddr,
        incarnation: Incarnation,
        change: u64,
    ) -> bool {
        self.hear(now, LeavingRun { address, incarnation, left: LIFE }, change)
    }

    /// Takes a run that a peer told of; its remaining life travels, so that it ends everywhere.
    pub fn hear(&mut self, now: Moment, run: LeavingRun, change: u64) -> bool {
        let known = self.runs.contains_key(&(run.address, run.incarnation));
        if known || run.left.is_zero() || self.runs.len() >= MAX_RUNS {
            return false;
        }
        let entry = Entry { expires: now + run.left.min(LIFE), changed: change };
        self.runs.insert((run.address, run.incarnation), entry);
        true
    }

    /// Notes an address that the VM list has as leaving; tells whether that is new.
    pub fn list(&mut self, address: SocketAddr) -> bool {
        self.listed.insert(address)
    }

    /// Drops the listed addresses that a newer list has as live or no longer has.
    pub fn unlist(&mut self, gone: impl Fn(SocketAddr) -> bool) {
        self.listed.retain(|address| !gone(*address));
    }

    /// Tells whether the run at an address is leaving.
    ///
    /// While the run is not known, any marked one at the address may be it: a daemon can hear of
    /// a mark before its own probes get through.
    pub fn may_hold(&self, address: SocketAddr, run: Option<Incarnation>) -> bool {
        let marked = match run {
            Some(run) => self.runs.contains_key(&(address, run)),
            None => self.runs.keys().any(|(at, _)| *at == address),
        };
        marked || self.listed.contains(&address)
    }

    /// Forgets runs that have ended long ago; a run that still answers is kept.
    pub fn expire(&mut self, now: Moment, running: impl Fn(SocketAddr) -> Option<Incarnation>) {
        self.runs.retain(|(address, incarnation), entry| {
            if running(*address) == Some(*incarnation) {
                entry.expires = now + LIFE;
            }
            entry.expires > now
        });
    }

    /// Returns the runs that were marked after change number `sent`.
    pub fn after(&self, now: Moment, sent: u64) -> Vec<LeavingRun> {
        let fresh = self.runs.iter().filter(|(_, entry)| entry.changed > sent);
        let run = |(&(address, incarnation), entry): (&(SocketAddr, Incarnation), &Entry)| {
            LeavingRun { address, incarnation, left: entry.expires.since(now) }
        };
        fresh.map(run).collect()
    }
}
