//! Results of probes, sent between daemons as updates with a revision per target.
//!
//! The daemons that probe a target increment its revision when its state changes. The others accept
//! the highest revision and forward changes of state. Changes of load are sent only by the daemon
//! that probed, since load is soon stale.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::{TargetReport, TargetUpdate};

/// Maximum number of target updates in one digest.
const MAX_UPDATES_PER_DIGEST: usize = 16;
/// Changes of the prefill backlog up to this many tokens are not sent.
const MIN_BACKLOG_CHANGE_TOKENS: u32 = 512;
/// Limits memory use if a peer sends updates of unknown targets.
const MAX_TARGETS: usize = 16_384;

#[derive(Debug)]
struct Record {
    latest: TargetUpdate,
    /// Number of the last change of state, or of the last received update with another state.
    changed: u64,
    /// Number of the last change of load found by an own probe.
    load_changed: u64,
    /// Whether the target counted as silent at the last own probe.
    own_silent: bool,
}

/// Tracks the latest update of each target.
#[derive(Debug, Default)]
pub struct TargetUpdates {
    records: HashMap<SocketAddr, Record>,
}

impl TargetUpdates {
    /// Records a response to an own probe; returns whether the target's state changed.
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

    /// Records that a target counts as silent after missed own probes; returns whether that is new.
    ///
    /// The revision is incremented only once per silence, so that the update of a prober that still
    /// gets responses prevails.
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

    /// Merges a peer's update; returns whether it was accepted.
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
            // A newer update is forwarded; otherwise the sender is sent the one that it lacks.
            *changes += 1;
            record.changed = *changes;
        }
        if newer {
            record.latest = *update;
        }
        newer
    }

    /// Adds the updates after change number `sent` to `into`, the oldest first.
    ///
    /// Returns the number of the last change added, or `None` if all of them fit.
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

/// Returns the part of an update that peers forward: everything except the load.
fn shared_state(update: &TargetUpdate) -> impl PartialEq + use<> {
    let report = update.report.map(|r| (r.incarnation, r.leaving, r.version, r.loading));
    (update.silent, report)
}

/// Returns whether the load changed by enough to affect the placement of calls.
fn load_differs(next: &TargetUpdate, latest: &TargetUpdate) -> bool {
    let Some((next, latest)) = next.report.zip(latest.report) else {
        return next.report.is_some() != latest.report.is_some();
    };
    let differs = |a: u32, b: u32, floor: u32| a.abs_diff(b) > (a.max(b) / 4).max(floor);
    differs(next.running + next.waiting, latest.running + latest.waiting, 1)
        || differs(next.prefill_backlog.0, latest.prefill_backlog.0, MIN_BACKLOG_CHANGE_TOKENS)
}

/// Returns whether `update` prevails over `known` at the same revision; all daemons decide alike.
fn wins_tie(update: &TargetUpdate, known: &TargetUpdate) -> bool {
    let rank = |n: &TargetUpdate| {
        (!n.silent, n.report.map(|r| (r.incarnation, r.leaving, r.version, r.loading)))
    };
    rank(update) > rank(known)
}
