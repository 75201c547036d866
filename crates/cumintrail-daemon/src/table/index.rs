//! Indexes keys with recorded responses and shrinks expired records; docs/DESIGN.md, "Retention".

use std::time::Duration;

use actix_rt::time::{Instant, sleep_until};
use cumintrail_client::ClientError;
use cumintrail_client::retention::{SweepOutcome, index_responses, sweep};
use cumintrail_control::once::{MAX_SEGMENT_KEYS, SHARDS};
use cumintrail_wire::retention::IndexedResponse;
use rand::Rng;
use tokio::sync::{mpsc, oneshot};

use super::client::TableClient;
use crate::{clock, metric};

/// Mean interval between two sweeps; jitter spreads the sweeps of 320 daemons over it.
const MEAN_SWEEP_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of keys that wait while the table does not respond. The oldest keys beyond it are
/// dropped, and their records are never shrunk.
const MAX_PENDING_KEYS: usize = 16 * MAX_SEGMENT_KEYS;

/// Requests an action of the index task.
#[derive(Debug)]
pub enum IndexRequest {
    /// Add a key whose response was recorded.
    Add(IndexedResponse),
    /// Write all pending keys before the process ends, then signal completion.
    Flush(oneshot::Sender<()>),
}

/// Handles requests until the process ends, and sweeps expired records at random intervals.
pub async fn run(client: TableClient, mut requests: mpsc::UnboundedReceiver<IndexRequest>) {
    let mut pending = Vec::new();
    let mut due = next_sweep();
    loop {
        tokio::select! {
            request = requests.recv() => match request {
                Some(IndexRequest::Add(key)) => pending.push(key),
                Some(IndexRequest::Flush(done)) => {
                    flush(&client, &mut pending).await;
                    let _ = done.send(());
                }
                None => return,
            },
            () = sleep_until(due) => {
                flush(&client, &mut pending).await;
                sweep_once(&client).await;
                due = next_sweep();
            }
        }
        if !pending.is_empty() && pending.len().is_multiple_of(MAX_SEGMENT_KEYS) {
            flush(&client, &mut pending).await;
        }
    }
}

fn next_sweep() -> Instant {
    Instant::now() + MEAN_SWEEP_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.5))
}

fn random_shard() -> u64 {
    rand::rng().random_range(0..SHARDS)
}

/// Writes the pending keys to the index; keys whose write fails stay pending.
async fn flush(client: &TableClient, pending: &mut Vec<IndexedResponse>) {
    while !pending.is_empty() {
        let keys = &pending[..pending.len().min(MAX_SEGMENT_KEYS)];
        let now = clock::unix_millis();
        if let Err(e) = index_responses(&*client.platform, now, random_shard(), keys).await {
            count_error(&e);
            break;
        }
        pending.drain(..pending.len().min(MAX_SEGMENT_KEYS));
    }
    let surplus = pending.len().saturating_sub(MAX_PENDING_KEYS);
    pending.drain(..surplus);
}

async fn sweep_once(client: &TableClient) {
    let Some(snapshot) = client.shared.snapshot() else {
        return;
    };
    let retention = snapshot.deployment.record_retention;
    match sweep(&*client.platform, clock::unix_millis(), retention, random_shard()).await {
        Ok(SweepOutcome::Shrunk(keys)) => {
            metrics::counter!(metric::EXPIRED_RECORDS).increment(keys as u64);
        }
        Ok(SweepOutcome::NothingExpired | SweepOutcome::Skipped | SweepOutcome::Advanced) => {}
        Err(e) => count_error(&e),
    }
}

fn count_error(e: &ClientError) {
    metrics::counter!(metric::PLATFORM_ERRORS, "part" => "index").increment(1);
    log::debug!("the index of answered keys cannot be reached: {e}");
}
