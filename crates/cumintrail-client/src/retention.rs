//! Shrinks the records of expired idempotency keys; docs/DESIGN.md, "Retention".
//!
//! Any daemon may sweep, by conditional commits of a limited number of records each. Rows are never
//! removed, so that an expired key is never mistaken for a new one.

use std::time::Duration;

use cumintrail_control::once::{Hour, SHARDS, UnixMillis, sweep_range};
use cumintrail_wire::platform::{Condition, Transaction, Write};
use cumintrail_wire::record::{expired_row, response_object_name};
use cumintrail_wire::retention::{
    CURSOR_KEY, CursorRecord, IndexedResponse, ShardRecord, segment_key, shard_key,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{ClientError, ObjectStore, Table};

const MAX_COMMIT_ATTEMPTS: u32 = 3;

/// The result of one sweep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SweepOutcome {
    /// No hour of the index has expired.
    NothingExpired,
    /// The records of this many keys were shrunk.
    Shrunk(usize),
    /// Another shard still has records to sweep, or a concurrent sweep committed first.
    Skipped,
    /// The hour is completely swept and the cursor moved to the next one.
    Advanced,
}

/// Adds recorded responses to the index, under the current hour or the first hour after the cursor,
/// whichever is later.
///
/// The commit is conditional on the cursor, so that nothing is added under an hour that has been
/// swept. A segment that is written twice after a lost response is swept twice, which is harmless.
pub async fn index_responses(
    table: &impl Table,
    now: UnixMillis,
    shard: u64,
    responses: &[IndexedResponse],
) -> Result<(), ClientError> {
    let mut last = ClientError::Timeout;
    for _ in 0..MAX_COMMIT_ATTEMPTS {
        let (cursor, cursor_version) = read::<CursorRecord>(table, CURSOR_KEY).await?;
        let first_unswept = cursor.map(|c| Hour(c.hour).next());
        let hour = first_unswept.unwrap_or(Hour::of(now)).max(Hour::of(now));
        let head_key = shard_key(hour, shard);
        let (head, version) = read::<ShardRecord>(table, &head_key).await?;
        let segments = head.map_or(0, |h| h.segments) + 1;
        let mut writes = vec![
            write(head_key.clone(), &ShardRecord { segments }),
            write(segment_key(hour, shard, segments), &responses),
        ];
        if cursor.is_none() {
            let first = CursorRecord { hour: hour.previous().0 };
            writes.push(write(CURSOR_KEY.into(), &first));
        }
        let mut transaction = conditional_transaction(&head_key, version, writes);
        transaction.conditions.push(Condition { key: CURSOR_KEY.into(), version: cursor_version });
        match table.commit(&transaction).await {
            Ok(reply) if reply.committed => return Ok(()),
            Ok(_) => {}
            Err(e) => last = e,
        }
    }
    Err(last)
}

/// Shrinks some records of one shard of the oldest hour, if the hour has expired.
pub async fn sweep<P: Table + ObjectStore>(
    platform: &P,
    now: UnixMillis,
    retention: Duration,
    shard: u64,
) -> Result<SweepOutcome, ClientError> {
    let (cursor, cursor_version) = read::<CursorRecord>(platform, CURSOR_KEY).await?;
    let Some(hour) = cursor.map(|c| Hour(c.hour)) else {
        return Ok(SweepOutcome::NothingExpired);
    };
    if !hour.has_expired(now, retention) {
        return Ok(SweepOutcome::NothingExpired);
    }
    let head_key = shard_key(hour, shard);
    let (head, version) = read::<ShardRecord>(platform, &head_key).await?;
    match head {
        Some(head) => shrink_records(platform, hour, shard, head.segments, version).await,
        None => advance_cursor(platform, hour, cursor_version).await,
    }
}

async fn shrink_records<P: Table + ObjectStore>(
    platform: &P,
    hour: Hour,
    shard: u64,
    segments: u64,
    version: u64,
) -> Result<SweepOutcome, ClientError> {
    let numbers = sweep_range(segments);
    let remaining = numbers.start() - 1;
    let head = (remaining > 0).then(|| encode(&ShardRecord { segments: remaining }));
    let head_key = shard_key(hour, shard);
    let mut writes = vec![Write { key: head_key.clone(), value: head }];
    let mut shrunk = 0;
    for number in numbers {
        let key = segment_key(hour, shard, number);
        let responses = read::<Vec<IndexedResponse>>(platform, &key).await?.0.unwrap_or_default();
        for response in &responses {
            if let Some(object) = response.object {
                platform.remove(&response_object_name(object)).await?;
            }
        }
        shrunk += responses.len();
        // A record with a response is never written again, so its row needs no condition.
        let expired = |r: IndexedResponse| Write { key: r.row, value: Some(expired_row()) };
        writes.extend(responses.into_iter().map(expired));
        writes.push(Write { key, value: None });
    }
    let reply = platform.commit(&conditional_transaction(&head_key, version, writes)).await?;
    Ok(if reply.committed { SweepOutcome::Shrunk(shrunk) } else { SweepOutcome::Skipped })
}

/// Moves the cursor to the next hour if all shards of this one are empty.
async fn advance_cursor(
    platform: &impl Table,
    hour: Hour,
    version: u64,
) -> Result<SweepOutcome, ClientError> {
    for shard in 0..SHARDS {
        if read::<ShardRecord>(platform, &shard_key(hour, shard)).await?.0.is_some() {
            return Ok(SweepOutcome::Skipped);
        }
    }
    let next = vec![write(CURSOR_KEY.into(), &CursorRecord { hour: hour.next().0 })];
    let reply = platform.commit(&conditional_transaction(CURSOR_KEY, version, next)).await?;
    Ok(if reply.committed { SweepOutcome::Advanced } else { SweepOutcome::Skipped })
}

async fn read<T: DeserializeOwned>(
    table: &impl Table,
    key: &str,
) -> Result<(Option<T>, u64), ClientError> {
    let Some(row) = table.read(key).await? else {
        return Ok((None, 0));
    };
    let value = serde_json::from_str(&row.value).map_err(|_| ClientError::Malformed)?;
    Ok((Some(value), row.version))
}

fn conditional_transaction(key: &str, version: u64, writes: Vec<Write>) -> Transaction {
    Transaction { conditions: vec![Condition { key: key.to_owned(), version }], writes }
}

fn write(key: String, value: &impl Serialize) -> Write {
    Write { key, value: Some(encode(value)) }
}

fn encode(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
