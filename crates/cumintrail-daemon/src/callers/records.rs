//! Writes of one traffic thread to the rows of idempotency keys, grouped into transactions.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use cumintrail_client::{ClientError, HttpPlatform, Table};
use cumintrail_control::once::{Found, Record};
use cumintrail_wire::platform::{Condition, Row, Transaction, Write};
use cumintrail_wire::record::{AnswerRecord, ClaimRecord};
use tokio::sync::{mpsc, oneshot};

/// Writes that arrive within this time share a transaction.
const GATHER: Duration = Duration::from_millis(2);
const MAX_BATCH: usize = 64;
/// A table that is slower is taken for unreachable.
const TABLE_TIMEOUT: Duration = Duration::from_millis(750);

/// Reports that the table did not answer; a write may or may not have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lost;

/// Tells what became of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    /// It took effect.
    Done,
    /// The row has another version than demanded.
    Conflict(Option<Found<AnswerRecord>>),
}

struct Item {
    key: String,
    version: u64,
    value: String,
    reply: oneshot::Sender<Result<Written, Lost>>,
}

/// Reads and writes the rows of idempotency keys.
#[derive(Clone)]
pub struct Records {
    platform: Rc<HttpPlatform>,
    tx: mpsc::UnboundedSender<Item>,
}

impl Records {
    /// Starts the current thread's writer.
    pub fn open(platform: HttpPlatform) -> Self {
        let platform = Rc::new(platform);
        let (tx, rx) = mpsc::unbounded_channel();
        actix_rt::spawn(gather(platform.clone(), rx));
        Self { platform, tx }
    }

    /// Reads a row; nothing if it is absent.
    pub async fn read(&self, key: &str) -> Result<Option<Found<AnswerRecord>>, Lost> {
        let row = bounded(self.platform.read(key)).await?;
        row.as_ref().map(parse).transpose()
    }

    /// Writes a row if it has `version`; zero demands that it is absent.
    pub async fn write(
        &self,
        key: &str,
        version: u64,
        record: Record<AnswerRecord>,
    ) -> Result<Written, Lost> {
        let value = serde_json::to_string(&ClaimRecord::from(record)).map_err(|_| Lost)?;
        let (reply, written) = oneshot::channel();
        let item = Item { key: key.to_owned(), version, value, reply };
        self.tx.send(item).map_err(|_| Lost)?;
        written.await.unwrap_or(Err(Lost))
    }
}

async fn bounded<T>(exchange: impl Future<Output = Result<T, ClientError>>) -> Result<T, Lost> {
    match actix_rt::time::timeout(TABLE_TIMEOUT, exchange).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(_)) | Err(_) => Err(Lost),
    }
}

fn parse(row: &Row) -> Result<Found<AnswerRecord>, Lost> {
    let record: ClaimRecord = serde_json::from_str(&row.value).map_err(|_| Lost)?;
    Ok(Found { version: row.version, record: record.into() })
}

async fn gather(platform: Rc<HttpPlatform>, mut rx: mpsc::UnboundedReceiver<Item>) {
    while let Some(first) = rx.recv().await {
        actix_rt::time::sleep(GATHER).await;
        let mut batch = vec![first];
        while let Some(item) = (batch.len() < MAX_BATCH).then(|| rx.try_recv().ok()).flatten() {
            batch.push(item);
        }
        actix_rt::spawn(commit_all(platform.clone(), batch));
    }
}

/// Commits until each write took effect or met a conflict.
async fn commit_all(platform: Rc<HttpPlatform>, mut batch: Vec<Item>) {
    while !batch.is_empty() {
        let (together, later) = split_repeated(batch);
        batch = commit(&platform, together).await;
        batch.extend(later);
    }
}

/// Sets aside writes of a row that the batch already writes: within one transaction both would
/// see the row free and take effect.
fn split_repeated(batch: Vec<Item>) -> (Vec<Item>, Vec<Item>) {
    let mut seen = HashSet::new();
    batch.into_iter().partition(|item| seen.insert(item.key.clone()))
}

/// Commits one transaction and returns the writes that only failed with others' conflicts.
async fn commit(platform: &HttpPlatform, batch: Vec<Item>) -> Vec<Item> {
    let conditions = batch.iter().map(|i| Condition { key: i.key.clone(), version: i.version });
    let writes = batch.iter().map(|i| Write { key: i.key.clone(), value: Some(i.value.clone()) });
    let transaction = Transaction { conditions: conditions.collect(), writes: writes.collect() };
    let committed = match bounded(platform.commit(&transaction)).await {
        Ok(committed) if committed.committed => return answer_all(batch, &Ok(Written::Done)),
        Ok(refused) if refused.found.len() == batch.len() => refused,
        Ok(_) | Err(Lost) => return answer_all(batch, &Err(Lost)),
    };
    let tried = batch.len();
    let mut rest = Vec::new();
    for (item, row) in batch.into_iter().zip(committed.found) {
        if row.as_ref().map_or(0, |r| r.version) == item.version {
            rest.push(item);
            continue;
        }
        let found = row.as_ref().map(parse).transpose();
        let _ = item.reply.send(found.map(Written::Conflict));
    }
    // A refusal without a conflict is not the table's protocol; trying on would not end.
    if rest.len() == tried { answer_all(rest, &Err(Lost)) } else { rest }
}

fn answer_all(batch: Vec<Item>, result: &Result<Written, Lost>) -> Vec<Item> {
    for item in batch {
        let _ = item.reply.send(result.clone());
    }
    Vec::new()
}
