//! I/O of rollouts: reads and writes of the lease's row, and orders to targets.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::Poll;

use cumintrail_client::{ClientError, Engine, Table};
use cumintrail_control::rollout::{
    LeaseRequest, LeaseRow, LeaseWrite, ORDER_TIMEOUT, OrderOutcome,
};
use cumintrail_control::{Event, Order, OrderKind};
use cumintrail_types::Moment;
use cumintrail_wire::engine::{EngineRefusalReason, LoadOrder};
use cumintrail_wire::platform::{Condition, LEASE_KEY, LeaseRecord, Row, Transaction, Write};

use super::Background;
use crate::shared::Shared;

/// Reads or writes the lease's row and sends the result to the control state.
pub async fn exchange_lease(table: &impl Table, shared: &Shared, request: LeaseRequest) {
    let event = match request {
        LeaseRequest::Read => read_lease(table).await,
        LeaseRequest::Write(write) => write_lease(table, shared, write).await,
    };
    shared.control.send(event.unwrap_or(Event::LeaseFailed)).await;
}

async fn read_lease(table: &impl Table) -> Result<Event, ClientError> {
    let row = table.read(LEASE_KEY).await?;
    let row = row.map(|row| parse_lease_row(&row)).transpose()?;
    Ok(Event::LeaseRead { row, era: table.era() })
}

fn parse_lease_row(row: &Row) -> Result<LeaseRow, ClientError> {
    let record: Result<LeaseRecord, _> = serde_json::from_str(&row.value);
    let LeaseRecord { holder, fencing, released } = record.map_err(|_| ClientError::Malformed)?;
    Ok(LeaseRow { version: row.version, holder, fencing, released })
}

async fn write_lease(
    table: &impl Table,
    shared: &Shared,
    write: LeaseWrite,
) -> Result<Event, ClientError> {
    let record =
        LeaseRecord { holder: write.holder, fencing: write.fencing, released: write.released };
    let value = serde_json::to_string(&record).map_err(|_| ClientError::Malformed)?;
    let transaction = Transaction {
        conditions: vec![Condition { key: LEASE_KEY.into(), version: write.expected }],
        writes: vec![Write { key: LEASE_KEY.into(), value: Some(value) }],
    };
    // The duration of the lease counts from before the request is sent.
    let sent = shared.now();
    let reply = table.commit(&transaction).await;
    let outcome = match &reply {
        Ok(reply) if reply.committed => "written",
        Ok(_) => "conflict",
        Err(_) => "no-answer",
    };
    let (fencing, released, expected) = (write.fencing, write.released, write.expected);
    log::info!(
        "event=lease fencing={fencing} released={released} expected={expected} outcome={outcome}"
    );
    let reply = reply?;
    let (committed, version) = (reply.committed, reply.version);
    Ok(Event::LeaseWritten { sent, committed, version, era: table.era() })
}

/// Sends an order and reports how it ended; an order past its `not_after` is no longer sent.
pub async fn send_order(background: &Background, order: Order) {
    let target = order.target;
    let outcome = match background.target_address(target) {
        Some(at) => send_load_order(background, at, &order).await,
        None => OrderOutcome::NotSent,
    };
    log::info!("order to target {target} under number {}: {outcome:?}", order.fencing);
    background.shared.control.send(Event::OrderEnded { target, outcome }).await;
}

async fn send_load_order(
    background: &Background,
    at: std::net::SocketAddr,
    order: &Order,
) -> OrderOutcome {
    let OrderKind::Load(version) = order.kind;
    let message = LoadOrder { fencing: order.fencing, version };
    let exchange = background.engines.order(at, &message, ORDER_TIMEOUT);
    order_outcome(run_before(&background.shared, order.not_after, exchange).await)
}

/// Classifies how an order ended; `None` stands for an exchange stopped at its time limit.
pub fn order_outcome<T>(exchanged: Option<Result<T, ClientError>>) -> OrderOutcome {
    match exchanged {
        // The limit may have passed between two polls, so bytes may have been sent.
        None => OrderOutcome::Unknown,
        Some(Ok(_)) => OrderOutcome::Followed,
        Some(Err(ClientError::Refused { reason: EngineRefusalReason::OldFencing })) => {
            OrderOutcome::OldFencing
        }
        Some(Err(e)) if e.may_have_arrived() => OrderOutcome::Unknown,
        Some(Err(_)) => OrderOutcome::NotSent,
    }
}

/// Polls `exchange` only while the clock is before `limit`; returns `None` once it is not.
///
/// The clock is read before each poll, so that a process that was paused between two polls sends
/// nothing under a lease that another daemon has acquired meanwhile.
pub async fn run_before<T>(
    shared: &Shared,
    limit: Moment,
    exchange: impl Future<Output = T>,
) -> Option<T> {
    let mut exchange = pin!(exchange);
    poll_fn(|cx| {
        if shared.now() >= limit {
            return Poll::Ready(None);
        }
        exchange.as_mut().poll(cx).map(Some)
    })
    .await
}
