//! Endpoints for the load balancer's health checks and for metrics collection.

use std::net::TcpListener;
use std::sync::Arc;

use actix_http::{Response, StatusCode};
use actix_rt::net::TcpStream;
use bytes::Bytes;

use super::ACCEPT_RETRY_DELAY;
use super::caller::CallerConnection;
use crate::held::{HeldAccount, HeldConnection, Port};
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
    held: Arc<HeldAccount>,
    endpoint: MonitoringEndpoint,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(e) => return log::error!("event=listen outcome=failed reason=\"{e}\""),
    };
    let port = match endpoint {
        MonitoringEndpoint::Readiness => Port::Readiness,
        MonitoringEndpoint::Metrics => Port::Metrics,
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if let Some(held) = held.open(port) {
            let shared = shared.clone();
            actix_rt::spawn(async move { respond(stream, held, &shared, endpoint).await });
        }
        tokio::task::yield_now().await;
    }
}

async fn respond(
    stream: TcpStream,
    held: HeldConnection,
    shared: &Shared,
    endpoint: MonitoringEndpoint,
) {
    let stall_limit = shared.settings.stall_limit;
    let Ok(mut caller) = CallerConnection::new(stream, held, stall_limit) else {
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
