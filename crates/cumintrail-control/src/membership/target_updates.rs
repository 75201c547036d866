//! What probes found, told on as changes with a revision that grows per target.
//!
//! The daemons that probe a target raise its revision when its state changes. Others take the highest
//! revision and pass changes of state on; load goes to the direct peers only, since it is stale soon.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::{TargetReport, TargetUpdate};

/// Updates of targets that one digest holds at most.
const MAX_UPDATES_PER_DIGEST: usize = 16;
/// Tokens of backlog below which a change is not told.
const MIN_BACKLOG_CHANGE_TOKENS: u32 = 512;
/// Bounds memory against a peer that tells nonsense.
const MAX_TARGETS: usize = 16_384;

#[derive(Debug)]
struct Record {
    latest: TargetUpdate,
    /// When the state last changed, by count of changes.
    changed: u64,
    /// When the load last changed by an own probe.
    load_changed: u64,
    /// Whether the last own probe counted as silent.
    own_silent: bool,
}

/// Remembers the last news of each target.
#[derive(Debug, Default)]
pub struct TargetUpdates {
    records: HashMap<SocketAddr, Record>,
}

impl TargetUpdates {
    /// Takes an own probe that was answered; tells whether the target's state changed.
    pub fn record_probe(
        &mut self,
        address: SocketAddr,
        report: Option<TargetReport>,
        changes: &mut u64,
    ) -> bool {
        let record = self.records.entry(address).or_insert_with(|| Record::new(address));
        record.own_silent = false;
        let next = TargetUpdate { silent: false, report, ..record.latest };
        let new =
            record.latest.revision == 0 || shared_state(&next) != shared_state(&record.latest);
        if new {
            *changes += 1;
            record.changed = *changes;
            record.latest = TargetUpdate { revision: record.latest.revision + 1, ..next };
        } else if load_differs(&next, &record.latest) {
            *changes += 1;
            record.load_changed = *changes;
            record.latest = next;
        }
        new
    }

    /// Takes an own probe that was missed; told once, so that a prober that still gets answers
    /// has the last word.
    pub fn record_silence(&mut self, address: SocketAddr, changes: &mut u64) -> bool {
        let record = self.records.entry(address).or_insert_with(|| Record::new(address));
        let known = std::mem::replace(&mut record.own_silent, true) || record.latest.silent;
        if known {
            return false;
        }
        *changes += 1;
        record.changed = *changes;
        record.latest.revision += 1;
        record.latest.silent = true;
        true
    }

    /// Takes a peer's news; tells whether it is newer than what was known.
    pub fn merge(&mut self, update: &TargetUpdate, changes: &mut u64) -> bool {
        if self.records.len() >= MAX_TARGETS && !self.records.contains_key(&update.address) {
            return false;
        }
        let record =
            self.records.entry(update.address).or_insert_with(|| Record::new(update.address));
        let known = record.latest.revision > 0;
        let same_state = known && shared_state(update) == shared_state(&record.latest);
        let newer = update.revision > record.latest.revision
            || update.revision == record.latest.revision
                && (same_state || wins_tie(update, &record.latest));
        if !same_state {
            // Passed on if newer; otherwise the sender is told what it does not know yet.
            *changes += 1;
            record.changed = *changes;
        }
        if newer {
            record.latest = *update;
        }
        newer
    }

    /// Collects what changed after `sent`; returns the last change included if not all fit.
    pub fn collect_after(&self, sent: u64, into: &mut Vec<TargetUpdate>) -> Option<u64> {
        let fresh = self.records.values().filter_map(|record| {
            let change = record.changed.max(record.load_changed);
            (change > sent).then_some((change, record.latest))
        });
        let mut fresh: Vec<(u64, TargetUpdate)> = fresh.collect();
        fresh.sort_unstable_by_key(|(change, _)| *change);
        let all = fresh.len() <= MAX_UPDATES_PER_DIGEST;
        fresh.truncate(MAX_UPDATES_PER_DIGEST);
        into.extend(fresh.iter().map(|(_, update)| *update));
        fresh.last().map(|(change, _)| *change).filter(|_| !all)
    }
}

impl Record {
    const fn new(address: SocketAddr) -> Self {
        let latest = TargetUpdate { address, revision: 0, silent: false, report: None };
        Self { latest, changed: 0, load_changed: 0, own_silent: false }
    }
}

/// Returns what of a target's news is passed on: everything but its load.
fn shared_state(update: &TargetUpdate) -> impl PartialEq + use<> {
    let report = update.report.map(|r| (r.incarnation, r.leaving, r.version, r.loading));
    (update.silent, report)
}

/// Tells whether the load changed by enough for placing calls elsewhere.
fn load_differs(next: &TargetUpdate, latest: &TargetUpdate) -> bool {
    let Some((next, latest)) = next.report.zip(latest.report) else {
        return next.report.is_some() != latest.report.is_some();
    };
    let differs = |a: u32, b: u32, floor: u32| a.abs_diff(b) > (a.max(b) / 4).max(floor);
    differs(next.running + next.waiting, latest.running + latest.waiting, 1)
        || differs(next.prefill_backlog.0, latest.prefill_backlog.0, MIN_BACKLOG_CHANGE_TOKENS)
}

/// Chooses between two news with the same revision, alike on all daemons.
fn wins_tie(update: &TargetUpdate, known: &TargetUpdate) -> bool {
    let rank = |n: &TargetUpdate| {
        (!n.silent, n.report.map(|r| (r.incarnation, r.leaving, r.version, r.loading)))
    };
    rank(update) > rank(known)
}
