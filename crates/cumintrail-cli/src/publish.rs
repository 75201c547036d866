//! Accepting a new configuration by one conditional write; docs/DESIGN.md, "Configuration".

use std::path::Path;
use std::sync::Arc;

use cumintrail_client::{ClientError, Objects, Table};
use cumintrail_config::{Delta, Sections, Snapshot};
use cumintrail_types::{Generation, WriteId};
use cumintrail_wire::peer::{
    ChangeRecord, HEAD_KEY, HeadRecord, SnapshotRecord, change_key, snapshot_name,
};
use cumintrail_wire::platform::{Condition, Transaction, Write};
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::errors::{ConflictSnafu, RecordSnafu, UnreachableSnafu};
use crate::{Access, CliError};

const PLATFORM: &str = "the platform";
const TRY_AGAIN: &str = "the platform may be down; nothing is lost, try again";
const SETTLE_TRIES: u32 = 5;

/// Holds the accepted configuration as the platform has it.
#[derive(Debug, Clone)]
pub struct Accepted {
    /// The generation; zero before the first.
    pub generation: Generation,
    /// The preset in force.
    pub preset: Option<Arc<str>>,
    /// The declarations.
    pub sections: Sections,
    head_version: u64,
}

/// Describes a change that is to be accepted.
#[derive(Debug, Clone, Serialize)]
pub struct Change {
    /// The generation that it changes.
    pub from: Generation,
    /// What changes.
    pub delta: Delta,
    /// The preset in force afterwards.
    pub preset: Arc<str>,
}

impl Accepted {
    /// Reads the accepted configuration.
    pub async fn read(access: &Access) -> Result<Self, CliError> {
        let hint = TRY_AGAIN;
        let row = access
            .platform
            .read(HEAD_KEY)
            .await
            .context(UnreachableSnafu { what: PLATFORM, hint })?;
        let Some(row) = row else {
            let sections = Sections::default();
            return Ok(Self { generation: Generation(0), preset: None, sections, head_version: 0 });
        };
        let head: HeadRecord = decode(HEAD_KEY, row.value.as_bytes())?;
        let first = read_change(access, head.snapshot).await?;
        let name = snapshot_name(head.snapshot, &first.change);
        let body =
            access.platform.get(&name).await.context(UnreachableSnafu { what: PLATFORM, hint })?;
        let record: SnapshotRecord = decode(&name, &body.unwrap_or_default())?;
        let mut sections = record.to_sections();
        let mut preset = record.preset;
        for generation in head.snapshot.0 + 1..=head.generation.0 {
            let change = read_change(access, Generation(generation)).await?;
            sections.apply(&change.delta);
            preset = change.preset;
        }
        let head_version = row.version;
        Ok(Self { generation: head.generation, preset: Some(preset), sections, head_version })
    }
}

/// Computes what applying a directory of declarations would change.
pub async fn plan(access: &Access, directory: &Path) -> Result<(Accepted, Change), CliError> {
    let (sections, parsed) = Sections::open(directory)?;
    let accepted = Accepted::read(access).await?;
    let preset = accepted.preset.clone();
    let next = Generation(accepted.generation.0 + 1);
    let checked = Snapshot::build(next, &parsed, preset.as_deref(), None)?;
    let delta = accepted.sections.delta_to(&sections);
    let change = Change { from: accepted.generation, delta, preset: checked.preset.name.clone() };
    Ok((accepted, change))
}

/// Applies a directory of declarations; returns the accepted generation.
pub async fn apply(access: &Access, directory: &Path) -> Result<Generation, CliError> {
    let (accepted, change) = plan(access, directory).await?;
    if change.delta.is_empty() && accepted.generation.0 > 0 {
        return Ok(accepted.generation);
    }
    publish(access, &accepted, change).await
}

/// Puts another preset in force; returns the accepted generation.
pub async fn switch_preset(access: &Access, name: &str) -> Result<Generation, CliError> {
    let accepted = Accepted::read(access).await?;
    if accepted.preset.as_deref() == Some(name) {
        return Ok(accepted.generation);
    }
    let parsed = accepted.sections.to_parsed()?;
    let next = Generation(accepted.generation.0 + 1);
    Snapshot::build(next, &parsed, Some(name), None)?;
    let change = Change { from: accepted.generation, delta: Delta::default(), preset: name.into() };
    publish(access, &accepted, change).await
}

/// Advances the head by one generation, or reports who did it first.
async fn publish(
    access: &Access,
    accepted: &Accepted,
    change: Change,
) -> Result<Generation, CliError> {
    let generation = Generation(accepted.generation.0 + 1);
    let id = WriteId(rand::rng().random()).to_string();
    let mut sections = accepted.sections.clone();
    sections.apply(&change.delta);
    let snapshot = SnapshotRecord {
        generation,
        preset: change.preset.clone(),
        sections: sections.0.into_iter().collect(),
    };
    let name = snapshot_name(generation, &id);
    let hint = TRY_AGAIN;
    let stored = access.platform.put(&name, encode(&snapshot).into()).await;
    stored.context(UnreachableSnafu { what: PLATFORM, hint })?;

    let record =
        ChangeRecord { generation, change: id.clone(), delta: change.delta, preset: change.preset };
    let head = HeadRecord { generation, change: id.clone(), snapshot: generation };
    let transaction = Transaction {
        conditions: vec![Condition { key: HEAD_KEY.into(), version: accepted.head_version }],
        writes: vec![
            Write { key: HEAD_KEY.into(), value: Some(encode(&head)) },
            Write { key: change_key(generation), value: Some(encode(&record)) },
        ],
    };
    match access.platform.commit(&transaction).await {
        Ok(reply) if reply.committed => Ok(generation),
        Ok(_) => settle(access, generation, &id).await,
        Err(e) if e.may_have_arrived() => settle(access, generation, &id).await,
        Err(e) => Err(e).context(UnreachableSnafu { what: PLATFORM, hint }),
    }
}

/// Learns by the change's own id whether a write with a lost answer took effect.
async fn settle(access: &Access, generation: Generation, id: &str) -> Result<Generation, CliError> {
    let key = change_key(generation);
    let mut last = ClientError::Silent;
    for _ in 0..SETTLE_TRIES {
        match access.platform.read(&key).await {
            Ok(Some(row)) => {
                let found: ChangeRecord = decode(&key, row.value.as_bytes())?;
                if found.change == id {
                    return Ok(generation);
                }
                let changed =
                    found.delta.set.iter().map(|(name, _)| name).chain(&found.delta.removed);
                let names: Vec<String> = changed.map(ToString::to_string).collect();
                let sections = names.join(", ");
                return ConflictSnafu { accepted: found.generation, sections }.fail();
            }
            Ok(None) => {
                return Err(last).context(UnreachableSnafu { what: PLATFORM, hint: TRY_AGAIN });
            }
            Err(e) => last = e,
        }
    }
    let hint =
        "the change may or may not be accepted; `cumintrail plan` tells once the platform answers";
    Err(last).context(UnreachableSnafu { what: PLATFORM, hint })
}

async fn read_change(access: &Access, generation: Generation) -> Result<ChangeRecord, CliError> {
    let key = change_key(generation);
    let row = access.platform.read(&key).await;
    let row = row.context(UnreachableSnafu { what: PLATFORM, hint: TRY_AGAIN })?;
    decode(&key, row.map(|r| r.value).unwrap_or_default().as_bytes())
}

fn decode<T: DeserializeOwned>(key: &str, bytes: &[u8]) -> Result<T, CliError> {
    let hint = "the platform's table or object store has lost or changed it; restore it";
    serde_json::from_slice(bytes).or_else(|_| RecordSnafu { key, hint }.fail())
}

fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
