//! An HTTP endpoint of the daemon: a listener, its threads, and limits of its connections.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::error::DispatchError;
use actix_http::{HttpService, Protocol, Request, Response};
use actix_rt::net::TcpStream;
use actix_server::{Server, ServerHandle};
use actix_service::{ServiceFactoryExt as _, fn_factory, fn_service};
use tokio_io_timeout::TimeoutStream;

use crate::callers::{ResponseBody, Worker};
use crate::shared::Shared;

/// A connection that breaks when its other end takes no byte for too long.
type WriteTimeoutStream = Pin<Box<TimeoutStream<TcpStream>>>;

/// Limits of an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct EndpointLimits {
    /// Threads that serve it.
    pub workers: usize,
    /// Concurrent connections per thread.
    pub connections_per_worker: usize,
    /// The time in which a request's head and body must arrive.
    pub request_timeout: Duration,
    /// The time for which a connection may take no byte of an answer.
    pub write_timeout: Duration,
    /// How long a graceful stop waits for connections.
    pub shutdown_timeout: Duration,
}

/// Serves `listener` with `answer`, with one [`Worker`] per thread.
pub fn serve<F, R>(
    listener: TcpListener,
    limits: EndpointLimits,
    shared: Arc<Shared>,
    handler: F,
) -> io::Result<ServerHandle>
where
    F: Fn(Rc<Worker>, Request) -> R + Copy + Send + 'static,
    R: Future<Output = Response<ResponseBody>> + 'static,
{
    let service = move || {
        let shared = shared.clone();
        let http = HttpService::build().client_request_timeout(limits.request_timeout).finish(
            fn_factory(move || {
                let worker = Rc::new(Worker::open(shared.clone()));
                let service = fn_service(move |req: Request| {
                    let response = handler(worker.clone(), req);
                    async move { Ok::<_, Infallible>(response.await) }
                });
                async move { Ok::<_, Infallible>(service) }
            }),
        );
        fn_service(move |stream| async move { configure_connection(stream, limits.write_timeout) })
            .and_then(http)
            .map_err(|_| ())
    };
    let server = Server::build()
        .workers(limits.workers)
        .max_concurrent_connections(limits.connections_per_worker)
        .shutdown_timeout(limits.shutdown_timeout.as_secs())
        .disable_signals()
        .listen("http", listener, service)?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

/// Bounds the time for which a connection may take no byte.
///
/// The bound follows progress: any byte taken starts it anew, so a slow reader gets all of its
/// answer, while one that reads nothing frees its memory and cannot hold up a planned stop.
fn configure_connection(
    stream: TcpStream,
    write_timeout: Duration,
) -> Result<(WriteTimeoutStream, Protocol, Option<SocketAddr>), DispatchError> {
    stream.set_nodelay(true)?;
    let peer = stream.peer_addr().ok();
    let mut bounded = TimeoutStream::new(stream);
    bounded.set_write_timeout(Some(write_timeout));
    Ok((Box::pin(bounded), Protocol::Http1, peer))
}
