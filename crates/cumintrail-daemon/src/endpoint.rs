//! An HTTP endpoint of the daemon: a listener, its worker threads, and connection limits.

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
use crate::held::{HeldAccount, HeldStream, Port};
use crate::shared::Shared;

/// A connection whose writes fail once the other end has accepted no byte for too long.
type WriteTimeoutStream = Pin<Box<TimeoutStream<HeldStream>>>;

/// Limits an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointLimits {
    /// The number of worker threads.
    pub workers: usize,
    /// Concurrent connections per worker thread.
    pub connections_per_worker: usize,
    /// The longest time for the head of a request to arrive.
    pub request_timeout: Duration,
    /// The longest time for which a connection may accept no byte of a response.
    pub write_timeout: Duration,
    /// How long a graceful stop waits for connections, rounded down to seconds.
    pub shutdown_timeout: Duration,
    /// The account that counts the connections, and their port in it.
    pub held: Option<(Arc<HeldAccount>, Port)>,
}

/// Serves `listener` with `handler`, with one [`Worker`] per thread.
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
    let (workers, connections) = (limits.workers, limits.connections_per_worker);
    let shutdown_timeout = limits.shutdown_timeout;
    let service = move || {
        let (shared, limits) = (shared.clone(), limits.clone());
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
        fn_service(move |stream| {
            let configured = configure_connection(stream, &limits);
            async move { configured }
        })
        .and_then(http)
        .map_err(|_| ())
    };
    let server = Server::build()
        .workers(workers)
        .max_concurrent_connections(connections)
        .shutdown_timeout(shutdown_timeout.as_secs())
        .disable_signals()
        .listen("http", listener, service)?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

/// Limits the time for which a connection may accept no byte.
///
/// Each byte accepted restarts the timeout. A slow reader therefore gets its whole response, while
/// a reader that stops reading is disconnected, which frees its memory and lets a planned stop end.
fn configure_connection(
    stream: TcpStream,
    limits: &EndpointLimits,
) -> Result<(WriteTimeoutStream, Protocol, Option<SocketAddr>), DispatchError> {
    stream.set_nodelay(true)?;
    let peer = stream.peer_addr().ok();
    let held = limits.held.as_ref().map(|(account, port)| account.open(*port));
    if matches!(held, Some(None)) {
        return Err(io::Error::from(io::ErrorKind::ConnectionRefused).into());
    }
    let mut timeout_stream = TimeoutStream::new(HeldStream::new(stream, held.flatten()));
    timeout_stream.set_write_timeout(Some(limits.write_timeout));
    Ok((Box::pin(timeout_stream), Protocol::Http1, peer))
}
