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
const TRUSTED_KEEP: f64 = 0.6;
/// The same for calls that must not meet a closing connection, as they run at most once.
const TRUSTED_KEEP_ONCE: f64 = 0.35;
/// Idle connections kept to one target.
const MAX_IDLE: usize = 32;

/// Says how sure a connection must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Care {
    /// A call that may be sent again.
    Usual,
    /// A call that is lost if its connection turns out closed.
    High,
}

/// Keeps idle connections to targets.
pub struct Pool {
    config: ServiceConfig,
    connect_timeout: Duration,
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

struct Idle {
    connection: Connection,
    keep: Duration,
}

impl Pool {
    /// Makes an empty pool for the current thread.
    pub fn open(connect_timeout: Duration) -> Self {
        Self { config: ServiceConfig::default(), connect_timeout, idle: RefCell::default() }
    }

    /// Takes the connection to a target that was used last, or opens one.
    pub async fn take(&self, at: SocketAddr, care: Care) -> Result<Connection, ClientError> {
        if let Some(connection) = self.take_idle(at, care) {
            return Ok(connection);
        }
        Connection::open(at, self.connect_timeout, self.config.clone()).await
    }

    fn take_idle(&self, at: SocketAddr, care: Care) -> Option<Connection> {
        let trusted = match care {
            Care::Usual => TRUSTED_KEEP,
            Care::High => TRUSTED_KEEP_ONCE,
        };
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&at)?;
        while let Some(Idle { mut connection, keep }) = kept.pop() {
            if connection.idle() >= keep.mul_f64(trusted) {
                // Those below were used even earlier.
                kept.clear();
                return None;
            }
            if connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose exchange ended, if another may follow on it.
    pub fn put(&self, mut connection: Connection) {
        let Some(keep) = connection.reusable_for() else {
            return;
        };
        connection.rest();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(connection.at()).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(Idle { connection, keep });
        }
    }

    /// Closes connections that were idle for too long, and all to targets that are gone.
    pub fn prune(&self, used: impl Fn(SocketAddr) -> bool) {
        self.idle.borrow_mut().retain(|at, kept| {
            kept.retain(|idle| idle.connection.idle() < idle.keep.mul_f64(TRUSTED_KEEP));
            !kept.is_empty() && used(*at)
        });
    }

    /// Closes all idle connections to a target, since one of them went silent.
    pub fn forget(&self, at: SocketAddr) {
        self.idle.borrow_mut().remove(&at);
    }
}
