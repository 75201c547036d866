//! The accepted configurations in the platform: a head, a change log and sparse snapshots.
//!
//! Operators append to the log and daemons follow it through the same code; docs/DESIGN.md,
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
/// The usual time between two tries to settle a lost answer.
pub const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Tells why the log could not be read.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// The platform cannot be reached.
    #[snafu(transparent)]
    Client {
        /// The client's error.
        source: ClientError,
    },
    /// A record is missing or cannot be read.
    #[snafu(display("the record `{key}` is missing or unreadable"))]
    Record {
        /// Its key.
        key: String,
    },
}

/// Holds the head as it was read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Head {
    /// The head; nothing before the first change.
    pub record: Option<HeadRecord>,
    /// The row's version, which the next change is conditional on.
    pub version: u64,
}

impl Head {
    /// Returns the accepted generation; zero before the first.
    pub fn generation(&self) -> Generation {
        self.record.as_ref().map_or(Generation(0), |r| r.generation)
    }
}

/// Proposes one change on top of the configuration that it was made for.
#[derive(Debug, Clone)]
pub struct Proposal {
    /// The head that the change was made for.
    pub head: Head,
    /// The random id of the change.
    pub id: String,
    /// What changes.
    pub delta: Delta,
    /// The preset in force afterwards.
    pub preset: std::sync::Arc<str>,
    /// The time between two tries to settle a lost answer.
    pub retry_delay: Duration,
}

/// Tells what became of a proposal.
#[derive(Debug)]
pub enum Outcome {
    /// It is accepted as this generation, whatever has followed since.
    Committed(Generation),
    /// Another change took the generation first.
    Conflict,
    /// Nothing was accepted.
    Failed(ClientError),
    /// The change may be accepted or not.
    Unknown(ClientError),
}

/// Reads the head.
pub async fn read_head(platform: &impl Table) -> Result<Head, LogError> {
    let Some(row) = platform.read(HEAD_KEY).await? else {
        return Ok(Head::default());
    };
    let record = decode(HEAD_KEY, row.value.as_bytes())?;
    Ok(Head { record: Some(record), version: row.version })
}

/// Returns the configuration that `head` names, starting from `current` where that is shorter.
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

/// Appends a change by one conditional write, and settles it when the answer is lost.
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
            // Nobody will read it, as the generation is another's.
            Outcome::Conflict => {
                let _ = platform.remove(&snapshot_name(generation, &proposal.id)).await;
            }
            Outcome::Failed(_) | Outcome::Unknown(_) => {}
        }
    }
    outcome
}

/// Removes the snapshots before the last two, also those that an earlier removal missed.
///
/// The last but one stays for a daemon that has just read the head before this one.
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
            // An earlier try may be the one that took the generation.
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
        // A write that is still on its way cannot do harm: both tries need the same head.
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

/// Writes a snapshot before the head names it; an orphan of a lost race is never read.
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

/// Writes an object, and reads it back when the answer is lost.
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
    assert!(CHANGES_PER_SNAPSHOT < RETAINED_CHANGES, "the snapshot's change must be kept");
