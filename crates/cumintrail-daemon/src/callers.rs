//! The callers' endpoint: authentication, model calls and calls to plain services.

pub mod auth;
mod body;
mod engine_attempt;
mod keyed;
mod model_answer;
mod model_call;
pub mod operation_keys;
mod records;
pub mod refuse;
pub mod request;
mod router;
mod service_call;
mod service_run;

use std::convert::Infallible;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::{HttpService, Request};
use actix_server::ServerBuilder;
use actix_service::{ServiceFactoryExt as _, fn_factory, fn_service};
use cumintrail_client::{HttpEngine, HttpPeer, HttpPlatform, HttpService as PlainService};

use crate::daemon::ListenFactory;
use crate::shared::Shared;

use self::records::Records;

pub use body::CallerBody;

/// Lets the refusal of a half-sent body, which names code and execution, come before the HTTP
/// library's empty one.
const BODY_MARGIN: Duration = Duration::from_millis(500);

/// Holds what one traffic thread needs.
pub struct Worker {
    shared: Arc<Shared>,
    engines: HttpEngine,
    services: PlainService,
    peers: HttpPeer,
    records: Records,
}

impl Worker {
    /// Opens the clients of the current thread.
    pub fn open(shared: Arc<Shared>) -> Self {
        let s = &shared.settings;
        Self {
            engines: HttpEngine::open(),
            services: PlainService::open(),
            peers: HttpPeer::open(s.peer_key.expose()),
            records: Records::open(HttpPlatform::open(s.table, s.objects, s.vm_list)),
            shared,
        }
    }

    /// Returns what the daemon's threads share.
    pub const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }
}

/// Makes the callers' HTTP service on each traffic thread.
#[derive(Clone)]
pub struct Factory {
    shared: Arc<Shared>,
}

impl Factory {
    /// Serves with the daemon's shared state.
    pub const fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

impl ListenFactory for Factory {
    fn listen(self, builder: ServerBuilder, listener: TcpListener) -> ServerBuilder {
        let settings = &self.shared.settings;
        let builder = builder
            .max_concurrent_connections(settings.max_connections)
            .shutdown_timeout(settings.drain_limit.as_secs());
        let service = move || {
            let shared = self.shared.clone();
            HttpService::build()
                .client_request_timeout(shared.settings.request_timeout + BODY_MARGIN)
                .finish(fn_factory(move || {
                    let shared = shared.clone();
                    async move {
                        let worker = Rc::new(Worker::open(shared));
                        Ok::<_, Infallible>(fn_service(move |req: Request| {
                            let worker = worker.clone();
                            async move { Ok::<_, Infallible>(router::answer(worker, req).await) }
                        }))
                    }
                }))
                .tcp()
                .map_err(|_| ())
        };
        builder.listen("callers", listener, service).expect("the listener is bound already")
    }
}
