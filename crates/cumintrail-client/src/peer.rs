//! Other daemons, over HTTP with `MessagePack`.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use cumintrail_wire::peer::{ConfigReply, ConfigRequest, DigestMessage, DigestReply};
use cumintrail_wire::{from_msgpack, to_msgpack};
use serde::Serialize;

use crate::{ClientError, HttpClient};

const TIMEOUT: Duration = Duration::from_secs(1);
const OK: u16 = 200;

/// Speaks to other daemons.
pub trait Peer {
    /// Sends a digest.
    async fn digest(
        &self,
        at: SocketAddr,
        digest: &DigestMessage,
    ) -> Result<DigestReply, ClientError>;
    /// Asks for a newer configuration.
    async fn config(
        &self,
        at: SocketAddr,
        request: &ConfigRequest,
    ) -> Result<ConfigReply, ClientError>;
}

/// Speaks to peers from one thread.
pub struct HttpPeer {
    http: HttpClient,
    key: String,
}

impl HttpPeer {
    /// Makes a client for the current thread that shows `key` to peers.
    pub fn open(key: &str) -> Self {
        Self { http: HttpClient::pooled(TIMEOUT), key: format!("Bearer {key}") }
    }

    async fn post<Q: Serialize>(
        &self,
        at: SocketAddr,
        path: &str,
        message: &Q,
    ) -> Result<bytes::Bytes, ClientError> {
        let body = to_msgpack(message)?;
        let req = self.http.request(Method::POST, at, path);
        let req = req.insert_header(("authorization", self.key.as_str()));
        let response = self.http.send(req, body.into()).await?;
        match response.status() {
            OK => response.bytes(TIMEOUT).await,
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
        let body = self.post(at, "/peer/digest", digest).await?;
        Ok(from_msgpack(&body)?)
    }

    async fn config(
        &self,
        at: SocketAddr,
        request: &ConfigRequest,
    ) -> Result<ConfigReply, ClientError> {
        let body = self.post(at, "/peer/config", request).await?;
        Ok(from_msgpack(&body)?)
    }
}
