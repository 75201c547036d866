//! Follows a table: reads it whole, then its changes, across outages and lost history.

use std::time::Duration;

use cumintrail_client::{Feed, FeedError, FeedPage, FeedTable};
use cumintrail_types::Moment;
use rand::Rng;
use tokio::sync::mpsc;

use crate::metric;
use crate::shared::Shared;

/// Time that one request waits for changes.
///
/// A longer wait would detect a silent connection later; a shorter one would send more requests,
/// which the platform counts.
const LONG_POLL_WAIT: Duration = Duration::from_secs(2);
/// Time allowed for a response beyond `LONG_POLL_WAIT`.
const RESPONSE_MARGIN: Duration = Duration::from_millis(700);
/// Timeout of reading a whole table.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after the first failed request; it doubles with each further failure in a row.
const RETRY_DELAY_BASE: Duration = Duration::from_millis(100);
const MAX_RETRY_DOUBLINGS: u32 = 3;
/// Minimum interval between requests after a change, so that a series of changes needs few of them.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of daemons that read the registry at `MIN_REQUEST_INTERVAL`; with more of them,
/// the interval grows in proportion to their number.
const MAX_DAEMONS_AT_MIN_INTERVAL: f64 = 16.0;
/// Upper bound of the interval: daemons must receive the drain of a target well within 2 s.
const MAX_REQUEST_INTERVAL: Duration = Duration::from_millis(600);

/// Describes a response or failure of a table's feed; a page comes with the moment as of which it
/// is current.
#[derive(Debug)]
pub enum FeedEvent {
    /// All rows of the table.
    Snapshot(FeedPage, Moment),
    /// The rows that changed after the version of the previous page; none if the wait ended first.
    Changes(FeedPage, Moment),
    /// A request failed.
    Failed,
    /// A request succeeded after one or more failures.
    Recovered,
}

/// Follows a table until the receiver of `tx` is dropped.
pub async fn run<F: Feed>(
    shared: &Shared,
    feed: &F,
    table: FeedTable,
    tx: mpsc::UnboundedSender<(FeedTable, FeedEvent)>,
) {
    let mut version = None;
    let mut failures = 0;
    loop {
        let (started, sent) = (tokio::time::Instant::now(), shared.now());
        let page = match version {
            Some(after) => {
                let changes = feed.changes(table, after, LONG_POLL_WAIT);
                with_timeout(changes, LONG_POLL_WAIT + RESPONSE_MARGIN).await
            }
            None => with_timeout(feed.read(table), READ_TIMEOUT).await,
        };
        let event = match page {
            Ok(page) => {
                if failures > 0 {
                    log::info!("event=feed-returned table={table:?} failures={failures}");
                    let _ = tx.send((table, FeedEvent::Recovered));
                }
                failures = 0;
                // Without changes, the store responds when the wait ends, and as of that moment.
                let waited = version.is_some() && page.rows.is_empty();
                let as_of = if waited { (sent + LONG_POLL_WAIT).min(shared.now()) } else { sent };
                let is_snapshot = version.is_none();
                version = Some(page.version.max(version.unwrap_or(0)));
                if is_snapshot {
                    FeedEvent::Snapshot(page, as_of)
                } else {
                    FeedEvent::Changes(page, as_of)
                }
            }
            Err(FeedError::HistoryLost) => {
                log::info!("event=history-lost table={table:?} after={version:?}");
                version = None;
                continue;
            }
            Err(FeedError::Client { source }) => {
                failures += 1;
                metrics::counter!(metric::PLATFORM_ERRORS, "part" => "feed").increment(1);
                if failures == 1 {
                    log::warn!(
                        "event=feed-lost table={table:?} version={version:?} cause=\"{source}\""
                    );
                }
                FeedEvent::Failed
            }
        };
        let changed = matches!(&event, FeedEvent::Changes(page, _) if !page.rows.is_empty());
        if tx.send((table, event)).is_err() {
            return;
        }
        let delay = match failures {
            0 if changed => request_interval(table, shared.store_limit_daemons())
                .saturating_sub(started.elapsed()),
            0 => Duration::ZERO,
            _ => {
                let doubled = RETRY_DELAY_BASE * 2_u32.pow((failures - 1).min(MAX_RETRY_DOUBLINGS));
                doubled.mul_f64(rand::rng().random_range(0.7..1.3))
            }
        };
        actix_rt::time::sleep(delay).await;
    }
}

/// Returns the minimum interval between two requests. For the registry it grows with the number of
/// daemons: that of a large deployment changes constantly, and the platform counts requests.
fn request_interval(table: FeedTable, daemons: usize) -> Duration {
    match table {
        FeedTable::Operator => MIN_REQUEST_INTERVAL,
        FeedTable::Registry => {
            let factor = daemons as f64 / MAX_DAEMONS_AT_MIN_INTERVAL;
            MIN_REQUEST_INTERVAL.mul_f64(factor.max(1.0)).min(MAX_REQUEST_INTERVAL)
        }
    }
}

async fn with_timeout(
    exchange: impl Future<Output = Result<FeedPage, FeedError>>,
    timeout: Duration,
) -> Result<FeedPage, FeedError> {
    match actix_rt::time::timeout(timeout, exchange).await {
        Ok(page) => page,
        Err(_) => Err(FeedError::Client { source: cumintrail_client::ClientError::Timeout }),
    }
}
