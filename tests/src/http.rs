//! A small HTTP server and client for stand-ins and tests.

use std::convert::Infallible;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, HttpService, Method, Request, Response, StatusCode};
use actix_server::{Server, ServerHandle};
use actix_service::{ServiceFactoryExt as _, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// HTTP response of a stand-in.
pub type HttpResponse = Response<BoxBody>;

/// Controls a running HTTP server.
#[derive(Clone)]
pub struct HttpServer {
    /// The address that the server listens on.
    pub address: SocketAddr,
    server: ServerHandle,
}

impl HttpServer {
    /// Stops the server at once and closes all connections.
    pub async fn kill(&self) {
        self.server.stop(false).await;
    }
}

/// Serves `handler` on `address`; port zero selects a free port.
pub fn serve<H, F>(address: SocketAddr, handler: H) -> std::io::Result<HttpServer>
where
    H: Fn(Request) -> F + Clone + Send + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    serve_with(true, address, handler)
}

/// Like [`serve`], but drops the future of a request whose connection the client closes.
pub fn serve_while_open<H, F>(address: SocketAddr, handler: H) -> std::io::Result<HttpServer>
where
    H: Fn(Request) -> F + Clone + Send + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    serve_with(false, address, handler)
}

fn serve_with<H, F>(
    allows_half_closed: bool,
    address: SocketAddr,
    handler: H,
) -> std::io::Result<HttpServer>
where
    H: Fn(Request) -> F + Clone + Send + 'static,
    F: Future<Output = HttpResponse> + 'static,
{
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let service = move || {
        let handler = handler.clone();
        HttpService::build()
            .h1_allow_half_closed(allows_half_closed)
            .finish(fn_service(move |req: Request| {
                let response = handler(req);
                async move { Ok::<_, Infallible>(response.await) }
            }))
            .tcp()
            .map_err(|_| ())
    };
    let server = Server::build()
        .workers(1)
        .disable_signals()
        .shutdown_timeout(0)
        .listen("stand-in", listener, service)?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(HttpServer { address, server: handle })
}

/// Reads a request's body, up to its end or the first error.
pub async fn body(req: &mut Request) -> Bytes {
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    while let Some(Ok(chunk)) = payload.next().await {
        body.extend_from_slice(&chunk);
    }
    body.freeze()
}

/// Parses a request's body as JSON; returns `None` if it is invalid.
pub async fn read<T: DeserializeOwned>(req: &mut Request) -> Option<T> {
    serde_json::from_slice(&body(req).await).ok()
}

/// Returns a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::with_body(status, BoxBody::new(bytes));
    let kind = actix_http::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(actix_http::header::CONTENT_TYPE, kind);
    response
}

/// Returns a response with an empty body.
pub fn empty(status: StatusCode) -> HttpResponse {
    Response::with_body(status, BoxBody::new(Bytes::new()))
}

/// Returns the value of a query parameter, decoded as servers usually do: `+` means a blank.
pub fn query(req: &Request, name: &str) -> Option<String> {
    let mut pairs = form_urlencoded::parse(req.uri().query()?.as_bytes());
    pairs.find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
}

/// Returns the value of a header if it is text.
pub fn header(req: &Request, name: &str) -> Option<String> {
    req.headers().get(name)?.to_str().ok().map(ToOwned::to_owned)
}

/// Describes the response that a client received.
#[derive(Debug, Clone)]
pub struct ClientResponse {
    /// The HTTP status, or zero if no response arrived.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(String, String)>,
    /// The bytes of the body that arrived.
    pub body: Bytes,
    /// Whether the body arrived without an error.
    pub is_complete: bool,
}

impl ClientResponse {
    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new connection and reads the response, within `timeout`.
pub async fn send(
    method: Method,
    at: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
    timeout: Duration,
) -> ClientResponse {
    let none =
        ClientResponse { status: 0, headers: Vec::new(), body: Bytes::new(), is_complete: false };
    let client = awc::Client::builder().disable_timeout().disable_redirects().finish();
    let mut req = client.request(method, format!("http://{at}{path}")).force_close();
    for (name, value) in headers {
        req = req.append_header((*name, *value));
    }
    let exchange = async {
        let Ok(mut response) = req.send_body(body.into()).await else {
            return none.clone();
        };
        let status = response.status().as_u16();
        let headers = response.headers().iter();
        let headers = headers.map(|(n, v)| (n.to_string(), v.to_str().unwrap_or("").to_owned()));
        let headers = headers.collect();
        let (mut text, mut is_complete) = (BytesMut::new(), true);
        while let Some(chunk) = response.next().await {
            match chunk {
                Ok(chunk) => text.extend_from_slice(&chunk),
                Err(_) => is_complete = false,
            }
        }
        ClientResponse { status, headers, body: text.freeze(), is_complete }
    };
    actix_rt::time::timeout(timeout, exchange).await.unwrap_or(none.clone())
}
