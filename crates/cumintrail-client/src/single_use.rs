//! A single exchange on a new connection that detects a truncated response.
//!
//! The HTTP client library treats a closed connection as the end of a chunked body, and it reports
//! some failures after sending as failures to connect. Calls that run at most once must
//! distinguish these cases, so they use the library's codec on a plain TCP connection.

use std::net::SocketAddr;
use std::time::Duration;

use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING};
use actix_http::{ConnectionType, Method, RequestHead, RequestHeadType, ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;

use crate::ClientError;

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
    let connect = TcpStream::connect(at);
    let connected = actix_rt::time::timeout(CONNECT_TIMEOUT.min(timeout), connect).await;
    let stream = connected.ok().and_then(Result::ok).ok_or(ClientError::NotSent)?;
    let exchange = send_and_read(stream, with_connection_close(head, at), body);
    actix_rt::time::timeout(timeout, exchange).await.unwrap_or(Err(ClientError::Timeout))
}

/// Adds the `host` header and `connection: close` to a request head.
fn with_connection_close(mut head: RequestHead, at: SocketAddr) -> RequestHead {
    if let Ok(host) = HeaderValue::from_str(&at.to_string()) {
        head.headers.insert(HOST, host);
    }
    head.set_connection_type(ConnectionType::Close);
    head
}

async fn send_and_read(
    stream: TcpStream,
    head: RequestHead,
    body: Bytes,
) -> Result<(ResponseHead, Bytes), ClientError> {
    let mut framed = Framed::new(stream, ClientCodec::default());
    let bodiless = body.is_empty() && matches!(head.method, Method::GET | Method::HEAD);
    let size = if bodiless { BodySize::None } else { BodySize::Sized(body.len() as u64) };
    let lost = |_| ClientError::ConnectionLost;
    framed.feed(Message::Item((RequestHeadType::Owned(head), size))).await.map_err(lost)?;
    if !body.is_empty() {
        framed.feed(Message::Chunk(Some(body))).await.map_err(lost)?;
    }
    framed.flush().await.map_err(lost)?;

    let head = loop {
        match framed.next().await {
            Some(Ok(head)) if head.status == StatusCode::CONTINUE => {}
            Some(Ok(head)) => break head,
            Some(Err(_)) | None => return Err(ClientError::ConnectionLost),
        }
    };
    if framed.codec_ref().message_type() == MessageType::None {
        return Ok((head, Bytes::new()));
    }
    let body = read_body(framed.into_map_codec(ClientCodec::into_payload_codec), &head).await?;
    Ok((head, body))
}

async fn read_body(
    mut framed: Framed<TcpStream, ClientPayloadCodec>,
    head: &ResponseHead,
) -> Result<Bytes, ClientError> {
    let mut body = BytesMut::new();
    loop {
        match framed.next().await {
            Some(Ok(Some(chunk))) if body.len() + chunk.len() <= MAX_BODY_BYTES => {
                body.extend_from_slice(&chunk);
            }
            Some(Ok(Some(_))) => return Err(ClientError::Malformed),
            Some(Ok(None)) => return Ok(body.freeze()),
            None if ends_at_close(head) => return Ok(body.freeze()),
            Some(Err(_)) | None => return Err(ClientError::ConnectionLost),
        }
    }
}

/// Returns whether only the closing of the connection marks the end of the body.
fn ends_at_close(head: &ResponseHead) -> bool {
    let headers = head.headers();
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}
