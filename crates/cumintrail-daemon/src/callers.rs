//! The HTTP endpoint for callers: model calls, calls to plain services and operation keys.

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

use crate::endpoint::{self, EndpointLimits};
use crate::shared::Shared;

use self::key_records::KeyRecords;

pub use body::ResponseBody;

/// Extends the HTTP library's request timeout beyond the daemon's own, so that a caller that sends
/// only part of a body receives the daemon's refusal and not the library's response without a body.
const BODY_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Stores the shared state and the clients of one worker thread.
pub struct Worker {
    shared: Arc<Shared>,
    engines: HttpEngine,
    services: PlainService,
    peers: HttpPeer,
    records: KeyRecords,
}

impl Worker {
    /// Creates the worker of the current thread, with clients of its own.
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

    /// Returns the state that all threads of the daemon share.
    pub const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }
}

/// Serves callers on `listener`.
pub fn serve(listener: TcpListener, shared: Arc<Shared>) -> io::Result<ServerHandle> {
    let settings = &shared.settings;
    let limits = EndpointLimits {
        workers: settings.workers,
        connections_per_worker: settings.max_connections,
        request_timeout: settings.request_timeout + BODY_TIMEOUT_MARGIN,
        write_timeout: settings.stall_limit,
        shutdown_timeout: settings.drain_limit,
        held: None,
    };
    endpoint::serve(listener, limits, shared, router::handle)
}
