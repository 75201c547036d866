//! Follows a table on the platform: reads it whole, then its changes, across outages, lost history
//! and restored stores.
//!
//! A daemon that follows a reader of its failure domain pauses here; docs/PLATFORM.md, "Readers and
//! followers".

use std::sync::Arc;
use std::time::Duration;

use cumintrail_client::{ClientError, Feed, FeedError};
use cumintrail_control::feed::{
    FeedPage, FeedPosition, FeedTable, OwnReads, PollRequest, PollSchedule,
};
use cumintrail_types::Moment;
use rand::Rng;
use tokio::sync::mpsc;

use super::{Platform, Update};
use crate::metric;
use crate::shared::Shared;

/// Describes a response or failure of a table's feed; a page comes with the moment as of which it
/// is current.
#[derive(Debug)]
pub enum FeedEvent {
    /// All rows of the table.
    Snapshot(FeedPage, Moment),
    /// The rows that changed after the version of the previous page; none if the wait ended first.
    Changes(FeedPage, Moment),
    /// A request failed.
    Failed {
        /// When it was sent.
        sent: Moment,
        /// How many have failed in a row.
        failures: u32,
    },
    /// A request succeeded after one or more failures.
    Recovered,
}

/// Follows a table, whose changes must be in force within `apply_limit`, until the receiver of `tx`
/// is dropped.
pub async fn run<P: Platform>(
    shared: Arc<Shared>,
    platform: P,
    table: FeedTable,
    apply_limit: Duration,
    tx: mpsc::UnboundedSender<Update>,
) {
    let client = platform.open();
    let mut follower = TableFollower {
        shared,
        platform,
        table,
        schedule: PollSchedule::new(table, apply_limit),
        last_response: None,
        pending: Duration::ZERO,
    };
    let mut reads = follower.shared.own_reads.subscribe();
    let mut resumed = false;
    while let Ok(own_reads) = reads.wait_for(|reads| reads.tables).await.map(|reads| *reads) {
        if resumed {
            let delay = PollSchedule::resume_delay(own_reads, rand::rng().random());
            actix_rt::time::sleep(delay).await;
        }
        resumed = false;
        let delay = match follower.read_next(&client, own_reads, &tx).await {
            Ok(delay) => delay,
            Err(mpsc::error::SendError(_)) => return,
        };
        if !delay.is_zero() {
            actix_rt::time::sleep(delay).await;
        }
        if !reads.borrow().tables {
            resumed = true;
        }
    }
}

struct TableFollower<P> {
    shared: Arc<Shared>,
    platform: P,
    table: FeedTable,
    schedule: PollSchedule,
    /// When the platform last responded with rows or changes.
    last_response: Option<Moment>,
    /// How long the last failed request was pending.
    pending: Duration,
}

impl<P: Platform> TableFollower<P> {
    /// Sends one request and handles its response; returns the delay before the next one.
    async fn read_next<F: Feed>(
        &mut self,
        feed: &F,
        own_reads: OwnReads,
        tx: &mpsc::UnboundedSender<Update>,
    ) -> Result<Duration, mpsc::error::SendError<Update>> {
        let table = self.table;
        let position = self.shared.feed_log().table_position(table);
        let request = self.schedule.next_request(own_reads, position.is_some());
        let (started, sent) = (tokio::time::Instant::now(), self.shared.now());
        let page = match position {
            Some(after) => with_timeout(feed.changes(table, after, request.wait), request).await,
            None => with_timeout(feed.read(table), request).await,
        };
        let page = match page {
            Err(FeedError::HistoryLost) => {
                log::info!("event=history-lost table={table:?} position={position:?}");
                let page = with_timeout(feed.read(table), PollRequest::WHOLE_TABLE).await;
                page.map(|page| (true, page))
            }
            page => page.map(|page| (position.is_none(), page)),
        };
        let (is_snapshot, page) = match page {
            Ok(page) => page,
            Err(e) => {
                self.pending = started.elapsed();
                let delay = self.record_failure(own_reads, position, &e);
                let failures = self.schedule.failures();
                tx.send(Update::Table(table, FeedEvent::Failed { sent, failures }))?;
                return Ok(delay);
            }
        };
        let gap = self.record_response();
        let failures = self.schedule.failures();
        if failures > 0 {
            log::info!(
                "event=feed-returned table={table:?} failures={failures} gap_ms={} last_pending_ms={}",
                gap.as_millis(),
                self.pending.as_millis()
            );
            if table == FeedTable::Registry {
                self.shared.feed_log().record_registry_return(self.shared.now());
            }
            tx.send(Update::Table(table, FeedEvent::Recovered))?;
        }
        let has_changes = is_snapshot || !page.rows.is_empty();
        // Without changes, the store responds when the wait ends, and as of that moment. A response
        // without rows comes earlier if only rows that do not concern daemons changed.
        let waited = !has_changes && started.elapsed() >= request.wait;
        let as_of = if waited { (sent + request.wait).min(self.shared.now()) } else { sent };
        let platform = &self.platform;
        let is_accepted =
            self.shared.feed_log().record_page(table, is_snapshot, &page, as_of, |row| {
                platform.target_change(&row.key, row.value.as_deref())
            });
        if !is_accepted {
            // An update of a later era was received after the request was sent.
            log::info!("event=feed-outdated table={table:?} position={:?}", page.position);
            return Ok(self.schedule.record_outdated());
        }
        if has_changes {
            self.shared.feed_changes.send_modify(|count| *count += 1);
        }
        let event = if is_snapshot {
            FeedEvent::Snapshot(page, as_of)
        } else {
            FeedEvent::Changes(page, as_of)
        };
        tx.send(Update::Table(table, event))?;
        let uptime = sent.since(Moment::default());
        let interval = self.schedule.record_response(own_reads, !waited, uptime);
        Ok(interval.saturating_sub(started.elapsed()))
    }

    /// Returns the time since the response before, or since the start of the process.
    fn record_response(&mut self) -> Duration {
        let now = self.shared.now();
        let gap = now.since(self.last_response.replace(now).unwrap_or_default());
        metrics::histogram!(metric::FEED_GAP_SECONDS, "table" => table_label(self.table))
            .record(gap.as_secs_f64());
        gap
    }

    /// Records a failed request and returns the delay before the next one.
    fn record_failure(
        &mut self,
        own_reads: OwnReads,
        position: Option<FeedPosition>,
        e: &FeedError,
    ) -> Duration {
        metrics::counter!(metric::PLATFORM_ERRORS, "part" => "feed").increment(1);
        if self.schedule.failures() == 0 {
            let table = self.table;
            log::warn!("event=feed-lost table={table:?} position={position:?} cause=\"{e}\"");
        }
        self.schedule.record_failure(own_reads, rand::rng().random())
    }
}

const fn table_label(table: FeedTable) -> &'static str {
    match table {
        FeedTable::Operator => "operator",
        FeedTable::Registry => "registry",
    }
}

async fn with_timeout(
    exchange: impl Future<Output = Result<FeedPage, FeedError>>,
    request: PollRequest,
) -> Result<FeedPage, FeedError> {
    match actix_rt::time::timeout(request.timeout, exchange).await {
        Ok(page) => page,
        Err(_) => Err(FeedError::Client { source: ClientError::Timeout }),
    }
}
