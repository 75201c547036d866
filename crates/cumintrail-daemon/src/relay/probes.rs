//! Endpoints for the load balancer's health checks and for metrics collection.

use std::net::TcpListener;
use std::sync::Arc;

use actix_http::{Response, StatusCode};
use actix_rt::net::TcpStream;
use bytes::Bytes;

use super::caller::{CallerConnection, Source};
use crate::metric;
use crate::shared::Shared;

/// Selects what a monitoring address serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MonitoringEndpoint {
    /// Status 200 while the load balancer should send calls here, else 503.
    Readiness,
    /// All metrics in the text format.
    Metrics,
}

/// Responds to each request on `listener`, whatever its path.
pub(super) async fn serve(
    listener: TcpListener,
    shared: Arc<Shared>,
    endpoint: MonitoringEndpoint,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => return log::error!("event=listen outcome=failed reason=\"{e}\""),
    };
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let shared = shared.clone();
            actix_rt::spawn(async move { respond(stream, &shared, endpoint).await });
        }
    }
}

async fn respond(stream: TcpStream, shared: &Shared, endpoint: MonitoringEndpoint) {
    let Ok(mut caller) = CallerConnection::new(stream, Source::Caller, shared.settings.stall_limit)
    else {
        return;
    };
    while let Ok(Some(_)) = caller.next_request(None).await {
        let (status, body) = match endpoint {
            MonitoringEndpoint::Readiness if shared.is_ready() => (StatusCode::OK, Bytes::new()),
            MonitoringEndpoint::Readiness => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
            MonitoringEndpoint::Metrics => (StatusCode::OK, metric::render().into()),
        };
        if caller.write_response(Response::with_body(status, ()), body).await.is_err() {
            return;
        }
    }
}
