//! A single exchange on a new connection.
//!
//! Calls that run at most once must distinguish a truncated response from a complete one and a
//! failure to connect from a failure after sending, which the HTTP client library does not.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::header::{HOST, HeaderValue};
use actix_http::{ConnectionType, Method, RequestHead, ResponseHead, ServiceConfig};
use bytes::{Bytes, BytesMut};

use crate::process_watch::{ProcessEvidence, evidence_changed};
use crate::{ClientError, Connection, Framing, ProcessState};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_BODY_BYTES: usize = 64 << 20;

/// Sends one request and reads its whole response within a time limit.
///
/// Returns [`ClientError::NotSent`] only if no connection was established.
pub async fn exchange(
    at: SocketAddr,
    head: RequestHead,
    body: Bytes,
    timeout: Duration,
) -> Result<(ResponseHead, Bytes), ClientError> {
    let config = ServiceConfig::default();
    let connection = Connection::open(at, CONNECT_TIMEOUT.min(timeout), config).await?;
    let exchange = send_and_read(connection, with_connection_close(head, at), body, timeout);
    actix_rt::time::timeout(timeout, exchange).await.unwrap_or(Err(ClientError::Timeout))
}

/// Adds the `host` header to a request head.
pub(crate) fn with_host(mut head: RequestHead, at: SocketAddr) -> RequestHead {
    if let Ok(host) = HeaderValue::from_str(&at.to_string()) {
        head.headers.insert(HOST, host);
    }
    head
}

/// Adds the `host` header and `connection: close` to a request head.
pub(crate) fn with_connection_close(head: RequestHead, at: SocketAddr) -> RequestHead {
    let mut head = with_host(head, at);
    head.set_connection_type(ConnectionType::Close);
    head
}

async fn send_and_read(
    mut connection: Connection,
    head: RequestHead,
    body: Bytes,
    timeout: Duration,
) -> Result<(ResponseHead, Bytes), ClientError> {
    let bodiless = body.is_empty() && matches!(head.method, Method::GET | Method::HEAD);
    let size = if bodiless { BodySize::None } else { BodySize::Sized(body.len() as u64) };
    connection.start_exchange(head, size).map_err(|_| ClientError::ConnectionLost)?;
    if !body.is_empty() {
        connection.queue_body(Some(body))?;
        connection.queue_body(None)?;
    }
    let head = connection.read_head().await?;
    let ends_by_close = connection.framing() == Framing::Close;
    let watch = || ProcessEvidence::watch(connection.address(), CONNECT_TIMEOUT.min(timeout));
    let mut evidence = ends_by_close.then(watch);
    let mut body = BytesMut::new();
    while let Some(chunk) = read_chunk(&mut connection, &mut evidence).await? {
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(ClientError::Malformed);
        }
        body.extend_from_slice(&chunk);
    }
    let process = match evidence {
        Some(evidence) => evidence.process_state().await,
        None => ProcessState::Running,
    };
    if process.completes_response() {
        Ok((head, body.freeze()))
    } else {
        Err(ClientError::ConnectionLost)
    }
}

/// Reads the next chunk of a response, and observes the process that sends it meanwhile.
async fn read_chunk(
    connection: &mut Connection,
    evidence: &mut Option<ProcessEvidence>,
) -> Result<Option<Bytes>, ClientError> {
    loop {
        if let Some(evidence) = evidence {
            evidence.observe(connection);
        }
        tokio::select! {
            biased;
            chunk = connection.read_chunk() => return chunk,
            () = evidence_changed(evidence) => {}
        }
    }
}
