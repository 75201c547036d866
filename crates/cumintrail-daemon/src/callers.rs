//! The callers' endpoint: authentication, model calls and calls to plain services.

pub mod auth;
mod body;
mod engine_attempt;
mod model_answer;
mod model_call;
pub mod refuse;
pub mod request;
mod router;
mod service_call;

use std::convert::Infallible;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use actix_http::{HttpService, Request};
use actix_server::ServerBuilder;
use actix_service::{ServiceFactoryExt as _, fn_factory, fn_service};
use cumintrail_client::{HttpEngine, HttpPlatform, HttpService as PlainService};

use crate::daemon::ListenFactory;
use crate::shared::Shared;

pub use body::CallerBody;

/// Holds what one traffic thread needs.
pub struct Worker {
    shared: Arc<Shared>,
    engines: HttpEngine,
    services: PlainService,
    #[expect(dead_code, reason = "claims of idempotency keys are read and written here")]
    platform: HttpPlatform,
}

impl Worker {
    fn open(shared: Arc<Shared>) -> Self {
        let s = &shared.settings;
        let platform = HttpPlatform::open(s.table, s.objects, s.vm_list);
        Self { engines: HttpEngine::open(), services: PlainService::open(), platform, shared }
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
        let builder = builder
            .max_concurrent_connections(self.shared.settings.max_connections)
            .shutdown_timeout(self.shared.settings.drain_limit.as_secs());
        let service = move || {
            let shared = self.shared.clone();
            HttpService::build()
                .client_request_timeout(shared.settings.request_timeout)
                .finish(fn_factory(move || {
                    let worker = Rc::new(Worker::open(shared.clone()));
                    async move {
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
