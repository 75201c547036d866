//! Clients of model engines, over HTTP and server-sent events.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use cumintrail_control::{RunningCalls, TargetReport};
use cumintrail_types::{FencingNumber, WeightVersion};
use cumintrail_wire::engine::{
    CALL_ID_HEADER, CacheEvents, ExportRequest, ExportResponse, GenerateRequest, ImportRequest,
    ImportResponse, LoadOrder, ProbeResponse, Report,
};

use crate::{ClientError, HttpClient, ResponseStream};

const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// The size limit of reports and cache events.
const MAX_CONTROL_BYTES: usize = 8 << 20;
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(60);
const MAX_STREAM_DURATION: Duration = Duration::from_secs(3_600);
const OK: u16 = 200;

/// A client of model engines.
pub trait Engine {
    /// Starts a streamed response, whose head must arrive within `head_timeout`.
    async fn generate(
        &self,
        at: SocketAddr,
        request: &GenerateRequest,
        head_timeout: Duration,
    ) -> Result<ResponseStream, ClientError>;
    /// Resumes a streamed response after event `last_event`, on a new connection.
    async fn resume(
        &self,
        at: SocketAddr,
        call: &str,
        last_event: u32,
        head_timeout: Duration,
    ) -> Result<ResponseStream, ClientError>;
    /// Cancels a streamed response.
    async fn cancel(&self, at: SocketAddr, call: &str) -> Result<(), ClientError>;
    /// Requests the import of a block into the engine; fails after `timeout` without a response.
    async fn import(
        &self,
        at: SocketAddr,
        request: &ImportRequest,
        timeout: Duration,
    ) -> Result<ImportResponse, ClientError>;
    /// Requests the export of a block from the engine to a store.
    async fn export(
        &self,
        at: SocketAddr,
        request: &ExportRequest,
    ) -> Result<ExportResponse, ClientError>;
    /// Reads the load report and, if the engine includes them, the cache events after `after`.
    async fn probe(&self, at: SocketAddr, after: u64) -> Result<ProbeResponse, ClientError>;
    /// Reads the cache events after number `after` from an engine whose report omits them.
    async fn cache_events(&self, at: SocketAddr, after: u64) -> Result<CacheEvents, ClientError>;
    /// Orders the engine to load a weight version; fails after `timeout` without a response.
    async fn order(
        &self,
        at: SocketAddr,
        order: &LoadOrder,
        timeout: Duration,
    ) -> Result<Report, ClientError>;
}

/// An HTTP client of model engines, for use by one thread.
pub struct HttpEngine {
    calls: HttpClient,
    control: HttpClient,
}

impl HttpEngine {
    /// Creates a client for the current thread.
    pub fn open() -> Self {
        Self {
            calls: HttpClient::unpooled(TRANSFER_TIMEOUT),
            control: HttpClient::pooled(CONTROL_TIMEOUT).with_max_body(MAX_CONTROL_BYTES),
        }
    }

    /// Returns the bytes of control exchanges in both directions, including HTTP heads.
    pub fn control_bytes(&self) -> u64 {
        self.control.transferred_bytes()
    }

    async fn stream(
        &self,
        req: awc::ClientRequest,
        body: Vec<u8>,
        call: &str,
    ) -> Result<ResponseStream, ClientError> {
        let response = self.calls.send(req, body.into()).await?;
        if response.status() != OK {
            return Err(response
                .json::<()>(CONTROL_TIMEOUT)
                .await
                .err()
                .unwrap_or(ClientError::Malformed));
        }
        let echoed = response.headers().get(CALL_ID_HEADER).and_then(|v| v.to_str().ok());
        if echoed != Some(call) {
            return Err(ClientError::Malformed);
        }
        Ok(ResponseStream::new(response.into_stream(MAX_STREAM_DURATION)))
    }
}

impl Engine for HttpEngine {
    async fn generate(
        &self,
        at: SocketAddr,
        request: &GenerateRequest,
        head_timeout: Duration,
    ) -> Result<ResponseStream, ClientError> {
        let body = serde_json::to_vec(request).map_err(|_| ClientError::Malformed)?;
        let req = self.calls.request(Method::POST, at, "/v1/generate").timeout(head_timeout);
        let req = req.insert_header((CALL_ID_HEADER, request.call.as_str()));
        self.stream(req, body, &request.call).await
    }

    async fn resume(
        &self,
        at: SocketAddr,
        call: &str,
        last_event: u32,
        head_timeout: Duration,
    ) -> Result<ResponseStream, ClientError> {
        let req = self
            .calls
            .request(Method::GET, at, &format!("/v1/streams/{call}"))
            .timeout(head_timeout);
        let req = req.insert_header(("last-event-id", last_event.to_string()));
        self.stream(req, Vec::new(), call).await
    }

    async fn cancel(&self, at: SocketAddr, call: &str) -> Result<(), ClientError> {
        let req = self.control.request(Method::DELETE, at, &format!("/v1/streams/{call}"));
        self.control.send(req, bytes::Bytes::new()).await.map(|_| ())
    }

    async fn import(
        &self,
        at: SocketAddr,
        request: &ImportRequest,
        timeout: Duration,
    ) -> Result<ImportResponse, ClientError> {
        let exchange = self.calls.exchange(Method::POST, at, "/v1/import", Some(request));
        actix_rt::time::timeout(timeout, exchange).await.unwrap_or(Err(ClientError::Timeout))
    }

    async fn export(
        &self,
        at: SocketAddr,
        request: &ExportRequest,
    ) -> Result<ExportResponse, ClientError> {
        self.calls.exchange(Method::POST, at, "/v1/export", Some(request)).await
    }

    async fn probe(&self, at: SocketAddr, after: u64) -> Result<ProbeResponse, ClientError> {
        let path = format!("/v1/report?after={after}");
        self.control.exchange(Method::GET, at, &path, None::<&()>).await
    }

    async fn cache_events(&self, at: SocketAddr, after: u64) -> Result<CacheEvents, ClientError> {
        let path = format!("/v1/cache-events?after={after}");
        self.control.exchange(Method::GET, at, &path, None::<&()>).await
    }

    async fn order(
        &self,
        at: SocketAddr,
        order: &LoadOrder,
        timeout: Duration,
    ) -> Result<Report, ClientError> {
        let exchange = self.calls.exchange(Method::POST, at, "/v1/orders", Some(order));
        actix_rt::time::timeout(timeout, exchange).await.unwrap_or(Err(ClientError::Timeout))
    }
}

/// An order to a target to load a weight version.
#[derive(Debug, Clone, Copy)]
pub struct LoadRequest<'a> {
    /// The target's address.
    pub address: SocketAddr,
    /// The instance name that the target must have.
    pub instance: &'a str,
    /// The target's name for the model.
    pub model: &'a str,
    /// The weight version to load.
    pub version: WeightVersion,
    /// The fencing number of the lease under which the order is sent.
    pub fencing: FencingNumber,
    /// How calls that run during the load are treated.
    pub running_calls: RunningCalls,
}

/// A client that sends orders to the targets listed in a registry.
pub trait TargetOrders {
    /// Orders a target to load a weight version; the order is sent only if `may_send` returns true.
    async fn load(
        &self,
        request: &LoadRequest<'_>,
        may_send: impl Fn() -> bool,
    ) -> Result<(), ClientError>;
    /// Reads a target's report about itself and one model.
    async fn report(&self, at: SocketAddr, model: &str) -> Result<TargetReport, ClientError>;
}
