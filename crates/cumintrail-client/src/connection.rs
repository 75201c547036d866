//! A connection to a target that carries one exchange at a time; docs/DESIGN.md, "Relayed calls".
//!
//! Bytes beyond the end of an answer, an answer that broke off and a request that was not written
//! in full make a connection unusable, so that no answer is ever taken for that of another call.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};
use actix_http::{RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode};
use bytes::{Buf, Bytes, BytesMut};
use cumintrail_types::since_boot;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder};

use crate::ClientError;

/// How long sent bytes may stay unacknowledged before the other end counts as unreachable.
///
/// Links of a deployment acknowledge within milliseconds; this leaves room for two losses in a row.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The pause before and between probes of an idle connection, which find silent ones.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection counts as broken.
const KEEPALIVE_PROBES: u32 = 2;
/// How long an idle connection may be used again if the target names no limit.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// The bytes read at once.
const READ_SIZE_BYTES: usize = 16 << 10;
/// Request bytes that may wait to be written.
const MAX_OUTPUT_BUFFER_BYTES: usize = 64 << 10;
/// The most of a foreign answer that is read to get past it.
const MAX_DISCARDED_BYTES: usize = 256 << 10;

/// Carries one exchange with a target at a time.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    at: SocketAddr,
    config: ServiceConfig,
    input: BytesMut,
    output: BytesMut,
    encoder: ClientCodec,
    read_state: ReadState,
    /// Whether all of the request was queued for writing.
    request_complete: bool,
    write_failed: bool,
    read_closed: bool,
    keep_alive: Option<Duration>,
    exchange_count: u32,
    /// Since the VM's start: the target counts the time of a suspension too.
    last_used: Duration,
}

/// Tells which part of an answer comes next.
#[derive(Debug)]
enum ReadState {
    Head(ClientCodec),
    Body(BodyCodec),
    /// A body that only the end of the connection ends.
    UntilClosed,
    Complete,
}

/// The library's decoder of bodies, which has no `Debug` of its own.
struct BodyCodec(ClientPayloadCodec);

impl std::fmt::Debug for BodyCodec {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("BodyCodec")
    }
}

impl Connection {
    /// Connects within a time limit; no byte of a request has left if that fails.
    pub async fn open(
        at: SocketAddr,
        timeout: Duration,
        config: ServiceConfig,
    ) -> Result<Self, ClientError> {
        let connected = actix_rt::time::timeout(timeout, TcpStream::connect(at)).await;
        let stream = connected.ok().and_then(Result::ok).ok_or(ClientError::NotSent)?;
        configure_socket(&stream).map_err(|_| ClientError::NotSent)?;
        Ok(Self {
            stream,
            at,
            encoder: ClientCodec::new(config.clone()),
            read_state: ReadState::Complete,
            config,
            input: BytesMut::new(),
            output: BytesMut::new(),
            request_complete: true,
            write_failed: false,
            read_closed: false,
            keep_alive: None,
            exchange_count: 0,
            last_used: since_boot(),
        })
    }

    /// Returns the target's address.
    pub const fn address(&self) -> SocketAddr {
        self.at
    }

    /// Tells whether an exchange was carried before.
    pub const fn has_been_used(&self) -> bool {
        self.exchange_count > 0
    }

    /// Begins an exchange; the bytes leave as [`Connection::read_head`] is awaited.
    pub fn start_exchange(&mut self, head: RequestHead, size: BodySize) -> Result<(), ClientError> {
        self.exchange_count += 1;
        self.read_state = ReadState::Head(ClientCodec::new(self.config.clone()));
        self.request_complete = matches!(size, BodySize::None | BodySize::Sized(0));
        self.encoder = ClientCodec::new(self.config.clone());
        let item = Message::Item((RequestHeadType::Owned(head), size));
        self.encoder.encode(item, &mut self.output).map_err(|_| ClientError::NotSent)
    }

    /// Queues a part of the request's body, or its end.
    pub fn queue_body(&mut self, chunk: Option<Bytes>) -> Result<(), ClientError> {
        self.request_complete |= chunk.is_none();
        self.encoder
            .encode(Message::Chunk(chunk), &mut self.output)
            .map_err(|_| ClientError::ConnectionLost)
    }

    /// Tells whether more of the request's body may be queued.
    pub fn can_queue_body(&self) -> bool {
        self.output.len() < MAX_OUTPUT_BUFFER_BYTES && !self.write_failed
    }

    /// Reads the head of the next answer.
    ///
    /// Cancelling loses nothing; the call may be repeated.
    pub async fn read_head(&mut self) -> Result<ResponseHead, ClientError> {
        loop {
            let ReadState::Head(codec) = &mut self.read_state else {
                return Err(ClientError::ConnectionLost);
            };
            match codec.decode(&mut self.input) {
                Ok(Some(head)) if head.status == StatusCode::CONTINUE => {}
                Ok(Some(head)) => {
                    self.start_body(&head);
                    return Ok(head);
                }
                Ok(None) if self.read_closed => return Err(ClientError::ConnectionLost),
                Ok(None) => self.transfer_ready_bytes().await?,
                Err(_) => return Err(ClientError::Malformed),
            }
        }
    }

    fn start_body(&mut self, head: &ResponseHead) {
        let ReadState::Head(codec) = std::mem::replace(&mut self.read_state, ReadState::Complete)
        else {
            return;
        };
        self.keep_alive = keep_alive_timeout(head);
        self.read_state = match codec.message_type() {
            MessageType::None if ends_at_close(head) => ReadState::UntilClosed,
            MessageType::None => ReadState::Complete,
            _ => ReadState::Body(BodyCodec(codec.into_payload_codec())),
        };
    }

    /// Reads the next part of the answer's body; nothing at its proper end.
    ///
    /// Cancelling loses nothing; the call may be repeated.
    pub async fn read_chunk(&mut self) -> Result<Option<Bytes>, ClientError> {
        loop {
            match &mut self.read_state {
                ReadState::Complete => return Ok(None),
                ReadState::Head(_) => return Err(ClientError::ConnectionLost),
                ReadState::UntilClosed if !self.input.is_empty() => {
                    return Ok(Some(self.input.split().freeze()));
                }
                ReadState::UntilClosed if self.read_closed => {
                    self.keep_alive = None;
                    self.read_state = ReadState::Complete;
                    return Ok(None);
                }
                ReadState::UntilClosed => {}
                ReadState::Body(codec) => match codec.0.decode(&mut self.input) {
                    Ok(Some(Some(chunk))) => return Ok(Some(chunk)),
                    Ok(Some(None)) => {
                        self.read_state = ReadState::Complete;
                        return Ok(None);
                    }
                    Ok(None) if self.read_closed => return Err(ClientError::ConnectionLost),
                    Ok(None) => {}
                    Err(_) => return Err(ClientError::Malformed),
                },
            }
            self.transfer_ready_bytes().await?;
        }
    }

    /// Reads past an answer that belongs to no request here, and expects another one.
    pub async fn skip_response(&mut self) -> Result<(), ClientError> {
        let mut remaining = MAX_DISCARDED_BYTES;
        while let Some(chunk) = self.read_chunk().await? {
            remaining = remaining.checked_sub(chunk.len()).ok_or(ClientError::Malformed)?;
        }
        self.read_state = ReadState::Head(ClientCodec::new(self.config.clone()));
        Ok(())
    }

    /// Tells whether another exchange may follow, and until when.
    ///
    /// Bytes after the end of the answer belong to no request, so nothing may follow them.
    pub fn reusable_for(&self) -> Option<Duration> {
        let clean = matches!(self.read_state, ReadState::Complete)
            && self.request_complete
            && self.input.is_empty()
            && self.output.is_empty()
            && !self.write_failed
            && !self.read_closed;
        self.keep_alive.filter(|_| clean)
    }

    /// Tells whether nothing arrived and nobody closed while the connection was idle.
    pub fn is_open_without_input(&mut self) -> bool {
        let read = self.stream.try_read_buf(&mut self.input);
        matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Notes that an exchange ended now.
    pub fn mark_idle(&mut self) {
        self.last_used = since_boot();
        // An idle connection holds no buffers.
        (self.input, self.output) = (BytesMut::new(), BytesMut::new());
    }

    /// Returns how long the connection has been idle.
    pub fn idle_time(&self) -> Duration {
        since_boot().saturating_sub(self.last_used)
    }

    /// Moves bytes in whichever direction is possible.
    async fn transfer_ready_bytes(&mut self) -> Result<(), ClientError> {
        let has_output = !self.output.is_empty() && !self.write_failed;
        let interest =
            if has_output { Interest::READABLE | Interest::WRITABLE } else { Interest::READABLE };
        let ready = self.stream.ready(interest).await.map_err(|_| ClientError::ConnectionLost)?;
        if has_output && ready.is_writable() {
            match self.stream.try_write(&self.output) {
                Ok(written) => self.output.advance(written),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                // An answer may have been given before the rest of the body; it is read first.
                Err(_) => self.write_failed = true,
            }
        }
        if ready.is_readable() {
            self.input.reserve(READ_SIZE_BYTES);
            match self.stream.try_read_buf(&mut self.input) {
                Ok(0) => self.read_closed = true,
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return Err(ClientError::ConnectionLost),
            }
        }
        Ok(())
    }
}

/// Lets the system break a connection whose other end became unreachable.
fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes.with_retries(KEEPALIVE_PROBES))?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Tells whether nothing but the end of the connection marks the end of the body.
fn ends_at_close(head: &ResponseHead) -> bool {
    let framed = head.headers().contains_key(CONTENT_LENGTH)
        || head.headers().contains_key(TRANSFER_ENCODING);
    let bodiless = head.status == StatusCode::NO_CONTENT || head.status == StatusCode::NOT_MODIFIED;
    !framed && !bodiless && !head.status.is_informational()
}

/// Returns how long the target keeps the connection open, unless it closes it.
fn keep_alive_timeout(head: &ResponseHead) -> Option<Duration> {
    if !head.keep_alive() {
        return None;
    }
    let header = head.headers().get(HeaderName::from_static("keep-alive"));
    let header = header.and_then(|value| value.to_str().ok());
    let parameters = header.into_iter().flat_map(|text| text.split(','));
    let mut timeouts = parameters.filter_map(|p| p.trim().strip_prefix("timeout=")?.parse().ok());
    Some(timeouts.next().map_or(DEFAULT_KEEP_ALIVE, Duration::from_secs))
}
