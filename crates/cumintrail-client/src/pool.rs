//! A pool of idle connections to targets, for use by one thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::ServiceConfig;

use crate::connection::KEEPALIVE_INTERVAL;
use crate::{ClientError, Connection, ConnectionId, HeldBytes, ResponseBudget};

/// Fraction of a target's keep-alive timeout during which an idle connection may be reused.
///
/// The rest covers the time that a request takes to reach a target that is about to close the
/// connection.
const REUSE_FRACTION: f64 = 0.6;
/// The same fraction for calls that run at most once, which are lost on a closing connection.
const REUSE_FRACTION_AT_MOST_ONCE: f64 = 0.35;
/// The idle time from which a connection is not reused.
///
/// From then on a keep-alive probe may be unanswered. The system would end the connection soon after a
/// request was sent on it, which is no reset, and a cut link delivers the request once it heals.
const MAX_REUSE_IDLE: Duration = KEEPALIVE_INTERVAL;
const MAX_IDLE_PER_TARGET: usize = 32;

/// States whether a call may be sent again, which limits the idle time of a reused connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// The call may be sent again.
    Retryable,
    /// The call is lost if the target has closed the connection.
    AtMostOnce,
}

/// States what must be known of the process that an idle connection leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessDemand {
    /// Nothing.
    None,
    /// That it runs if the process does that responded before the connection was opened, or on it.
    Asked,
    /// That it is the listed one.
    Listed,
}

/// Stores idle connections to targets for reuse.
pub struct ConnectionPool {
    config: ServiceConfig,
    connect_timeout: Duration,
    responses: Arc<ResponseBudget>,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

struct IdleConnection {
    connection: Connection,
    keep_alive: Duration,
}

impl ConnectionPool {
    /// Creates an empty pool for the current thread, whose responses share a budget.
    pub fn open(connect_timeout: Duration, responses: Arc<ResponseBudget>) -> Self {
        let config = ServiceConfig::default();
        Self { config, connect_timeout, responses, idle: RefCell::default() }
    }

    /// Registers a response with the budget, for what is held of it outside its connection.
    pub fn hold_response(&self) -> HeldBytes {
        self.responses.open()
    }

    /// Takes the most recently used idle connection to a target, or opens a new one.
    ///
    /// Connections that were opened for another process at the address than `listed` are not taken:
    /// that process may go on to serve them. Only those are taken that meet `demand`; a new connection
    /// does not meet any.
    ///
    /// The connections in `carried` had an attempt of the same call. They are not taken, since a late
    /// copy of that attempt's response would bear the id of the call and pass for the next response.
    pub async fn acquire(
        &self,
        at: SocketAddr,
        listed: &Arc<str>,
        demand: ProcessDemand,
        retry_safety: RetrySafety,
        carried: &[ConnectionId],
    ) -> Result<Connection, ClientError> {
        if let Some(connection) = self.take_idle(at, listed, demand, retry_safety, carried) {
            return Ok(connection);
        }
        self.open_connection(at, listed).await
    }

    /// Opens a new connection to a target, whose process is `listed`.
    pub async fn open_connection(
        &self,
        at: SocketAddr,
        listed: &Arc<str>,
    ) -> Result<Connection, ClientError> {
        let connection = Connection::open(at, self.connect_timeout, self.config.clone()).await?;
        Ok(connection.opened_for(listed.clone()).with_held_bytes(self.responses.open()))
    }

    fn take_idle(
        &self,
        at: SocketAddr,
        listed: &Arc<str>,
        demand: ProcessDemand,
        retry_safety: RetrySafety,
        carried: &[ConnectionId],
    ) -> Option<Connection> {
        let fraction = match retry_safety {
            RetrySafety::Retryable => REUSE_FRACTION,
            RetrySafety::AtMostOnce => REUSE_FRACTION_AT_MOST_ONCE,
        };
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&at)?;
        let may_carry = |idle: &IdleConnection| {
            idle.connection.listed() == Some(listed)
                && demand.is_met_by(&idle.connection)
                && !carried.contains(&idle.connection.id())
        };
        while let Some(found) = connections.iter().rposition(may_carry) {
            let IdleConnection { mut connection, keep_alive } = connections.remove(found);
            if connection.idle_time() >= reuse_limit(keep_alive, fraction) {
                // The connections below it in the stack have been idle for longer.
                connections.drain(..found);
                return None;
            }
            if connection.is_open_without_input() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection after an exchange; closes it if it is not reusable or the pool is full.
    pub fn release(&self, mut connection: Connection) {
        let Some(keep_alive) = connection.reusable_for() else {
            return;
        };
        connection.mark_idle();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.address()).or_default();
        if connections.len() < MAX_IDLE_PER_TARGET {
            connections.push(IdleConnection { connection, keep_alive });
        }
    }

    /// Closes connections that were idle for too long, and all connections to addresses for which
    /// `is_target` returns false.
    pub fn prune(&self, is_target: impl Fn(SocketAddr) -> bool) {
        self.idle.borrow_mut().retain(|at, connections| {
            connections.retain(|idle| {
                idle.connection.idle_time() < reuse_limit(idle.keep_alive, REUSE_FRACTION)
            });
            !connections.is_empty() && is_target(*at)
        });
    }

    /// Closes all idle connections to a target, after a connection to it failed.
    pub fn close_idle(&self, at: SocketAddr) {
        self.idle.borrow_mut().remove(&at);
    }
}

impl ProcessDemand {
    /// Returns whether a connection to the listed process meets the demand.
    fn is_met_by(self, connection: &Connection) -> bool {
        let process = connection.process();
        match self {
            Self::None => true,
            Self::Asked => process.or(connection.earlier_process()).is_some(),
            Self::Listed => process.is_some() && process == connection.listed(),
        }
    }
}

/// Returns the idle time from which a connection is not reused, by the target's keep-alive timeout.
fn reuse_limit(keep_alive: Duration, fraction: f64) -> Duration {
    keep_alive.mul_f64(fraction).min(MAX_REUSE_IDLE)
}
