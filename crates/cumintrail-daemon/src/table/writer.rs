//! Groups writes of records into transactions; docs/DESIGN.md, "At most once".

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::{Instant, sleep, sleep_until};
use cumintrail_client::Table;
use cumintrail_wire::platform::{Condition, Transaction, Write};
use cumintrail_wire::retention::IndexedResponse;
use rand::Rng;
use tokio::sync::{Semaphore, mpsc, oneshot};

use super::client::{
    NoResponse, TABLE_TIMEOUT, TableClient, TableError, WriteOutcome, parse_record,
};
use super::index::{self, IndexRequest};
use crate::shared::Shared;

/// Claims that arrive within this time after the first one share its transaction.
const BATCH_DELAY: Duration = Duration::from_millis(2);
/// Time that an outcome waits for a claim whose transaction it can share.
const OUTCOME_DELAY: Duration = Duration::from_secs(1);
const MAX_BATCH_WRITES: usize = 64;
/// Maximum number of concurrent transactions; a slow table receives larger ones instead of more.
const MAX_TRANSACTIONS_IN_FLIGHT: usize = 4;
/// Delay between two transactions of retried writes. With jitter, it limits 320 daemons to about
/// 80 transactions a second when the table has recovered.
const RETRY_DELAY: Duration = Duration::from_secs(4);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);
/// Maximum retry delay during a planned stop, which waits until all outcomes are recorded.
const STOPPING_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Limits how long a planned stop waits for index writes, which only save storage.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Selects how soon a write is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteKind {
    /// A call waits for the write, so it is sent as soon as possible.
    Claim,
    /// No call waits for the write, so it may share the transaction of a later claim.
    Outcome,
    /// An earlier attempt failed. Retries are delayed, since all daemons have some after an outage.
    Retry,
}

/// Represents a write whose transaction has not ended.
struct PendingWrite {
    key: String,
    version: u64,
    value: String,
    queued_at: Instant,
    reply: oneshot::Sender<Result<WriteOutcome, NoResponse>>,
}

/// Sends writes from any thread to the writer of the process.
#[derive(Debug)]
pub struct WriterHandle {
    claims: mpsc::UnboundedSender<PendingWrite>,
    outcomes: mpsc::UnboundedSender<PendingWrite>,
    retries: mpsc::UnboundedSender<PendingWrite>,
    index_requests: mpsc::UnboundedSender<IndexRequest>,
}

impl std::fmt::Debug for PendingWrite {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.key)
    }
}

impl WriterHandle {
    /// Writes a row on condition that it has `version`; 0 requires that the row is absent.
    pub async fn write(
        &self,
        key: &str,
        version: u64,
        value: String,
        kind: WriteKind,
    ) -> Result<WriteOutcome, NoResponse> {
        let (reply, written) = oneshot::channel();
        let write =
            PendingWrite { key: key.to_owned(), version, value, queued_at: Instant::now(), reply };
        let queue = match kind {
            WriteKind::Claim => &self.claims,
            WriteKind::Outcome => &self.outcomes,
            WriteKind::Retry => &self.retries,
        };
        queue.send(write).map_err(|_| NoResponse)?;
        written.await.unwrap_or(Err(NoResponse))
    }

    /// Adds a key whose response is recorded to the index, so that its record is shrunk once it has
    /// expired.
    pub fn index_response(&self, key: IndexedResponse) {
        // The send fails only if the index task has ended with the process; the record then stays.
        let _ = self.index_requests.send(IndexRequest::Add(key));
    }

    /// Writes the pending index entries, waiting at most `FLUSH_TIMEOUT`.
    pub async fn flush_index(&self) {
        let (done, flushed) = oneshot::channel();
        if self.index_requests.send(IndexRequest::Flush(done)).is_ok() {
            let _ = actix_rt::time::timeout(FLUSH_TIMEOUT, flushed).await;
        }
    }
}

/// Receives the writes of all threads.
pub struct Inbox {
    queues: ClaimQueues,
    retries: mpsc::UnboundedReceiver<PendingWrite>,
    index_requests: mpsc::UnboundedReceiver<IndexRequest>,
}

/// Receives the first attempts of claims and outcomes.
struct ClaimQueues {
    claims: mpsc::UnboundedReceiver<PendingWrite>,
    outcomes: mpsc::UnboundedReceiver<PendingWrite>,
}

/// Creates the channels between the traffic threads and the writer.
pub fn channel() -> (WriterHandle, Inbox) {
    let (claims, for_claims) = mpsc::unbounded_channel();
    let (outcomes, for_outcomes) = mpsc::unbounded_channel();
    let (retries, for_retries) = mpsc::unbounded_channel();
    let (index_requests, for_index) = mpsc::unbounded_channel();
    let queues = ClaimQueues { claims: for_claims, outcomes: for_outcomes };
    let inbox = Inbox { queues, retries: for_retries, index_requests: for_index };
    (WriterHandle { claims, outcomes, retries, index_requests }, inbox)
}

/// Runs the writer until the process ends; one writer batches the claims of all threads.
pub async fn run(shared: Arc<Shared>, inbox: Inbox) {
    let client = TableClient::open(shared);
    let claims = commit_claims(client.clone(), inbox.queues);
    let retries = retry_writes(client.clone(), inbox.retries);
    futures_util::future::join3(claims, retries, index::run(client, inbox.index_requests)).await;
}

/// Commits claims after `BATCH_DELAY`, and outcomes together with them or after `OUTCOME_DELAY`.
async fn commit_claims(client: TableClient, mut queues: ClaimQueues) {
    let in_flight = Arc::new(Semaphore::new(MAX_TRANSACTIONS_IN_FLIGHT));
    let mut outcomes = Vec::new();
    while let Ok(permit) = in_flight.clone().acquire_owned().await {
        let Some(mut batch) = next_claims(&mut queues, &mut outcomes).await else {
            return;
        };
        let free = MAX_BATCH_WRITES.saturating_sub(batch.len()).min(outcomes.len());
        batch.extend(outcomes.drain(..free));
        let client = client.clone();
        actix_rt::spawn(async move {
            commit_all(&client, batch).await;
            drop(permit);
        });
    }
}

/// Waits until a transaction is due and returns its claims, which may be none; returns `None` once
/// the channels are closed.
async fn next_claims(
    queues: &mut ClaimQueues,
    outcomes: &mut Vec<PendingWrite>,
) -> Option<Vec<PendingWrite>> {
    loop {
        let due = outcomes.first().map(|oldest: &PendingWrite| oldest.queued_at + OUTCOME_DELAY);
        let wait = sleep_until(due.unwrap_or_else(Instant::now));
        tokio::select! {
            claim = queues.claims.recv() => {
                sleep(BATCH_DELAY).await;
                let mut claims = vec![claim?];
                fill_batch(&mut claims, &mut queues.claims);
                fill_batch(outcomes, &mut queues.outcomes);
                return Some(refuse_overdue(claims));
            }
            outcome = queues.outcomes.recv() => outcomes.push(outcome?),
            () = wait, if due.is_some() => return Some(Vec::new()),
        }
        if outcomes.len() >= MAX_BATCH_WRITES {
            return Some(Vec::new());
        }
    }
}

/// Reports claims that waited too long as not sent, so that their calls are refused in time.
fn refuse_overdue(claims: Vec<PendingWrite>) -> Vec<PendingWrite> {
    let (overdue, claims) =
        claims.into_iter().partition(|c| c.queued_at.elapsed() >= TABLE_TIMEOUT);
    reply_all(overdue, &Ok(WriteOutcome::NotSent));
    claims
}

fn fill_batch(batch: &mut Vec<PendingWrite>, queue: &mut mpsc::UnboundedReceiver<PendingWrite>) {
    while let Some(write) =
        (batch.len() < MAX_BATCH_WRITES).then(|| queue.try_recv().ok()).flatten()
    {
        batch.push(write);
    }
}

/// Commits retried writes, one transaction at a time, with a delay before each.
async fn retry_writes(client: TableClient, mut queue: mpsc::UnboundedReceiver<PendingWrite>) {
    let mut delay = RETRY_DELAY;
    while let Some(first) = queue.recv().await {
        wait_for_retry(&client, delay.mul_f64(rand::rng().random_range(0.5..1.5))).await;
        let mut batch = vec![first];
        fill_batch(&mut batch, &mut queue);
        let responded = commit_all(&client, batch).await;
        delay = if responded { RETRY_DELAY } else { (delay * 2).min(MAX_RETRY_DELAY) };
    }
}

/// Waits for a retry delay, which a planned stop limits to `STOPPING_RETRY_DELAY`.
async fn wait_for_retry(client: &TableClient, delay: Duration) {
    let started = Instant::now();
    loop {
        let stopping = client.shared.is_stopping();
        let delay = if stopping { delay.min(STOPPING_RETRY_DELAY) } else { delay };
        let remaining = delay.saturating_sub(started.elapsed());
        if remaining.is_zero() {
            return;
        }
        sleep(remaining.min(STOP_POLL_INTERVAL)).await;
    }
}

/// Commits until each write took effect, met a conflict or failed; returns whether the table
/// responded to all transactions.
async fn commit_all(client: &TableClient, mut batch: Vec<PendingWrite>) -> bool {
    let mut responded = true;
    while !batch.is_empty() {
        let (together, later) = split_duplicate_keys(batch);
        let (rest, response) = commit(client, together).await;
        responded &= response;
        batch = rest;
        batch.extend(later);
    }
    responded
}

/// Separates writes of a row that an earlier write of the batch has: within one transaction, the
/// conditions of both would hold and both would take effect.
fn split_duplicate_keys(batch: Vec<PendingWrite>) -> (Vec<PendingWrite>, Vec<PendingWrite>) {
    let mut seen = HashSet::new();
    batch.into_iter().partition(|write| seen.insert(write.key.clone()))
}

/// Commits one transaction; returns the writes that failed only because another write of the
/// transaction had a conflict, and whether the table responded.
async fn commit(client: &TableClient, batch: Vec<PendingWrite>) -> (Vec<PendingWrite>, bool) {
    let conditions = batch.iter().map(|i| Condition { key: i.key.clone(), version: i.version });
    let writes = batch.iter().map(|i| Write { key: i.key.clone(), value: Some(i.value.clone()) });
    let transaction = Transaction { conditions: conditions.collect(), writes: writes.collect() };
    let committed = match client.exchange(client.platform.commit(&transaction)).await {
        Ok(committed) if committed.committed => {
            return (reply_all(batch, &Ok(WriteOutcome::Committed)), true);
        }
        Ok(refused) if refused.found.len() == batch.len() => refused,
        Err(TableError::NotSent) => return (reply_all(batch, &Ok(WriteOutcome::NotSent)), false),
        Ok(_) | Err(TableError::NoResponse) => return (reply_all(batch, &Err(NoResponse)), false),
    };
    let tried = batch.len();
    let mut rest = Vec::new();
    for (write, row) in batch.into_iter().zip(committed.found) {
        if row.as_ref().map_or(0, |r| r.version) == write.version {
            rest.push(write);
            continue;
        }
        let found = row.as_ref().map(parse_record).transpose();
        let _ = write.reply.send(found.map(WriteOutcome::Conflict));
    }
    // A refusal without a conflict violates the table's protocol; retrying it might never end.
    if rest.len() == tried { (reply_all(rest, &Err(NoResponse)), false) } else { (rest, true) }
}

fn reply_all(
    batch: Vec<PendingWrite>,
    result: &Result<WriteOutcome, NoResponse>,
) -> Vec<PendingWrite> {
    for write in batch {
        let _ = write.reply.send(result.clone());
    }
    Vec::new()
}
