//! Failure domains that the operator has evacuated; docs/design/evacuation.md.
//!
//! What is known of a domain is ordered by its position in the platform's table, so that reads of
//! the table and reports of peers are merged in any order.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::Moment;
use derive_more::Display;

use crate::feed::FeedPosition;

/// How long after the first read of a restored table an evacuation is kept that the table lacks.
///
/// The operator writes a lost row again within seconds of a restore.
pub const RESTORE_DELAY: Duration = Duration::from_secs(2);

/// Describes a row of the operator table that evacuates a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationRow {
    /// The failure domain.
    pub domain: Arc<str>,
    /// Whether the row exists; `false` for its removal.
    pub evacuated: bool,
    /// The version of the row or of its removal.
    pub version: u64,
}

/// Contains the evacuations in a page of the operator table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationPage {
    /// Whether the page is the whole table, so that evacuations without a row have ended.
    pub is_whole: bool,
    /// The position of the page.
    pub position: FeedPosition,
    /// The moment as of which the page is current.
    pub as_of: Moment,
    /// The rows and removals.
    pub rows: Vec<EvacuationRow>,
}

/// Reports to a peer what is known of one failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationReport {
    /// The failure domain.
    pub domain: Arc<str>,
    /// Whether it is evacuated.
    pub evacuated: bool,
    /// The era of the platform's store, and the version of the row or of its removal.
    pub position: FeedPosition,
    /// How long ago a daemon learned of it from the store.
    pub age: Duration,
}

/// Names how a change became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EvacuationSource {
    /// The platform's store, directly or through a reader.
    #[display("store")]
    Store,
    /// The digest of a peer.
    #[display("peer")]
    Peer,
    /// The row was not written again after a restore.
    #[display("restore")]
    Restore,
}

/// Describes a change to log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// What is known now.
    pub report: EvacuationReport,
    /// How it became known.
    pub source: EvacuationSource,
    /// The number of targets that the domain has.
    pub targets: usize,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    evacuated: bool,
    position: FeedPosition,
    received_at: Moment,
    /// Time from the read of the store to its receipt here.
    age_on_receipt: Duration,
}

/// Merges what the store and peers say about evacuated failure domains.
#[derive(Debug, Default)]
pub struct Evacuations {
    domains: BTreeMap<Arc<str>, Known>,
    /// The position of the last whole read of the table.
    read: Option<FeedPosition>,
    /// The position and the time of the first whole read in the present era.
    era_read: Option<(FeedPosition, Moment)>,
    /// The moment as of which the table was last read, in whole or in part.
    read_as_of: Moment,
    changes: Vec<EvacuationChange>,
}

impl Evacuations {
    /// Applies a page of the operator table.
    pub fn apply_page(&mut self, now: Moment, page: &EvacuationPage) {
        let era = page.position.era;
        let age = now.since(page.as_of);
        for row in &page.rows {
            let position = FeedPosition { era, version: row.version };
            self.merge(now, &row.domain, row.evacuated, position, age, EvacuationSource::Store);
        }
        if !page.is_whole {
            return;
        }
        if self.era_read.is_none_or(|(first, _)| first.era < era) {
            self.era_read = Some((page.position, now));
        }
        self.read = self.read.max(Some(page.position));
        // A missing row was removed, unless it is newer than the page. After a restore it may be
        // lost only; `expire` ends those evacuations.
        let is_missing = |domain: &Arc<str>| page.rows.iter().all(|row| row.domain != *domain);
        let ended = self.domains.iter().filter(|(domain, known)| {
            known.evacuated && known.position.era == era && is_missing(domain)
        });
        let ended: Vec<Arc<str>> = ended.map(|(domain, _)| domain.clone()).collect();
        for domain in ended {
            self.merge(now, &domain, false, page.position, age, EvacuationSource::Store);
        }
    }

    /// Records that all changes of the table up to a moment were applied.
    pub fn confirm(&mut self, as_of: Moment) {
        self.read_as_of = self.read_as_of.max(as_of);
    }

    /// Applies what a peer knows.
    pub fn apply_report(&mut self, now: Moment, report: &EvacuationReport) {
        if !self.domains.contains_key(&report.domain) && self.is_refuted(report.position) {
            return;
        }
        let EvacuationReport { ref domain, evacuated, position, age } = *report;
        self.merge(now, domain, evacuated, position, age, EvacuationSource::Peer);
    }

    /// Returns whether a read of the table has shown that a row at a position no longer exists, if
    /// nothing is known of its domain.
    fn is_refuted(&self, position: FeedPosition) -> bool {
        let Some((read, (first, at))) = self.read.zip(self.era_read) else {
            return false;
        };
        let is_kept = position.era < first.era && self.read_as_of < at + RESTORE_DELAY;
        position <= read && !is_kept
    }

    /// Ends the evacuations whose rows a restored table lacks, once it was read after the operator
    /// had the time to write them again.
    pub fn expire(&mut self, now: Moment) {
        let is_settled = |at: Moment| self.read_as_of >= at + RESTORE_DELAY;
        let Some((first, at)) = self.era_read.filter(|(_, at)| is_settled(*at)) else {
            return;
        };
        let lost = self.domains.iter();
        let lost = lost.filter(|(_, known)| known.evacuated && known.position.era < first.era);
        let lost: Vec<Arc<str>> = lost.map(|(domain, _)| domain.clone()).collect();
        let age = now.since(at);
        for domain in lost {
            self.merge(now, &domain, false, first, age, EvacuationSource::Restore);
        }
    }

    /// Returns whether a failure domain is evacuated.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.domains.get(domain).is_some_and(|known| known.evacuated)
    }

    /// Returns the number of evacuated failure domains.
    pub fn count(&self) -> usize {
        self.domains.values().filter(|known| known.evacuated).count()
    }

    /// Returns what is known of each failure domain, ended evacuations included: a daemon that the
    /// store turns away learns their end from peers only.
    pub fn reports(&self, now: Moment) -> Vec<EvacuationReport> {
        let reports = self.domains.iter().map(|(domain, known)| known.report(now, domain));
        reports.collect()
    }

    /// Returns the changes since the last call; their targets are not counted yet.
    pub fn take_changes(&mut self) -> Vec<EvacuationChange> {
        std::mem::take(&mut self.changes)
    }

    /// Records what is known of a domain if it is newer.
    fn merge(
        &mut self,
        now: Moment,
        domain: &Arc<str>,
        evacuated: bool,
        position: FeedPosition,
        age: Duration,
        source: EvacuationSource,
    ) {
        let before = self.domains.get(domain);
        if before.is_some_and(|before| before.position >= position) {
            return;
        }
        let was_evacuated = before.is_some_and(|before| before.evacuated);
        let known = Known { evacuated, position, received_at: now, age_on_receipt: age };
        self.domains.insert(domain.clone(), known);
        if was_evacuated != evacuated {
            let report = known.report(now, domain);
            self.changes.push(EvacuationChange { report, source, targets: 0 });
        }
    }
}

impl Known {
    fn report(&self, now: Moment, domain: &Arc<str>) -> EvacuationReport {
        let age = now.since(self.received_at) + self.age_on_receipt;
        let Self { evacuated, position, .. } = *self;
        EvacuationReport { domain: domain.clone(), evacuated, position, age }
    }
}
