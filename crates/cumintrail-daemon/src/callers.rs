//! The callers' endpoint: authentication, model calls and calls to plain services.

pub mod auth;
mod body;
mod engine_attempt;
mod key_guard;
mod key_records;
mod model_call;
mod model_response;
pub mod operation_keys;
mod outcomes;
pub mod refusal;
pub mod request;
mod response_objects;
mod router;
mod service_call;
mod service_task;

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use actix_server::ServerHandle;
use cumintrail_client::{HttpEngine, HttpPeer, HttpService as PlainService};

use crate::endpoint::{self, Limits};
use crate::shared::Shared;

use self::key_records::KeyRecords;

pub use body::ResponseBody;

/// Lets the refusal of a half-sent body, which names code and execution, come before the HTTP
/// library's empty one.
const BODY_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Holds what one traffic thread needs.
pub struct Worker {
    shared: Arc<Shared>,
    engines: HttpEngine,
    services: PlainService,
    peers: HttpPeer,
    records: KeyRecords,
}

impl Worker {
    /// Opens the clients of the current thread.
    pub fn open(shared: Arc<Shared>) -> Self {
        let s = &shared.settings;
        Self {
            engines: HttpEngine::open(),
            services: PlainService::open(),
            peers: HttpPeer::open(s.peer_key.expose()),
            records: KeyRecords::open(shared.clone()),
            shared,
        }
    }

    /// Returns what the daemon's threads share.
    pub const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }
}

/// Serves callers on `listener`.
pub fn serve(listener: TcpListener, shared: Arc<Shared>) -> io::Result<ServerHandle> {
    let settings = &shared.settings;
    let limits = Limits {
        workers: settings.workers,
        connections: settings.max_connections,
        request_timeout: settings.request_timeout + BODY_TIMEOUT_MARGIN,
        stall_limit: settings.stall_limit,
        stop_limit: settings.drain_limit,
    };
    endpoint::serve(listener, limits, shared, router::handle)
}
