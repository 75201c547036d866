//! Clients of other daemons, over HTTP with `MessagePack` bodies.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::Method;
use cumintrail_wire::feed::{FeedReply, FeedRequest};
use cumintrail_wire::peer::{
    ConfigReply, ConfigRequest, DigestMessage, DigestReply, ForwardReply, ForwardRequest,
    VmListReply, VmListRequest,
};
use cumintrail_wire::{from_msgpack, to_msgpack};
use serde::Serialize;

use crate::{ClientError, HttpClient};

const TIMEOUT: Duration = Duration::from_secs(1);
const OK: u16 = 200;

/// A client of other daemons.
pub trait Peer {
    /// Sends a peer digest and returns the peer's reply.
    async fn digest(
        &self,
        at: SocketAddr,
        digest: &DigestMessage,
    ) -> Result<DigestReply, ClientError>;
    /// Requests a newer configuration.
    async fn config(
        &self,
        at: SocketAddr,
        request: &ConfigRequest,
    ) -> Result<ConfigReply, ClientError>;
    /// Requests a newer VM list.
    async fn vms(
        &self,
        at: SocketAddr,
        request: &VmListRequest,
    ) -> Result<VmListReply, ClientError>;
    /// Requests changes of tables and lists of parts from a reader, which waits for them.
    async fn feed(
        &self,
        at: SocketAddr,
        request: &FeedRequest,
        timeout: Duration,
    ) -> Result<FeedReply, ClientError>;
    /// Forwards a call to the daemon that issued its operation key, once and on a new connection.
    async fn forward(
        &self,
        at: SocketAddr,
        request: &ForwardRequest,
        timeout: Duration,
    ) -> Result<ForwardReply, ClientError>;
}

/// An HTTP client of peers, for use by one thread.
pub struct HttpPeer {
    http: HttpClient,
    forwards: HttpClient,
    key: String,
}

impl HttpPeer {
    /// Creates a client for the current thread that sends `key` to peers as the bearer token.
    pub fn open(key: &str) -> Self {
        Self {
            http: HttpClient::pooled(TIMEOUT),
            forwards: HttpClient::unpooled(TIMEOUT),
            key: format!("Bearer {key}"),
        }
    }

    /// Returns the bytes of control exchanges in both directions, including HTTP heads.
    pub fn control_bytes(&self) -> u64 {
        self.http.transferred_bytes()
    }

    /// Sends a message and reads the reply within `timeout`, body included.
    async fn post<Q: Serialize>(
        &self,
        at: SocketAddr,
        path: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<bytes::Bytes, ClientError> {
        let body = to_msgpack(message)?;
        let req = self.http.request(Method::POST, at, path).timeout(timeout);
        let req = req.insert_header(("authorization", self.key.as_str()));
        let started = Instant::now();
        let response = self.http.send(req, body.into()).await?;
        match response.status() {
            OK => response.bytes(timeout.saturating_sub(started.elapsed())).await,
            status => Err(ClientError::Status { status }),
        }
    }
}

impl Peer for HttpPeer {
    async fn digest(
        &self,
        at: SocketAddr,
        digest: &DigestMessage,
    ) -> Result<DigestReply, ClientError> {
        let body = self.post(at, "/peer/digest", digest, TIMEOUT).await?;
        Ok(from_msgpack(&body)?)
    }

    async fn config(
        &self,
        at: SocketAddr,
        request: &ConfigRequest,
    ) -> Result<ConfigReply, ClientError> {
        let body = self.post(at, "/peer/config", request, TIMEOUT).await?;
        Ok(from_msgpack(&body)?)
    }

    async fn vms(
        &self,
        at: SocketAddr,
        request: &VmListRequest,
    ) -> Result<VmListReply, ClientError> {
        let body = self.post(at, "/peer/vms", request, TIMEOUT).await?;
        Ok(from_msgpack(&body)?)
    }

    async fn feed(
        &self,
        at: SocketAddr,
        request: &FeedRequest,
        timeout: Duration,
    ) -> Result<FeedReply, ClientError> {
        let body = self.post(at, "/peer/feed", request, timeout).await?;
        Ok(from_msgpack(&body)?)
    }

    async fn forward(
        &self,
        at: SocketAddr,
        request: &ForwardRequest,
        timeout: Duration,
    ) -> Result<ForwardReply, ClientError> {
        let body = to_msgpack(request)?;
        let req = self.forwards.request(Method::POST, at, "/peer/forward").timeout(timeout);
        let req = req.insert_header(("authorization", self.key.as_str()));
        let response = self.forwards.send(req, body.into()).await?;
        match response.status() {
            OK => Ok(from_msgpack(&response.bytes(TIMEOUT).await?)?),
            status => Err(ClientError::Status { status }),
        }
    }
}
