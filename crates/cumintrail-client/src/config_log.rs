//! The log of committed configurations: a head row, change rows and periodic snapshot objects.
//!
//! Head and changes are rows of the platform's table, snapshots are objects of its object store.
//! Operators append to the log and daemons read it, both with this code; docs/DESIGN.md,
//! "Configuration".

use std::time::Duration;

use cumintrail_config::{Delta, Sections};
use cumintrail_control::adoption::{
    CHANGES_PER_SNAPSHOT, CatchUpStep, RETAINED_CHANGES, catch_up_step, snapshot_is_due,
};
use cumintrail_types::Generation;
use cumintrail_wire::configuration::Configuration;
use cumintrail_wire::peer::{
    ChangeRecord, HEAD_KEY, HeadRecord, SnapshotRecord, change_key, snapshot_name,
};
use cumintrail_wire::platform::{Condition, Transaction, Write};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::{ClientError, ObjectStore, Table};

const MAX_COMMIT_ATTEMPTS: u32 = 4;
/// The default delay before a commit with an unknown result is retried.
pub const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Describes why the log could not be read.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The exchange with the platform failed.
    #[snafu(transparent)]
    Client {
        /// The client's error.
        source: ClientError,
    },
    /// A record is missing or cannot be decoded.
    #[snafu(display("the record `{key}` is missing or unreadable"))]
    Record {
        /// The row key or object name of the record.
        key: String,
    },
}

/// The head of the log, as read from the table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Head {
    /// The head record; `None` before the first change.
    pub record: Option<HeadRecord>,
    /// The version of the row, which the commit of the next change requires to be unchanged.
    pub version: u64,
}

impl Head {
    /// Returns the committed generation; zero before the first change.
    pub fn generation(&self) -> Generation {
        self.record.as_ref().map_or(Generation(0), |r| r.generation)
    }
}

/// A change to the configuration, proposed on top of a certain head.
#[derive(Debug, Clone)]
pub struct Proposal {
    /// The head on which the change is based.
    pub head: Head,
    /// The random id of the change, which identifies it when a commit's response is lost.
    pub id: String,
    /// The change to the sections.
    pub delta: Delta,
    /// The preset in force after the change.
    pub preset: std::sync::Arc<str>,
    /// The delay before a commit with an unknown result is retried.
    pub retry_delay: Duration,
}

/// The result of a proposal.
#[derive(Debug)]
pub enum Outcome {
    /// The change was committed as this generation; later generations may follow it already.
    Committed(Generation),
    /// Another change was committed as the same generation.
    Conflict,
    /// The change was not committed.
    Failed(ClientError),
    /// The change may have been committed or not.
    Unknown(ClientError),
}

/// Reads the head of the log.
pub async fn read_head(platform: &impl Table) -> Result<Head, LogError> {
    let Some(row) = platform.read(HEAD_KEY).await? else {
        return Ok(Head::default());
    };
    let record = decode(HEAD_KEY, row.value.as_bytes())?;
    Ok(Head { record: Some(record), version: row.version })
}

/// Returns the configuration at `head`, from `current` or a snapshot plus the changes after it.
pub async fn read_configuration<P: Table + ObjectStore>(
    platform: &P,
    head: &Head,
    current: &Configuration,
) -> Result<Configuration, LogError> {
    let Some(record) = &head.record else {
        return Ok(current.clone());
    };
    let mut next = match catch_up_step(current.generation, record.generation) {
        CatchUpStep::UpToDate => return Ok(current.clone()),
        CatchUpStep::ReadChanges => current.clone(),
        CatchUpStep::ReadSnapshot => read_snapshot(platform, record).await?.into(),
    };
    for generation in next.generation.0 + 1..=record.generation.0 {
        next.apply([read_change(platform, Generation(generation)).await?]);
    }
    Ok(next)
}

/// Appends a change by a conditional commit, and determines its result if a response is lost.
pub async fn propose<P: Table + ObjectStore>(
    platform: &P,
    proposal: &Proposal,
    sections: &Sections,
) -> Outcome {
    let generation = Generation(proposal.head.generation().0 + 1);
    let last_snapshot = proposal.head.record.as_ref().map_or(Generation(0), |r| r.snapshot);
    let snapshot = if snapshot_is_due(generation, last_snapshot) {
        if let Err(e) = write_snapshot(platform, generation, proposal, sections).await {
            return Outcome::Failed(e);
        }
        generation
    } else {
        last_snapshot
    };
    let outcome = append(platform, proposal, generation, snapshot).await;
    if snapshot == generation {
        match outcome {
            Outcome::Committed(_) => remove_unused_snapshots(platform, generation).await,
            // The committed change has another id, so no daemon reads this proposal's snapshot.
            Outcome::Conflict => {
                let _ = platform.remove(&snapshot_name(generation, &proposal.id)).await;
            }
            Outcome::Failed(_) | Outcome::Unknown(_) => {}
        }
    }
    outcome
}

/// Removes the snapshots before the last two, including those that an earlier removal missed.
///
/// The second-last snapshot stays for a daemon that has just read the previous head.
async fn remove_unused_snapshots<P: Table + ObjectStore>(platform: &P, newest: Generation) {
    let last_unused = newest.0.saturating_sub(2 * CHANGES_PER_SNAPSHOT);
    let mut unused = newest.0.saturating_sub(RETAINED_CHANGES - CHANGES_PER_SNAPSHOT).max(1);
    unused += (newest.0 - unused) % CHANGES_PER_SNAPSHOT;
    while unused <= last_unused {
        if let Ok(change) = read_change(platform, Generation(unused)).await {
            let _ = platform.remove(&snapshot_name(Generation(unused), &change.change)).await;
        }
        unused += CHANGES_PER_SNAPSHOT;
    }
}

async fn append<P: Table>(
    platform: &P,
    proposal: &Proposal,
    generation: Generation,
    snapshot: Generation,
) -> Outcome {
    let transaction = transaction(proposal, generation, snapshot);
    let key = change_key(generation);
    let mut sent = false;
    let mut last = ClientError::Timeout;
    for _ in 0..MAX_COMMIT_ATTEMPTS {
        match platform.commit(&transaction).await {
            Ok(reply) if reply.committed => return Outcome::Committed(generation),
            // The generation may have been committed by an earlier attempt of this proposal.
            Ok(_) => sent = true,
            Err(e) => {
                sent |= e.may_have_arrived();
                last = e;
            }
        }
        match platform.read(&key).await {
            Ok(Some(row)) => {
                let found = serde_json::from_str::<ChangeRecord>(&row.value);
                let own = found.is_ok_and(|change| change.change == proposal.id);
                return if own { Outcome::Committed(generation) } else { Outcome::Conflict };
            }
            Ok(None) => {}
            Err(e) => last = e,
        }
        // An earlier attempt that is still in transit is harmless: at most one can succeed, since
        // all are conditional on the same head.
        if !proposal.retry_delay.is_zero() {
            actix_rt::time::sleep(proposal.retry_delay).await;
        }
    }
    if sent { Outcome::Unknown(last) } else { Outcome::Failed(last) }
}

fn transaction(proposal: &Proposal, generation: Generation, snapshot: Generation) -> Transaction {
    let head = HeadRecord { generation, change: proposal.id.clone(), snapshot };
    let change = ChangeRecord {
        generation,
        change: proposal.id.clone(),
        delta: proposal.delta.clone(),
        preset: proposal.preset.clone(),
    };
    let mut writes = vec![
        Write { key: HEAD_KEY.into(), value: Some(encode(&head)) },
        Write { key: change_key(generation), value: Some(encode(&change)) },
    ];
    let oldest = generation.0.checked_sub(RETAINED_CHANGES).filter(|g| *g > 0);
    writes.extend(oldest.map(|g| Write { key: change_key(Generation(g)), value: None }));
    let conditions = vec![Condition { key: HEAD_KEY.into(), version: proposal.head.version }];
    Transaction { conditions, writes }
}

/// Writes the snapshot before the head refers to it.
///
/// The snapshot is never read if the commit of that head fails.
async fn write_snapshot(
    platform: &impl ObjectStore,
    generation: Generation,
    proposal: &Proposal,
    sections: &Sections,
) -> Result<(), ClientError> {
    let record = SnapshotRecord {
        generation,
        preset: proposal.preset.clone(),
        sections: sections.0.iter().map(|(n, b)| (n.clone(), b.clone())).collect(),
    };
    put_verified(platform, &snapshot_name(generation, &proposal.id), encode(&record).into()).await
}

/// Writes an object; if the write fails, reads the object back to see whether it took effect.
pub async fn put_verified(
    platform: &impl ObjectStore,
    name: &str,
    body: bytes::Bytes,
) -> Result<(), ClientError> {
    let Err(e) = platform.put(name, body.clone()).await else {
        return Ok(());
    };
    match platform.get(name).await {
        Ok(Some(found)) if found == body => Ok(()),
        _ => Err(e),
    }
}

async fn read_snapshot<P: Table + ObjectStore>(
    platform: &P,
    head: &HeadRecord,
) -> Result<SnapshotRecord, LogError> {
    let change = read_change(platform, head.snapshot).await?;
    let name = snapshot_name(head.snapshot, &change.change);
    let body = platform.get(&name).await?.unwrap_or_default();
    decode(&name, &body)
}

async fn read_change(
    platform: &impl Table,
    generation: Generation,
) -> Result<ChangeRecord, LogError> {
    let key = change_key(generation);
    let row = platform.read(&key).await?;
    decode(&key, row.map(|r| r.value).unwrap_or_default().as_bytes())
}

fn decode<T: DeserializeOwned>(key: &str, bytes: &[u8]) -> Result<T, LogError> {
    serde_json::from_slice(bytes).or_else(|_| RecordSnafu { key }.fail())
}

fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

const _: () =
    assert!(CHANGES_PER_SNAPSHOT < RETAINED_CHANGES, "the last snapshot's change must be retained");
