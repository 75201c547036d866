//! Entries that cannot be parsed, and when they are reported.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::Moment;

use super::{EntryChange, RowChange};

/// Minimum time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Tracks the entries that cannot be parsed.
///
/// Another writer may write any number of them, and again and again: an entry counts once for as
/// long as it stays unreadable, and one report stands for all that became so since the last one.
#[derive(Debug, Default)]
pub struct UnreadableEntries {
    keys: HashSet<Arc<str>>,
    unreported: Option<UnreadableReport>,
    last_report: Option<Moment>,
}

/// Describes entries that have become unreadable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableReport {
    /// The key of the first one.
    pub key: Arc<str>,
    /// The version of its row.
    pub version: u64,
    /// The number of these entries.
    pub count: usize,
}

impl UnreadableEntries {
    /// Records the rows of a page, which are all rows of the registry if `is_whole` is set.
    pub fn record_page(&mut self, rows: &[RowChange], is_whole: bool) {
        let before = if is_whole { std::mem::take(&mut self.keys) } else { HashSet::new() };
        for row in rows {
            match row.change {
                EntryChange::Unreadable => {
                    let is_known = !self.keys.insert(row.key.clone()) || before.contains(&row.key);
                    if !is_known {
                        self.count(row);
                    }
                }
                EntryChange::Written(_) | EntryChange::Removed => drop(self.keys.remove(&row.key)),
            }
        }
    }

    fn count(&mut self, row: &RowChange) {
        let first = UnreadableReport { key: row.key.clone(), version: row.version, count: 0 };
        self.unreported.get_or_insert(first).count += 1;
    }

    /// Returns what has become unreadable since the last report, unless that was a short time ago.
    pub fn report(&mut self, now: Moment) -> Option<UnreadableReport> {
        if self.last_report.is_some_and(|last| now.since(last) < REPORT_INTERVAL) {
            return None;
        }
        let report = self.unreported.take()?;
        self.last_report = Some(now);
        Some(report)
    }
}
