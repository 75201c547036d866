//! Shrinks the records of expired idempotency keys; docs/DESIGN.md, "Retention".
//!
//! Any daemon does, by conditional writes and a bounded portion at a time. A row is never removed,
//! so that an old key is never taken for a new one.

use std::time::Duration;

use cumintrail_control::once::{Hour, SHARDS, UnixMillis, sweep_range};
use cumintrail_wire::platform::{Condition, Transaction, Write};
use cumintrail_wire::record::{answer_name, expired_row};
use cumintrail_wire::retention::{
    AnsweredKey, CURSOR_KEY, CursorRecord, ShardRecord, segment_key, shard_key,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{ClientError, Objects, Table};

const FLUSH_TRIES: u32 = 3;

/// Tells what a sweep has done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Swept {
    /// No hour has expired.
    Nothing,
    /// It has shrunk the records of so many keys.
    Shrunk(usize),
    /// The shard is empty, or another sweep was first.
    Skipped,
    /// All of the hour is swept.
    Advanced,
}

/// Notes answered keys in the index, under the current hour or the first that is not swept.
///
/// The cursor is a condition, so that nothing is noted under an hour that a sweep has left behind.
/// A segment that is written twice after a lost answer is swept twice, which is harmless.
pub async fn note_answered(
    table: &impl Table,
    now: UnixMillis,
    shard: u64,
    keys: &[AnsweredKey],
) -> Result<(), ClientError> {
    let mut last = ClientError::Silent;
    for _ in 0..FLUSH_TRIES {
        let (cursor, cursor_version) = read::<CursorRecord>(table, CURSOR_KEY).await?;
        let unswept = cursor.map(|c| Hour(c.hour).next());
        let hour = unswept.unwrap_or(Hour::of(now)).max(Hour::of(now));
        let head_key = shard_key(hour, shard);
        let (head, version) = read::<ShardRecord>(table, &head_key).await?;
        let segments = head.map_or(0, |h| h.segments) + 1;
        let mut writes = vec![
            write(head_key.clone(), &ShardRecord { segments }),
            write(segment_key(hour, shard, segments), &keys),
        ];
        if cursor.is_none() {
            let first = CursorRecord { hour: hour.previous().0 };
            writes.push(write(CURSOR_KEY.into(), &first));
        }
        let mut transaction = on(&head_key, version, writes);
        transaction.conditions.push(Condition { key: CURSOR_KEY.into(), version: cursor_version });
        match table.commit(&transaction).await {
            Ok(answer) if answer.committed => return Ok(()),
            Ok(_) => {}
            Err(e) => last = e,
        }
    }
    Err(last)
}

/// Shrinks a portion of the oldest expired hour's records in one shard.
pub async fn sweep<P: Table + Objects>(
    platform: &P,
    now: UnixMillis,
    life: Duration,
    shard: u64,
) -> Result<Swept, ClientError> {
    let (cursor, cursor_version) = read::<CursorRecord>(platform, CURSOR_KEY).await?;
    let Some(hour) = cursor.map(|c| Hour(c.hour)) else {
        return Ok(Swept::Nothing);
    };
    if !hour.has_expired(now, life) {
        return Ok(Swept::Nothing);
    }
    let head_key = shard_key(hour, shard);
    let (head, version) = read::<ShardRecord>(platform, &head_key).await?;
    match head {
        Some(head) => shrink(platform, hour, shard, head.segments, version).await,
        None => advance(platform, hour, cursor_version).await,
    }
}

async fn shrink<P: Table + Objects>(
    platform: &P,
    hour: Hour,
    shard: u64,
    segments: u64,
    version: u64,
) -> Result<Swept, ClientError> {
    let numbers = sweep_range(segments);
    let left = numbers.start() - 1;
    let head = (left > 0).then(|| encode(&ShardRecord { segments: left }));
    let head_key = shard_key(hour, shard);
    let mut writes = vec![Write { key: head_key.clone(), value: head }];
    let mut shrunk = 0;
    for number in numbers {
        let key = segment_key(hour, shard, number);
        let keys = read::<Vec<AnsweredKey>>(platform, &key).await?.0.unwrap_or_default();
        for answered in &keys {
            if let Some(object) = answered.object {
                platform.remove(&answer_name(object)).await?;
            }
        }
        shrunk += keys.len();
        // An answered record is never written again, so its row needs no condition.
        let expired = |k: AnsweredKey| Write { key: k.row, value: Some(expired_row()) };
        writes.extend(keys.into_iter().map(expired));
        writes.push(Write { key, value: None });
    }
    let answer = platform.commit(&on(&head_key, version, writes)).await?;
    Ok(if answer.committed { Swept::Shrunk(shrunk) } else { Swept::Skipped })
}

/// Goes on to the next hour once all shards of this one are empty.
async fn advance(platform: &impl Table, hour: Hour, version: u64) -> Result<Swept, ClientError> {
    for shard in 0..SHARDS {
        if read::<ShardRecord>(platform, &shard_key(hour, shard)).await?.0.is_some() {
            return Ok(Swept::Skipped);
        }
    }
    let next = vec![write(CURSOR_KEY.into(), &CursorRecord { hour: hour.next().0 })];
    let answer = platform.commit(&on(CURSOR_KEY, version, next)).await?;
    Ok(if answer.committed { Swept::Advanced } else { Swept::Skipped })
}

async fn read<T: DeserializeOwned>(
    table: &impl Table,
    key: &str,
) -> Result<(Option<T>, u64), ClientError> {
    let Some(row) = table.read(key).await? else {
        return Ok((None, 0));
    };
    let value = serde_json::from_str(&row.value).map_err(|_| ClientError::Unreadable)?;
    Ok((Some(value), row.version))
}

fn on(key: &str, version: u64, writes: Vec<Write>) -> Transaction {
    Transaction { conditions: vec![Condition { key: key.to_owned(), version }], writes }
}

fn write(key: String, value: &impl Serialize) -> Write {
    Write { key, value: Some(encode(value)) }
}

fn encode(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
