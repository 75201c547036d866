//! Clients of store VMs, over HTTP; the bytes of blocks are sent between engines and stores only.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use cumintrail_types::{BlockKey, Sealed};
use cumintrail_wire::store::{ChangesResponse, ListResponse};

use crate::{ClientError, HttpClient};

const TIMEOUT: Duration = Duration::from_secs(2);
/// Entries per page, which limits how much of a store's link one response occupies.
const PAGE: usize = 1_000;

/// A client of store VMs.
pub trait Store {
    /// Reads a page of the sealed blocks that follow `after` in key order.
    async fn list(
        &self,
        at: SocketAddr,
        after: Option<BlockKey>,
    ) -> Result<ListResponse, ClientError>;
    /// Reads a page of the changes (blocks sealed or freed) after change number `after`.
    async fn changes(&self, at: SocketAddr, after: u64) -> Result<ChangesResponse, ClientError>;
    /// Reads the store's incarnation and its number of sealed blocks, without changes.
    async fn summary(&self, at: SocketAddr) -> Result<ChangesResponse, ClientError>;
    /// Frees a block if it still has the write id of `sealed`.
    async fn free(&self, at: SocketAddr, sealed: &Sealed) -> Result<(), ClientError>;
}

/// An HTTP client of store VMs, for use by one thread.
pub struct HttpStore {
    http: HttpClient,
}

impl HttpStore {
    /// Creates a client for the current thread.
    pub fn open() -> Self {
        Self { http: HttpClient::pooled(TIMEOUT) }
    }

    /// Returns the bytes of control exchanges in both directions, including HTTP heads.
    pub fn control_bytes(&self) -> u64 {
        self.http.transferred_bytes()
    }
}

impl Store for HttpStore {
    async fn list(
        &self,
        at: SocketAddr,
        after: Option<BlockKey>,
    ) -> Result<ListResponse, ClientError> {
        let after = after.map(|key| key.to_string()).unwrap_or_default();
        let path = format!("/blocks?after={after}&limit={PAGE}");
        self.http.exchange(Method::GET, at, &path, None::<&()>).await
    }

    async fn changes(&self, at: SocketAddr, after: u64) -> Result<ChangesResponse, ClientError> {
        let path = format!("/changes?after={after}&limit={PAGE}");
        self.http.exchange(Method::GET, at, &path, None::<&()>).await
    }

    async fn summary(&self, at: SocketAddr) -> Result<ChangesResponse, ClientError> {
        self.http.exchange(Method::GET, at, "/changes?after=0&limit=0", None::<&()>).await
    }

    async fn free(&self, at: SocketAddr, sealed: &Sealed) -> Result<(), ClientError> {
        let path = format!("/blocks/{}", sealed.key);
        let tag = format!("\"{}\"", sealed.write_id);
        let req = self.http.request(Method::DELETE, at, &path).insert_header(("if-match", tag));
        self.http.send(req, bytes::Bytes::new()).await.map(|_| ())
    }
}
