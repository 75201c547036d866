//! Idle connections to targets, of one thread.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::ServiceConfig;

use crate::{ClientError, Connection};

/// The part of a target's keep-alive time for which an idle connection is used again.
///
/// The rest covers the way of a request to a target that is about to close.
const REUSE_FRACTION: f64 = 0.6;
/// The same for calls that must not meet a closing connection, as they run at most once.
const REUSE_FRACTION_AT_MOST_ONCE: f64 = 0.35;
/// Idle connections kept to one target.
const MAX_IDLE_PER_TARGET: usize = 32;

/// Says how sure a connection must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// A call that may be sent again.
    Retryable,
    /// A call that is lost if its connection turns out closed.
    AtMostOnce,
}

/// Keeps idle connections to targets.
pub struct ConnectionPool {
    config: ServiceConfig,
    connect_timeout: Duration,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

struct IdleConnection {
    connection: Connection,
    keep_alive: Duration,
}

impl ConnectionPool {
    /// Makes an empty pool for the current thread.
    pub fn open(connect_timeout: Duration) -> Self {
        Self { config: ServiceConfig::default(), connect_timeout, idle: RefCell::default() }
    }

    /// Takes the connection to a target that was used last, or opens one.
    pub async fn acquire(
        &self,
        at: SocketAddr,
        retry_safety: RetrySafety,
    ) -> Result<Connection, ClientError> {
        if let Some(connection) = self.take_idle(at, retry_safety) {
            return Ok(connection);
        }
        Connection::open(at, self.connect_timeout, self.config.clone()).await
    }

    fn take_idle(&self, at: SocketAddr, retry_safety: RetrySafety) -> Option<Connection> {
        let fraction = match retry_safety {
            RetrySafety::Retryable => REUSE_FRACTION,
            RetrySafety::AtMostOnce => REUSE_FRACTION_AT_MOST_ONCE,
        };
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&at)?;
        while let Some(IdleConnection { mut connection, keep_alive }) = connections.pop() {
            if connection.idle_time() >= keep_alive.mul_f64(fraction) {
                // Those below were used even earlier.
                connections.clear();
                return None;
            }
            if connection.is_open_without_input() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose exchange ended, if another may follow on it.
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

    /// Closes connections that were idle for too long, and all to targets that are gone.
    pub fn prune(&self, is_target: impl Fn(SocketAddr) -> bool) {
        self.idle.borrow_mut().retain(|at, connections| {
            connections.retain(|idle| {
                idle.connection.idle_time() < idle.keep_alive.mul_f64(REUSE_FRACTION)
            });
            !connections.is_empty() && is_target(*at)
        });
    }

    /// Closes all idle connections to a target, since one of them went silent.
    pub fn close_idle(&self, at: SocketAddr) {
        self.idle.borrow_mut().remove(&at);
    }
}
