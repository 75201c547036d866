//! Clients of plain services, over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, RequestHead};
use bytes::Bytes;
use cumintrail_wire::record::ResponseRecord;

use crate::{ClientError, single_use};

/// Headers of a single connection or of the framing of its messages, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 12] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The HTTP method.
    pub method: Method,
    /// The path below the service's root, including the query.
    pub path: String,
    /// The request headers, of which the hop-by-hop headers are not sent.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The request body.
    pub body: Bytes,
    /// The time limit for sending the request and reading the whole response.
    pub response_timeout: Duration,
}

/// The complete response of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The response headers, without hop-by-hop headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The response body.
    pub body: Bytes,
}

impl From<&ServiceResponse> for ResponseRecord {
    fn from(response: &ServiceResponse) -> Self {
        let headers = response.headers.iter();
        let text = headers.filter_map(|(n, v)| Some((n.to_string(), v.to_str().ok()?.to_owned())));
        Self { status: response.status, headers: text.collect(), body: (&*response.body).into() }
    }
}

impl From<ResponseRecord> for ServiceResponse {
    fn from(record: ResponseRecord) -> Self {
        let headers = record.headers.into_iter();
        let headers = headers.filter_map(|(n, v)| Some((n.parse().ok()?, v.parse().ok()?)));
        Self { status: record.status, headers: headers.collect(), body: record.body.into() }
    }
}

/// A client of plain services.
pub trait Service {
    /// Sends a call once, on a new connection, and reads the whole response.
    async fn call(
        &self,
        at: SocketAddr,
        call: &ServiceCall,
    ) -> Result<ServiceResponse, ClientError>;
}

/// An HTTP client of plain services that opens a connection per call.
pub struct HttpService;

impl HttpService {
    /// Creates a client.
    pub const fn open() -> Self {
        Self
    }
}

impl Service for HttpService {
    async fn call(
        &self,
        at: SocketAddr,
        call: &ServiceCall,
    ) -> Result<ServiceResponse, ClientError> {
        let mut head = RequestHead::default();
        head.method = call.method.clone();
        head.uri = call.path.parse().map_err(|_| ClientError::NotSent)?;
        for (name, value) in call.headers.iter().filter(|(name, _)| is_end_to_end(name)) {
            head.headers.append(name.clone(), value.clone());
        }
        let (head, body) =
            single_use::exchange(at, head, call.body.clone(), call.response_timeout).await?;
        let headers = head.headers().iter().filter(|(name, _)| is_end_to_end(name));
        let headers = headers.map(|(name, value)| (name.clone(), value.clone())).collect();
        Ok(ServiceResponse { status: head.status.as_u16(), headers, body })
    }
}

/// Returns whether a header is end-to-end, and thus forwarded; the others are hop-by-hop.
pub fn is_end_to_end(name: &HeaderName) -> bool {
    !HOP_BY_HOP_HEADERS.contains(&name.as_str())
}
