//! Notes answered keys and shrinks expired records; docs/DESIGN.md, "Retention".

use std::time::Duration;

use actix_rt::time::{Instant, sleep_until};
use cumintrail_client::ClientError;
use cumintrail_client::retention::{Swept, note_answered, sweep};
use cumintrail_control::once::{MAX_SEGMENT_KEYS, SHARDS};
use cumintrail_wire::retention::AnsweredKey;
use rand::Rng;
use tokio::sync::{mpsc, oneshot};

use super::link::TableLink;
use crate::{clock, metric};

/// The usual time between two looks; with jitter, 320 daemons spread over it.
const INTERVAL: Duration = Duration::from_secs(60);
/// Keys that wait for a table that does not answer; the records of more are never shrunk.
const MAX_WAITING: usize = 16 * MAX_SEGMENT_KEYS;

/// Speaks to the index.
#[derive(Debug)]
pub enum Note {
    /// A key was answered.
    Answered(AnsweredKey),
    /// The process is about to end.
    Flush(oneshot::Sender<()>),
}

/// Follows notes until the process ends, and sweeps now and then.
pub async fn follow(link: TableLink, mut notes: mpsc::UnboundedReceiver<Note>) {
    let mut waiting = Vec::new();
    let mut due = next_look();
    loop {
        tokio::select! {
            note = notes.recv() => match note {
                Some(Note::Answered(key)) => waiting.push(key),
                Some(Note::Flush(done)) => {
                    flush(&link, &mut waiting).await;
                    let _ = done.send(());
                }
                None => return,
            },
            () = sleep_until(due) => {
                flush(&link, &mut waiting).await;
                look(&link).await;
                due = next_look();
            }
        }
        if !waiting.is_empty() && waiting.len().is_multiple_of(MAX_SEGMENT_KEYS) {
            flush(&link, &mut waiting).await;
        }
    }
}

fn next_look() -> Instant {
    Instant::now() + INTERVAL.mul_f64(rand::rng().random_range(0.5..1.5))
}

fn any_shard() -> u64 {
    rand::rng().random_range(0..SHARDS)
}

/// Notes the keys that wait; those that cannot be noted wait on.
async fn flush(link: &TableLink, waiting: &mut Vec<AnsweredKey>) {
    while !waiting.is_empty() {
        let keys = &waiting[..waiting.len().min(MAX_SEGMENT_KEYS)];
        let now = clock::wall_millis();
        if let Err(e) = note_answered(&*link.platform, now, any_shard(), keys).await {
            count_error(&e);
            break;
        }
        waiting.drain(..waiting.len().min(MAX_SEGMENT_KEYS));
    }
    let surplus = waiting.len().saturating_sub(MAX_WAITING);
    waiting.drain(..surplus);
}

async fn look(link: &TableLink) {
    let Some(snapshot) = link.shared.snapshot() else {
        return;
    };
    let life = snapshot.deployment.record_life;
    match sweep(&*link.platform, clock::wall_millis(), life, any_shard()).await {
        Ok(Swept::Shrunk(keys)) => {
            metrics::counter!(metric::EXPIRED_RECORDS).increment(keys as u64);
        }
        Ok(Swept::Nothing | Swept::Skipped | Swept::Advanced) => {}
        Err(e) => count_error(&e),
    }
}

fn count_error(e: &ClientError) {
    metrics::counter!(metric::PLATFORM_ERRORS, "part" => "index").increment(1);
    log::debug!("the index of answered keys cannot be reached: {e}");
}
