//! Clients of the platform's table, object store and VM list, over HTTP.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::Method;
use bytes::Bytes;
use cumintrail_wire::platform::{self, Row, Transaction, TransactionResponse};

use crate::{ClientError, HttpClient};

const TIMEOUT: Duration = Duration::from_millis(1_500);
const OK: u16 = 200;
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;
const NOT_FOUND: u16 = 404;

/// A client of the platform's table.
///
/// A commit that returns an error may have taken effect.
pub trait Table {
    /// Commits a transaction if its conditions are met.
    async fn commit(&self, transaction: &Transaction) -> Result<TransactionResponse, ClientError>;
    /// Reads a row; `None` if it does not exist.
    async fn read(&self, key: &str) -> Result<Option<Row>, ClientError>;
    /// Returns how often the table was restored from an older copy, by the responses so far; zero
    /// if it does not report that.
    ///
    /// Versions of rows are comparable only within one era. A response of an earlier era than the
    /// known one is returned as [`ClientError::EarlierEra`].
    fn era(&self) -> u64 {
        0
    }
}

/// A client of the platform's object store.
pub trait ObjectStore {
    /// Writes an object.
    async fn put(&self, name: &str, body: Bytes) -> Result<(), ClientError>;
    /// Reads an object; `None` if it does not exist.
    async fn get(&self, name: &str) -> Result<Option<Bytes>, ClientError>;
    /// Removes an object; succeeds if it does not exist.
    async fn remove(&self, name: &str) -> Result<(), ClientError>;
}

/// A reader of the platform's VM list, which may be out of date.
pub trait VmListReader {
    /// Reads the list.
    async fn vms(&self) -> Result<platform::VmList, ClientError>;
    /// Reads the list; `None` if its sequence number is still `known`.
    async fn vms_if_changed(&self, known: u64) -> Result<Option<platform::VmList>, ClientError>;
}

/// An HTTP client of the platform, for use by one thread.
pub struct HttpPlatform {
    http: HttpClient,
    table: SocketAddr,
    objects: SocketAddr,
    vm_list: SocketAddr,
}

impl HttpPlatform {
    /// Creates a client for the current thread.
    pub fn open(table: SocketAddr, objects: SocketAddr, vm_list: SocketAddr) -> Self {
        Self { http: HttpClient::pooled(TIMEOUT), table, objects, vm_list }
    }

    /// Returns the bytes of control exchanges in both directions, including HTTP heads.
    pub fn control_bytes(&self) -> u64 {
        self.http.transferred_bytes()
    }
}

impl Table for HttpPlatform {
    async fn commit(&self, transaction: &Transaction) -> Result<TransactionResponse, ClientError> {
        self.http.exchange(Method::POST, self.table, "/table", Some(transaction)).await
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, ClientError> {
        let path = format!("/table/{key}");
        self.http.exchange(Method::GET, self.table, &path, None::<&()>).await
    }
}

impl ObjectStore for HttpPlatform {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), ClientError> {
        let req = self.http.request(Method::PUT, self.objects, &format!("/objects/{name}"));
        let response = self.http.send(req, body).await?;
        match response.status() {
            OK => Ok(()),
            status => Err(ClientError::Status { status }),
        }
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, ClientError> {
        let req = self.http.request(Method::GET, self.objects, &format!("/objects/{name}"));
        let started = Instant::now();
        let response = self.http.send(req, Bytes::new()).await?;
        match response.status() {
            OK => response.bytes(TIMEOUT.saturating_sub(started.elapsed())).await.map(Some),
            NOT_FOUND => Ok(None),
            status => Err(ClientError::Status { status }),
        }
    }

    async fn remove(&self, name: &str) -> Result<(), ClientError> {
        let req = self.http.request(Method::DELETE, self.objects, &format!("/objects/{name}"));
        match self.http.send(req, Bytes::new()).await?.status() {
            OK | NO_CONTENT | NOT_FOUND => Ok(()),
            status => Err(ClientError::Status { status }),
        }
    }
}

impl VmListReader for HttpPlatform {
    async fn vms(&self) -> Result<platform::VmList, ClientError> {
        self.http.exchange(Method::GET, self.vm_list, "/vms", None::<&()>).await
    }

    async fn vms_if_changed(&self, known: u64) -> Result<Option<platform::VmList>, ClientError> {
        let req = self.http.request(Method::GET, self.vm_list, "/vms");
        let req = req.insert_header(("if-none-match", platform::vm_list_etag(known)));
        let started = Instant::now();
        let response = self.http.send(req, Bytes::new()).await?;
        match response.status() {
            NOT_MODIFIED => Ok(None),
            _ => response.json(TIMEOUT.saturating_sub(started.elapsed())).await.map(Some),
        }
    }
}
