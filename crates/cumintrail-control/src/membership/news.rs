//! What probes found, told on as changes with a stamp that grows per target.
//!
//! The daemons that probe a target raise its stamp when its state changes. Others take the highest
//! stamp and pass changes of state on; load goes to the direct peers only, since it is stale soon.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::{TargetNews, TargetReport};

/// News of targets that one digest holds at most.
const MAX_PER_DIGEST: usize = 16;
/// Tokens of backlog below which a change is not told.
const BACKLOG_FLOOR: u32 = 512;
/// Bounds memory against a peer that tells nonsense.
const MAX_TARGETS: usize = 16_384;

#[derive(Debug)]
struct Record {
    told: TargetNews,
    /// When the state last changed, by count of changes.
    changed: u64,
    /// When the load last changed by an own probe.
    load_changed: u64,
    /// Whether the last own probe counted as silent.
    own_silent: bool,
}

/// Remembers the last news of each target.
#[derive(Debug, Default)]
pub struct News {
    records: HashMap<SocketAddr, Record>,
}

impl News {
    /// Takes an own probe that was answered; tells whether the target's state changed.
    pub fn observe(
        &mut self,
        address: SocketAddr,
        report: Option<TargetReport>,
        changes: &mut u64,
    ) -> bool {
        let record = self.records.entry(address).or_insert_with(|| Record::new(address));
        record.own_silent = false;
        let next = TargetNews { silent: false, report, ..record.told };
        let new = record.told.stamp == 0 || state(&next) != state(&record.told);
        if new {
            *changes += 1;
            record.changed = *changes;
            record.told = TargetNews { stamp: record.told.stamp + 1, ..next };
        } else if load_differs(&next, &record.told) {
            *changes += 1;
            record.load_changed = *changes;
            record.told = next;
        }
        new
    }

    /// Takes an own probe that was missed; told once, so that a prober that still gets answers
    /// has the last word.
    pub fn observe_silence(&mut self, address: SocketAddr, changes: &mut u64) -> bool {
        let record = self.records.entry(address).or_insert_with(|| Record::new(address));
        let known = std::mem::replace(&mut record.own_silent, true) || record.told.silent;
        if known {
            return false;
        }
        *changes += 1;
        record.changed = *changes;
        record.told.stamp += 1;
        record.told.silent = true;
        true
    }

    /// Takes a peer's news; tells whether it is newer than what was known.
    pub fn take(&mut self, news: &TargetNews, changes: &mut u64) -> bool {
        if self.records.len() >= MAX_TARGETS && !self.records.contains_key(&news.address) {
            return false;
        }
        let record = self.records.entry(news.address).or_insert_with(|| Record::new(news.address));
        let known = record.told.stamp > 0;
        let same_state = known && state(news) == state(&record.told);
        let newer = news.stamp > record.told.stamp
            || news.stamp == record.told.stamp && (same_state || wins(news, &record.told));
        if !same_state {
            // Passed on if newer; otherwise the sender is told what it does not know yet.
            *changes += 1;
            record.changed = *changes;
        }
        if newer {
            record.told = *news;
        }
        newer
    }

    /// Collects what changed after `sent`; returns the last change included if not all fit.
    pub fn after(&self, sent: u64, into: &mut Vec<TargetNews>) -> Option<u64> {
        let fresh = self.records.values().filter_map(|record| {
            let change = record.changed.max(record.load_changed);
            (change > sent).then_some((change, record.told))
        });
        let mut fresh: Vec<(u64, TargetNews)> = fresh.collect();
        fresh.sort_unstable_by_key(|(change, _)| *change);
        let all = fresh.len() <= MAX_PER_DIGEST;
        fresh.truncate(MAX_PER_DIGEST);
        into.extend(fresh.iter().map(|(_, news)| *news));
        fresh.last().map(|(change, _)| *change).filter(|_| !all)
    }
}

impl Record {
    const fn new(address: SocketAddr) -> Self {
        let told = TargetNews { address, stamp: 0, silent: false, report: None };
        Self { told, changed: 0, load_changed: 0, own_silent: false }
    }
}

/// Returns what of a target's news is passed on: everything but its load.
fn state(news: &TargetNews) -> impl PartialEq + use<> {
    let report = news.report.map(|r| (r.incarnation, r.leaving, r.version, r.loading));
    (news.silent, report)
}

/// Tells whether the load changed by enough for placing calls elsewhere.
fn load_differs(next: &TargetNews, told: &TargetNews) -> bool {
    let Some((next, told)) = next.report.zip(told.report) else {
        return next.report.is_some() != told.report.is_some();
    };
    let differs = |a: u32, b: u32, floor: u32| a.abs_diff(b) > (a.max(b) / 4).max(floor);
    differs(next.running + next.waiting, told.running + told.waiting, 1)
        || differs(next.prefill_backlog.0, told.prefill_backlog.0, BACKLOG_FLOOR)
}

/// Chooses between two news with the same stamp, alike on all daemons.
fn wins(news: &TargetNews, known: &TargetNews) -> bool {
    let rank = |n: &TargetNews| {
        (!n.silent, n.report.map(|r| (r.incarnation, r.leaving, r.version, r.loading)))
    };
    rank(news) > rank(known)
}
