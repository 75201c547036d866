//! An HTTP client for one thread, with limits on time and size.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::Method;
use actix_http::header::{CONTENT_LENGTH, HeaderMap};
use awc::{Client, ClientRequest, ClientResponse, Connector};
use bytes::Bytes;
use cumintrail_wire::engine::EngineRefusal;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ClientError;
use crate::error::{RefusedSnafu, StatusSnafu};
use crate::traffic::TrafficCounter;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const OK: u16 = 200;
const NOT_MODIFIED: u16 = 304;
const MAX_BODY_BYTES: usize = 64 << 20;

/// Sends HTTP requests from one thread.
pub struct HttpClient {
    client: RefCell<Client>,
    reuse: bool,
    timeout: Duration,
    max_body: usize,
    traffic: TrafficCounter,
}

impl HttpClient {
    /// Creates a client that reuses connections which have been idle for a few seconds at most.
    pub fn pooled(timeout: Duration) -> Self {
        Self::open(true, timeout)
    }

    /// Creates a client that opens a connection for each request.
    ///
    /// A failure to connect then proves that nothing was sent, and a connection that stopped
    /// responding is never used again. For calls both matter more than the round trip that reuse
    /// would save.
    pub fn unpooled(timeout: Duration) -> Self {
        Self::open(false, timeout)
    }

    fn open(reuse: bool, timeout: Duration) -> Self {
        let client = RefCell::new(build(reuse));
        let traffic = TrafficCounter::default();
        Self { client, reuse, timeout, max_body: MAX_BODY_BYTES, traffic }
    }

    /// Sets the size in bytes from which on the body of a response is an error.
    ///
    /// A server that fails may send without end until the connection is closed.
    #[must_use]
    pub const fn with_max_body(mut self, bytes: usize) -> Self {
        self.max_body = bytes;
        self
    }

    /// Returns the number of bytes sent and received, including HTTP heads.
    pub fn transferred_bytes(&self) -> u64 {
        self.traffic.total_bytes()
    }

    /// Builds a request with the client's timeout.
    pub fn request(&self, method: Method, at: SocketAddr, path: &str) -> ClientRequest {
        let req = self.client.borrow().request(method, format!("http://{at}{path}"));
        let req = req.timeout(self.timeout).no_decompress();
        if self.reuse { req } else { req.force_close() }
    }

    /// Sends a request with a body and waits for the response head.
    pub async fn send(&self, req: ClientRequest, body: Bytes) -> Result<Response, ClientError> {
        self.traffic.add_request(&req, body.len());
        match req.send_body(body).await {
            Ok(inner) => {
                self.traffic.add_response_head(inner.status(), inner.headers());
                Ok(Response { inner, max_body: self.max_body, traffic: self.traffic.clone() })
            }
            Err(e) => {
                let e = ClientError::from(e);
                self.reset_after_failure(&e);
                Err(e)
            }
        }
    }

    /// Sends `body` as JSON, if any, and decodes a JSON response with status 200.
    ///
    /// The client's timeout limits the whole exchange, the body of the response included.
    pub async fn exchange<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        at: SocketAddr,
        path: &str,
        body: Option<&Q>,
    ) -> Result<A, ClientError> {
        let req = self.request(method, at, path);
        let req = match body {
            Some(_) => req.insert_header(("content-type", "application/json")),
            None => req,
        };
        let body = body.map(serde_json::to_vec).transpose().map_err(|_| ClientError::Malformed)?;
        let started = Instant::now();
        let response = self.send(req, body.unwrap_or_default().into()).await?;
        response.json(self.timeout.saturating_sub(started.elapsed())).await
    }

    /// Drops all idle connections after a timeout or a lost connection.
    fn reset_after_failure(&self, e: &ClientError) {
        if self.reuse && matches!(e, ClientError::Timeout | ClientError::ConnectionLost) {
            self.client.replace(build(true));
        }
    }
}

fn build(reuse: bool) -> Client {
    let keep_alive = if reuse { IDLE_TIMEOUT } else { Duration::ZERO };
    let connector = Connector::new().timeout(CONNECT_TIMEOUT).conn_keep_alive(keep_alive).limit(0);
    Client::builder().connector(connector).disable_redirects().finish()
}

/// A response whose body has not been read yet.
pub struct Response {
    inner: ClientResponse,
    max_body: usize,
    traffic: TrafficCounter,
}

impl Response {
    /// Returns the HTTP status code.
    pub fn status(&self) -> u16 {
        self.inner.status().as_u16()
    }

    /// Returns the response headers.
    pub fn headers(&self) -> &HeaderMap {
        self.inner.headers()
    }

    /// Reads the whole body within a time limit.
    ///
    /// The library treats a closed connection as the end of the body, so this method compares the
    /// body's length with `content-length`. The truncation of a chunked body between two chunks is
    /// not detected here: truncated JSON fails to parse, and calls to plain services use a
    /// connection type that detects it.
    pub async fn bytes(self, timeout: Duration) -> Result<Bytes, ClientError> {
        let status = self.status();
        let content_length = self.headers().get(CONTENT_LENGTH).and_then(|v| v.to_str().ok());
        let content_length: Option<usize> = content_length.and_then(|text| text.parse().ok());
        let body = self.inner.timeout(timeout).body().limit(self.max_body).await?;
        self.traffic.add(body.len());
        match content_length {
            Some(length) if length > body.len() && status != NOT_MODIFIED => {
                Err(ClientError::ConnectionLost)
            }
            _ => Ok(body),
        }
    }

    /// Decodes the body as JSON if the status is 200; otherwise returns an error, with the engine's
    /// reason if the body is an engine's refusal.
    pub async fn json<A: DeserializeOwned>(self, timeout: Duration) -> Result<A, ClientError> {
        let status = self.status();
        let body = self.bytes(timeout).await?;
        if status == OK {
            return serde_json::from_slice(&body).map_err(|_| ClientError::Malformed);
        }
        let refusal = serde_json::from_slice::<EngineRefusal>(&body);
        refusal.map_or(StatusSnafu { status }.fail(), |r| RefusedSnafu { reason: r.reason }.fail())
    }

    /// Converts the response into a stream of its body that lasts for at most `limit`.
    pub fn into_stream(self, limit: Duration) -> ClientResponse {
        self.inner.timeout(limit)
    }
}
