//! Groups writes of records into transactions; docs/DESIGN.md, "At most once".

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::time::{Instant, sleep, sleep_until};
use cumintrail_client::Table;
use cumintrail_wire::platform::{Condition, Transaction, Write};
use rand::Rng;
use tokio::sync::{Semaphore, mpsc, oneshot};

use super::link::{Lost, NoAnswer, TABLE_TIMEOUT, TableLink, Written, parse};
use crate::shared::Shared;

/// Claims that arrive within this time share a transaction.
const GATHER: Duration = Duration::from_millis(2);
/// How long an outcome waits for a claim whose transaction it can share.
const OUTCOME_DELAY: Duration = Duration::from_secs(1);
const MAX_BATCH: usize = 64;
/// Transactions on their way; a slow table gets larger ones instead of more.
const MAX_IN_FLIGHT: usize = 4;
/// The pause between two transactions of writes that were lost before; with jitter, it keeps
/// 320 daemons at about 80 transactions a second when the table is back.
const AGAIN_PAUSE: Duration = Duration::from_secs(4);
const AGAIN_PAUSE_MAX: Duration = Duration::from_secs(8);
/// The pause of a daemon that is stopped, which waits for its outcomes.
const AGAIN_PAUSE_STOPPING: Duration = Duration::from_millis(500);
const STOP_POLL: Duration = Duration::from_millis(250);

/// Tells how soon a write is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// A call waits for it.
    Claim,
    /// Nobody waits for it, so it may share the transaction of a later claim.
    Outcome,
    /// It was lost before; such writes are paced, since all daemons have them after an outage.
    Again,
}

/// Holds one write until its transaction is answered.
struct Item {
    key: String,
    version: u64,
    value: String,
    asked: Instant,
    reply: oneshot::Sender<Result<Written, Lost>>,
}

/// Reaches the process's writer from any thread.
#[derive(Debug)]
pub struct WriterLink {
    claims: mpsc::UnboundedSender<Item>,
    outcomes: mpsc::UnboundedSender<Item>,
    again: mpsc::UnboundedSender<Item>,
}

impl std::fmt::Debug for Item {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.key)
    }
}

impl WriterLink {
    /// Writes a row if it has `version`; zero demands that it is absent.
    pub async fn write(
        &self,
        key: &str,
        version: u64,
        value: String,
        urgency: Urgency,
    ) -> Result<Written, Lost> {
        let (reply, written) = oneshot::channel();
        let item = Item { key: key.to_owned(), version, value, asked: Instant::now(), reply };
        let lane = match urgency {
            Urgency::Claim => &self.claims,
            Urgency::Outcome => &self.outcomes,
            Urgency::Again => &self.again,
        };
        lane.send(item).map_err(|_| Lost)?;
        written.await.unwrap_or(Err(Lost))
    }
}

/// Receives the writes of all threads.
pub struct Inbox {
    lanes: Lanes,
    again: mpsc::UnboundedReceiver<Item>,
}

/// Holds the writes that wait for a transaction.
struct Lanes {
    claims: mpsc::UnboundedReceiver<Item>,
    outcomes: mpsc::UnboundedReceiver<Item>,
}

/// Connects the traffic threads with the writer.
pub fn channel() -> (WriterLink, Inbox) {
    let (claims, for_claims) = mpsc::unbounded_channel();
    let (outcomes, for_outcomes) = mpsc::unbounded_channel();
    let (again, for_again) = mpsc::unbounded_channel();
    let lanes = Lanes { claims: for_claims, outcomes: for_outcomes };
    (WriterLink { claims, outcomes, again }, Inbox { lanes, again: for_again })
}

/// Writes until the process ends; one writer groups the claims of all threads.
pub async fn run(shared: Arc<Shared>, inbox: Inbox) {
    let link = TableLink::open(shared);
    futures_util::future::join(gather(link.clone(), inbox.lanes), write_again(link, inbox.again))
        .await;
}

/// Sends claims at once, and outcomes with them or a little later.
async fn gather(link: TableLink, mut lanes: Lanes) {
    let in_flight = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    let mut outcomes = Vec::new();
    while let Ok(permit) = in_flight.clone().acquire_owned().await {
        let Some(mut batch) = next_claims(&mut lanes, &mut outcomes).await else {
            return;
        };
        let room = MAX_BATCH.saturating_sub(batch.len()).min(outcomes.len());
        batch.extend(outcomes.drain(..room));
        let link = link.clone();
        actix_rt::spawn(async move {
            commit_all(&link, batch).await;
            drop(permit);
        });
    }
}

/// Waits until something is to be sent and returns the claims of it; nothing at the very end.
async fn next_claims(lanes: &mut Lanes, outcomes: &mut Vec<Item>) -> Option<Vec<Item>> {
    loop {
        let due = outcomes.first().map(|oldest: &Item| oldest.asked + OUTCOME_DELAY);
        let wait = sleep_until(due.unwrap_or_else(Instant::now));
        tokio::select! {
            claim = lanes.claims.recv() => {
                sleep(GATHER).await;
                let mut claims = vec![claim?];
                fill(&mut claims, &mut lanes.claims);
                fill(outcomes, &mut lanes.outcomes);
                return Some(refuse_late(claims));
            }
            outcome = lanes.outcomes.recv() => outcomes.push(outcome?),
            () = wait, if due.is_some() => return Some(Vec::new()),
        }
        if outcomes.len() >= MAX_BATCH {
            return Some(Vec::new());
        }
    }
}

/// Answers claims that waited too long for their transaction, so that calls are refused in time.
fn refuse_late(claims: Vec<Item>) -> Vec<Item> {
    let (late, claims) = claims.into_iter().partition(|c| c.asked.elapsed() >= TABLE_TIMEOUT);
    answer_all(late, &Ok(Written::NotSent));
    claims
}

fn fill(batch: &mut Vec<Item>, lane: &mut mpsc::UnboundedReceiver<Item>) {
    while let Some(item) = (batch.len() < MAX_BATCH).then(|| lane.try_recv().ok()).flatten() {
        batch.push(item);
    }
}

/// Sends writes that were lost before, one transaction after the other and with pauses.
async fn write_again(link: TableLink, mut lane: mpsc::UnboundedReceiver<Item>) {
    let mut pause = AGAIN_PAUSE;
    while let Some(first) = lane.recv().await {
        wait(&link, pause.mul_f64(rand::rng().random_range(0.5..1.5))).await;
        let mut batch = vec![first];
        fill(&mut batch, &mut lane);
        let answered = commit_all(&link, batch).await;
        pause = if answered { AGAIN_PAUSE } else { (pause * 2).min(AGAIN_PAUSE_MAX) };
    }
}

/// Waits, but not for long once the daemon is to stop.
async fn wait(link: &TableLink, pause: Duration) {
    let began = Instant::now();
    loop {
        let stopping = link.shared.is_stopping();
        let pause = if stopping { pause.min(AGAIN_PAUSE_STOPPING) } else { pause };
        let left = pause.saturating_sub(began.elapsed());
        if left.is_zero() {
            return;
        }
        sleep(left.min(STOP_POLL)).await;
    }
}

/// Commits until each write took effect or met a conflict; tells whether the table answered.
async fn commit_all(link: &TableLink, mut batch: Vec<Item>) -> bool {
    let mut answered = true;
    while !batch.is_empty() {
        let (together, later) = split_repeated(batch);
        let (rest, answer) = commit(link, together).await;
        answered &= answer;
        batch = rest;
        batch.extend(later);
    }
    answered
}

/// Sets aside writes of a row that the batch already writes: within one transaction both would
/// see the row free and take effect.
fn split_repeated(batch: Vec<Item>) -> (Vec<Item>, Vec<Item>) {
    let mut seen = HashSet::new();
    batch.into_iter().partition(|item| seen.insert(item.key.clone()))
}

/// Commits one transaction; returns the writes that only failed with others' conflicts, and
/// whether the table answered.
async fn commit(link: &TableLink, batch: Vec<Item>) -> (Vec<Item>, bool) {
    let conditions = batch.iter().map(|i| Condition { key: i.key.clone(), version: i.version });
    let writes = batch.iter().map(|i| Write { key: i.key.clone(), value: Some(i.value.clone()) });
    let transaction = Transaction { conditions: conditions.collect(), writes: writes.collect() };
    let committed = match link.exchange(link.platform.commit(&transaction)).await {
        Ok(committed) if committed.committed => {
            return (answer_all(batch, &Ok(Written::Done)), true);
        }
        Ok(refused) if refused.found.len() == batch.len() => refused,
        Err(NoAnswer::NotSent) => return (answer_all(batch, &Ok(Written::NotSent)), false),
        Ok(_) | Err(NoAnswer::Lost) => return (answer_all(batch, &Err(Lost)), false),
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
    if rest.len() == tried { (answer_all(rest, &Err(Lost)), false) } else { (rest, true) }
}

fn answer_all(batch: Vec<Item>, result: &Result<Written, Lost>) -> Vec<Item> {
    for item in batch {
        let _ = item.reply.send(result.clone());
    }
    Vec::new()
}
