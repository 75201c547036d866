//! Adopts configurations from the platform and from peers; docs/DESIGN.md, "Configuration".

use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;

use cumintrail_client::{ClientError, Objects, Peer, Table};
use cumintrail_config::{Problems, Sections, Snapshot};
use cumintrail_control::Event;
use cumintrail_control::adoption::{MAX_CHANGES, Step, next_step};
use cumintrail_types::Generation;
use cumintrail_wire::peer::{
    ChangeRecord, ConfigReply, ConfigRequest, HEAD_KEY, HeadRecord, SnapshotRecord, change_key,
    snapshot_name,
};
use rand::Rng;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use super::Background;
use crate::metric;
use crate::shared::Adopted;

/// Reports why a newer configuration was not adopted.
#[derive(Debug, Snafu)]
enum SyncError {
    #[snafu(transparent)]
    Client { source: ClientError },
    #[snafu(transparent)]
    Invalid { source: Problems },
    #[snafu(display("the record `{key}` is missing or unreadable"))]
    Record { key: String },
}

/// Looks for newer configurations until the process ends.
pub async fn run(background: Rc<Background>) {
    loop {
        let synced = sync_platform(&background).await;
        note_contact(&background, &synced);
        if let Err(e) = synced {
            metrics::counter!(metric::PLATFORM_ERRORS, "part" => "config").increment(1);
            log::debug!("no configuration from the platform: {e}");
            sync_peers(&background).await;
        }
        let jitter = rand::rng().random_range(0.8..1.2);
        let pause = background.shared.settings.config_poll.mul_f64(jitter);
        let woken = background.shared.newer_generation.notified();
        if actix_rt::time::timeout(pause, woken).await.is_ok() {
            sync_peers(&background).await;
        }
    }
}

/// Remembers whether the platform answers and logs when that changes.
fn note_contact(background: &Background, synced: &Result<(), SyncError>) {
    let answered = !matches!(synced, Err(SyncError::Client { .. }));
    let shared = &background.shared;
    metrics::gauge!(metric::PLATFORM_REACHABLE).set(if answered { 1.0 } else { 0.0 });
    match shared.platform_contact.note(shared.now(), answered) {
        true if answered => log::info!("the platform answers again"),
        true => log::warn!("the platform does not answer; the last configuration stays in force"),
        false => {}
    }
}

async fn sync_platform(background: &Background) -> Result<(), SyncError> {
    let Some(row) = background.platform.read(HEAD_KEY).await? else {
        return Ok(());
    };
    let head: HeadRecord = decode(HEAD_KEY, row.value.as_bytes())?;
    match next_step(background.shared.generation(), head.generation) {
        Step::Keep => Ok(()),
        Step::ReadChanges { from, to } => read_changes(background, from, to).await,
        Step::ReadSnapshot => read_snapshot(background, &head).await,
    }
}

async fn read_changes(
    background: &Background,
    from: Generation,
    to: Generation,
) -> Result<(), SyncError> {
    let mut changes = Vec::new();
    for generation in from.0..=to.0 {
        let key = change_key(Generation(generation));
        let row = background.platform.read(&key).await?;
        let row = row.ok_or_else(|| SyncError::Record { key: key.clone() })?;
        changes.push(decode(&key, row.value.as_bytes())?);
    }
    apply_changes(background, changes).await
}

async fn read_snapshot(background: &Background, head: &HeadRecord) -> Result<(), SyncError> {
    let key = change_key(head.snapshot);
    let row = background.platform.read(&key).await?;
    let row = row.ok_or_else(|| SyncError::Record { key: key.clone() })?;
    let change: ChangeRecord = decode(&key, row.value.as_bytes())?;
    let name = snapshot_name(head.snapshot, &change.change);
    let body = background.platform.get(&name).await?;
    let body = body.ok_or_else(|| SyncError::Record { key: name.clone() })?;
    adopt_record(background, decode(&name, &body)?).await?;
    if head.generation > head.snapshot {
        read_changes(background, Generation(head.snapshot.0 + 1), head.generation).await?;
    }
    Ok(())
}

/// Asks the known peers, those of the settings first, until one has something newer.
async fn sync_peers(background: &Background) {
    let mut addresses = background.shared.settings.peers.clone();
    let dump = background.shared.control.dump().await;
    addresses.extend(dump.into_iter().flat_map(|d| d.peers).map(|(address, _)| address));
    for address in addresses {
        let request = ConfigRequest { after: background.shared.generation() };
        let Ok(reply) = background.peers.config(address, &request).await else {
            continue;
        };
        let adopted = match reply {
            ConfigReply::Nothing => continue,
            ConfigReply::Changes(changes) => apply_changes(background, changes).await,
            ConfigReply::Snapshot(record) => adopt_record(background, record).await,
        };
        match adopted {
            Ok(()) => return,
            Err(e) => log::warn!("cannot adopt the configuration of peer {address}: {e}"),
        }
    }
}

async fn apply_changes(
    background: &Background,
    changes: Vec<ChangeRecord>,
) -> Result<(), SyncError> {
    let Some(current) = background.shared.adopted() else {
        return Ok(());
    };
    let mut sections = current.sections.clone();
    let mut recent = current.recent.clone();
    let mut generation = current.snapshot.generation;
    let mut preset = current.snapshot.preset.name.clone();
    for change in changes {
        if change.generation.0 != generation.0 + 1 {
            continue;
        }
        sections.apply(&change.delta);
        generation = change.generation;
        preset = change.preset.clone();
        recent.push_back(change);
    }
    while recent.len() > MAX_CHANGES as usize {
        recent.pop_front();
    }
    adopt(background, generation, &preset, sections, recent).await
}

async fn adopt_record(background: &Background, record: SnapshotRecord) -> Result<(), SyncError> {
    let sections = record.to_sections();
    adopt(background, record.generation, &record.preset, sections, VecDeque::new()).await
}

async fn adopt(
    background: &Background,
    generation: Generation,
    preset: &str,
    sections: Sections,
    recent: VecDeque<ChangeRecord>,
) -> Result<(), SyncError> {
    if generation <= background.shared.generation() {
        return Ok(());
    }
    let parsed = sections.to_parsed()?;
    let previous = background.shared.snapshot();
    let snapshot = Snapshot::build(generation, &parsed, Some(preset), previous.as_deref())?;
    let snapshot = Arc::new(snapshot);
    background.shared.control.tell(Event::Configured(snapshot.clone())).await;
    background.shared.adopt(Arc::new(Adopted { snapshot, sections, recent }));
    metrics::gauge!(metric::GENERATION).set(generation.0 as f64);
    log::info!("generation {generation} is in force, preset {preset}");
    Ok(())
}

fn decode<T: DeserializeOwned>(key: &str, bytes: &[u8]) -> Result<T, SyncError> {
    serde_json::from_slice(bytes).map_err(|_| SyncError::Record { key: key.to_owned() })
}
