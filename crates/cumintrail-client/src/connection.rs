//! A connection to a target that carries one exchange at a time; docs/DESIGN.md, "Relayed calls".
//!
//! A connection is not reused after bytes beyond the end of a response, a truncated response or an
//! incompletely written request, so that no response is ever assigned to another call.

use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode};
use bytes::{Buf, Bytes, BytesMut};
use cumintrail_types::since_boot;
use derive_more::Display;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder};

use crate::{ClientError, HeldBytes};

/// The time that sent bytes may stay unacknowledged before the other end counts as unreachable.
///
/// Links of a deployment acknowledge within milliseconds; this limit tolerates two consecutive
/// packet losses.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The delay before the first keep-alive probe of an idle connection, and between probes.
pub(crate) const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which the system closes a connection.
const KEEPALIVE_PROBES: u32 = 2;
/// The keep-alive timeout that is assumed for a target that announces none.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
const READ_SIZE_BYTES: usize = 16 << 10;
/// The fill level of the output buffer from which no further body chunk is queued.
const MAX_OUTPUT_BUFFER_BYTES: usize = 64 << 10;
/// The body length up to which a response that is not wanted is read.
pub const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// The bytes of interim responses, or of framing without content in between, from which a response
/// is malformed. They are not kept, but a target that sends them without end would keep its caller
/// waiting and this process busy.
const MAX_OVERHEAD_BYTES: usize = 64 << 10;

/// Identifies a connection for as long as the process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionId(u64);

impl ConnectionId {
    fn next() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        Self(NEXT.fetch_add(1, Ordering::Relaxed))
    }
}

/// An HTTP/1.1 connection that carries one exchange with a target at a time.
#[derive(Debug)]
pub struct Connection {
    id: ConnectionId,
    stream: TcpStream,
    address: SocketAddr,
    config: ServiceConfig,
    input: BytesMut,
    /// Counts an incomplete head as held.
    held: Option<HeldBytes>,
    output: BytesMut,
    encoder: ClientCodec,
    read_state: ReadState,
    /// Whether the request is a `HEAD`, whose response has no body.
    is_head_request: bool,
    /// Whether the whole request was queued for writing.
    request_complete: bool,
    write_failed: bool,
    read_closed: bool,
    /// Whether [`Connection::awaits_bytes`] met a reset, after which a read sees an end.
    was_reset: bool,
    framing: Framing,
    /// The bytes received since the exchange or the last content began that are no content.
    overhead: usize,
    keep_alive: Option<Duration>,
    exchange_count: u32,
    /// The name of the process that it was opened for.
    listed: Option<Arc<str>>,
    /// The name of the process that responded to an identity request on it.
    process: Option<Arc<str>>,
    /// The name of the process that responded at its address before it was opened.
    earlier_process: Option<Arc<str>>,
    /// When the connection was opened, in time since the VM's boot.
    opened: Duration,
    /// Time since the VM's boot, including suspension, in which the target's timeout elapses too.
    last_used: Duration,
}

/// Describes what marks the end of a response, as log lines show it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Framing {
    /// The end of its head.
    #[display("head")]
    Bodiless,
    /// A length that is known in advance.
    #[display("length")]
    Length,
    /// The last chunk.
    #[display("chunked")]
    Chunked,
    /// The end of the connection.
    #[display("close")]
    Close,
}

/// The part of a response that is read next.
#[derive(Debug)]
enum ReadState {
    Head(ClientCodec),
    Body(BodyCodec),
    /// A body that ends when the target closes the connection.
    UntilClosed,
    Complete,
}

/// The next part of a response body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyPart {
    /// Bytes of the body.
    Chunk(Bytes),
    /// The body is complete.
    End,
    /// Nothing has arrived yet.
    Pending,
}

/// Wraps the library's body decoder, which does not implement `Debug`.
struct BodyCodec(ClientPayloadCodec);

impl std::fmt::Debug for BodyCodec {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("BodyCodec")
    }
}

impl Drop for Connection {
    /// Resets a connection that is given up during an exchange.
    ///
    /// After a normal close, the system goes on to deliver the bytes of the request. Behind a cut
    /// link that may be seconds later, when the target must not receive it any more.
    fn drop(&mut self) {
        if !matches!(self.read_state, ReadState::Complete) {
            // The socket may be closed already, and is closed normally if this fails.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl Connection {
    /// Connects within a time limit; a failure is always [`ClientError::NotSent`].
    pub async fn open(
        address: SocketAddr,
        timeout: Duration,
        config: ServiceConfig,
    ) -> Result<Self, ClientError> {
        let connected = actix_rt::time::timeout(timeout, TcpStream::connect(address)).await;
        let stream = connected.ok().and_then(Result::ok).ok_or(ClientError::NotSent)?;
        configure_socket(&stream).map_err(|_| ClientError::NotSent)?;
        Ok(Self {
            id: ConnectionId::next(),
            stream,
            address,
            encoder: ClientCodec::new(config.clone()),
            read_state: ReadState::Complete,
            is_head_request: false,
            config,
            input: BytesMut::new(),
            held: None,
            output: BytesMut::new(),
            request_complete: true,
            write_failed: false,
            read_closed: false,
            was_reset: false,
            framing: Framing::Bodiless,
            overhead: 0,
            keep_alive: None,
            exchange_count: 0,
            listed: None,
            process: None,
            earlier_process: None,
            opened: since_boot(),
            last_used: since_boot(),
        })
    }

    /// Returns the identity of the connection.
    pub const fn id(&self) -> ConnectionId {
        self.id
    }

    /// Returns the target's address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether an exchange was started on this connection before.
    pub const fn has_been_used(&self) -> bool {
        self.exchange_count > 0
    }

    /// Returns the time since the connection was opened.
    pub fn age(&self) -> Duration {
        since_boot().saturating_sub(self.opened)
    }

    /// Records the name of the process that the connection is opened for.
    #[must_use]
    pub fn opened_for(mut self, listed: Arc<str>) -> Self {
        self.listed = Some(listed);
        self
    }

    /// Returns the name of the process that the connection was opened for.
    pub const fn listed(&self) -> Option<&Arc<str>> {
        self.listed.as_ref()
    }

    /// Returns the name of the process that the connection leads to, once it is known.
    pub const fn process(&self) -> Option<&Arc<str>> {
        self.process.as_ref()
    }

    /// Records the name of the process that the connection leads to.
    pub fn set_process(&mut self, process: Arc<str>) {
        self.process = Some(process);
    }

    /// Records the name of the process that responded to an identity request at the address before the
    /// connection was opened.
    #[must_use]
    pub fn opened_after(mut self, process: Arc<str>) -> Self {
        self.earlier_process = Some(process);
        self
    }

    /// Returns the name of the process that responded at the address before the connection was opened,
    /// if one was asked.
    ///
    /// The connection leads to it, unless it has ended since.
    pub const fn earlier_process(&self) -> Option<&Arc<str>> {
        self.earlier_process.as_ref()
    }

    /// Counts incomplete heads of responses as held; a head for which there is no room is malformed.
    #[must_use]
    pub fn with_held_bytes(mut self, held: HeldBytes) -> Self {
        self.held = Some(held);
        self
    }

    /// Starts an exchange; the request is written while [`Connection::read_head`] is awaited.
    pub fn start_exchange(&mut self, head: RequestHead, size: BodySize) -> Result<(), ClientError> {
        self.exchange_count += 1;
        self.overhead = 0;
        self.is_head_request = head.method == Method::HEAD;
        self.read_state = ReadState::Head(ClientCodec::new(self.config.clone()));
        self.request_complete = matches!(size, BodySize::None | BodySize::Sized(0));
        self.encoder = ClientCodec::new(self.config.clone());
        let item = Message::Item((RequestHeadType::Owned(head), size));
        self.encoder.encode(item, &mut self.output).map_err(|_| ClientError::NotSent)
    }

    /// Queues a chunk of the request body; `None` ends the body.
    pub fn queue_body(&mut self, chunk: Option<Bytes>) -> Result<(), ClientError> {
        self.request_complete |= chunk.is_none();
        self.encoder
            .encode(Message::Chunk(chunk), &mut self.output)
            .map_err(|_| ClientError::ConnectionLost)
    }

    /// Returns whether another chunk of the request body may be queued.
    pub fn can_queue_body(&self) -> bool {
        self.output.len() < MAX_OUTPUT_BUFFER_BYTES && !self.write_failed
    }

    /// Reads the head of the next response, skipping interim responses.
    ///
    /// Cancel safe: a cancelled read loses no bytes and may be repeated.
    pub async fn read_head(&mut self) -> Result<ResponseHead, ClientError> {
        loop {
            match self.decode_head()? {
                Some(head) => return Ok(head),
                None => self.transfer_ready_bytes().await?,
            }
        }
    }

    /// Reads the head of the next response; if `wants_room` is set, returns `None` as soon as a chunk
    /// of the request body may be queued.
    ///
    /// Cancel safe, like [`Connection::read_head`].
    pub async fn read_head_or_room(
        &mut self,
        wants_room: bool,
    ) -> Result<Option<ResponseHead>, ClientError> {
        loop {
            match self.decode_head()? {
                None if wants_room && self.can_queue_body() => return Ok(None),
                None => self.transfer_ready_bytes().await?,
                head => return Ok(head),
            }
        }
    }

    fn decode_head(&mut self) -> Result<Option<ResponseHead>, ClientError> {
        loop {
            let ReadState::Head(codec) = &mut self.read_state else {
                return Err(ClientError::ConnectionLost);
            };
            let before = self.input.len();
            match codec.decode(&mut self.input) {
                Ok(Some(head)) if is_interim(&head) => self.count_overhead(before)?,
                Ok(Some(head)) => {
                    self.start_body(&head)?;
                    self.hold(0)?;
                    return Ok(Some(head));
                }
                Ok(None) if self.read_closed => return Err(ClientError::ConnectionLost),
                Ok(None) => return self.hold(self.input.len()).map(|()| None),
                Err(_) => return Err(ClientError::Malformed),
            }
        }
    }

    fn hold(&mut self, bytes: usize) -> Result<(), ClientError> {
        let has_room = self.held.as_mut().is_none_or(|held| held.hold(bytes));
        if has_room { Ok(()) } else { Err(ClientError::Malformed) }
    }

    fn start_body(&mut self, head: &ResponseHead) -> Result<(), ClientError> {
        let ReadState::Head(codec) = std::mem::replace(&mut self.read_state, ReadState::Complete)
        else {
            return Ok(());
        };
        self.keep_alive = keep_alive_timeout(head);
        (self.framing, self.read_state) = match codec.message_type() {
            _ if self.is_head_request => (Framing::Bodiless, ReadState::Complete),
            // The library supports such responses of HTTP/1.0 only.
            _ if ends_at_close(head) => (Framing::Close, ReadState::UntilClosed),
            // The library drops the length of a response that offers an upgrade.
            MessageType::None if declares_body(head) => {
                self.read_state = ReadState::Head(codec);
                return Err(ClientError::Malformed);
            }
            MessageType::None => (Framing::Bodiless, ReadState::Complete),
            MessageType::Payload | MessageType::Stream => {
                (framing(head), ReadState::Body(BodyCodec(codec.into_payload_codec())))
            }
        };
        Ok(())
    }

    /// Returns what marks the end of the last response whose head was read.
    pub const fn framing(&self) -> Framing {
        self.framing
    }

    /// Reads the next chunk of the response body; `None` once the body is complete.
    ///
    /// Cancel safe: a cancelled read loses no bytes and may be repeated.
    pub async fn read_chunk(&mut self) -> Result<Option<Bytes>, ClientError> {
        loop {
            match self.decode_chunk()? {
                BodyPart::Chunk(chunk) => return Ok(Some(chunk)),
                BodyPart::End => return Ok(None),
                BodyPart::Pending => self.transfer_ready_bytes().await?,
            }
        }
    }

    /// Reads the next part of the response body; if `wants_room` is set, returns
    /// [`BodyPart::Pending`] as soon as a chunk of the request body may be queued.
    ///
    /// Cancel safe, like [`Connection::read_chunk`].
    pub async fn read_chunk_or_room(&mut self, wants_room: bool) -> Result<BodyPart, ClientError> {
        loop {
            match self.decode_chunk()? {
                BodyPart::Pending if wants_room && self.can_queue_body() => {
                    return Ok(BodyPart::Pending);
                }
                BodyPart::Pending => self.transfer_ready_bytes().await?,
                part => return Ok(part),
            }
        }
    }

    /// Counts the bytes that were decoded since the input had `before` bytes.
    fn count_overhead(&mut self, before: usize) -> Result<(), ClientError> {
        self.overhead += before - self.input.len();
        if self.overhead > MAX_OVERHEAD_BYTES { Err(ClientError::Malformed) } else { Ok(()) }
    }

    fn decode_chunk(&mut self) -> Result<BodyPart, ClientError> {
        let before = self.input.len();
        match &mut self.read_state {
            ReadState::Complete => Ok(BodyPart::End),
            ReadState::Head(_) => Err(ClientError::ConnectionLost),
            ReadState::UntilClosed if !self.input.is_empty() => {
                Ok(BodyPart::Chunk(self.input.split().freeze()))
            }
            // A failed write consumes the error of a reset, after which a read sees an end.
            ReadState::UntilClosed if self.read_closed && (self.write_failed || self.was_reset) => {
                Err(ClientError::ConnectionLost)
            }
            ReadState::UntilClosed if self.read_closed => {
                self.keep_alive = None;
                self.read_state = ReadState::Complete;
                Ok(BodyPart::End)
            }
            ReadState::UntilClosed => Ok(BodyPart::Pending),
            ReadState::Body(codec) => match codec.0.decode(&mut self.input) {
                Ok(Some(Some(chunk))) => {
                    self.overhead = 0;
                    Ok(BodyPart::Chunk(chunk))
                }
                Ok(Some(None)) => {
                    self.read_state = ReadState::Complete;
                    Ok(BodyPart::End)
                }
                Ok(None) if self.read_closed => Err(ClientError::ConnectionLost),
                Ok(None) => self.count_overhead(before).map(|()| BodyPart::Pending),
                Err(_) => Err(ClientError::Malformed),
            },
        }
    }

    /// Prepares to read the next response, after one to another call was read completely.
    pub fn expect_response(&mut self) {
        self.read_state = ReadState::Head(ClientCodec::new(self.config.clone()));
    }

    /// Discards what has arrived of the response; returns whether that is all of it.
    pub fn discard_arrived(&mut self) -> bool {
        let mut remaining = MAX_DISCARDED_BYTES;
        loop {
            match self.decode_chunk() {
                Ok(BodyPart::End) => return true,
                Ok(BodyPart::Chunk(chunk)) if chunk.len() <= remaining => remaining -= chunk.len(),
                Ok(BodyPart::Pending) if self.receive().is_some_and(|read| read > 0) => {}
                Ok(BodyPart::Chunk(_) | BodyPart::Pending) | Err(_) => return false,
            }
        }
    }

    /// Returns how long the idle connection may be reused; `None` if it must be closed.
    ///
    /// Bytes after the end of the response belong to no request, so they rule out reuse.
    pub fn reusable_for(&self) -> Option<Duration> {
        let clean = matches!(self.read_state, ReadState::Complete)
            && self.request_complete
            && self.input.is_empty()
            && self.output.is_empty()
            && !self.write_failed
            && !self.read_closed;
        self.keep_alive.filter(|_| clean)
    }

    /// Returns whether the idle connection is still open and has received no bytes.
    pub fn is_open_without_input(&mut self) -> bool {
        let read = self.stream.try_read_buf(&mut self.input);
        matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits until the target closes the idle connection or sends unsolicited bytes.
    ///
    /// Cancel safe.
    pub async fn idle_end(&mut self) {
        while self.stream.readable().await.is_ok() && self.is_open_without_input() {}
    }

    /// Returns whether the target has not closed the connection and everything that it sent was read.
    ///
    /// Behind unread bytes, the system of a target that has ended may still have more to send.
    pub fn awaits_bytes(&mut self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => !self.read_closed,
            Ok(_) => false,
            Err(_) => {
                self.was_reset = true;
                false
            }
        }
    }

    /// Reads what has arrived and returns its size, zero for the end of the input; `None` if nothing
    /// has arrived.
    fn receive(&mut self) -> Option<usize> {
        self.input.reserve(READ_SIZE_BYTES);
        match self.stream.try_read_buf(&mut self.input) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return None,
            Ok(0) => self.read_closed = true,
            Ok(read) => return Some(read),
            // Later reads return the end of the input.
            Err(_) => (self.read_closed, self.was_reset) = (true, true),
        }
        Some(0)
    }

    /// Records the end of an exchange and frees the buffers.
    pub fn mark_idle(&mut self) {
        self.last_used = since_boot();
        (self.input, self.output) = (BytesMut::new(), BytesMut::new());
    }

    /// Returns the time since the last exchange ended, or since the connection was opened.
    pub fn idle_time(&self) -> Duration {
        since_boot().saturating_sub(self.last_used)
    }

    /// Makes the system acknowledge the bytes of a response as they arrive.
    ///
    /// A target that does not disable Nagle's algorithm sends the rest of a response only when its
    /// start is acknowledged, and loses it if it resets the connection before.
    fn acknowledge_at_once(&self) {
        // Without it, the response is later.
        let _ = SockRef::from(&self.stream).set_tcp_quickack(true);
    }

    /// Waits until the socket is readable or, with output pending, writable; then transfers bytes.
    async fn transfer_ready_bytes(&mut self) -> Result<(), ClientError> {
        let has_output = !self.output.is_empty() && !self.write_failed;
        let interest =
            if has_output { Interest::READABLE | Interest::WRITABLE } else { Interest::READABLE };
        let ready = self.stream.ready(interest).await.map_err(|_| ClientError::ConnectionLost)?;
        if has_output && ready.is_writable() {
            match self.stream.try_write(&self.output) {
                Ok(written) => {
                    self.output.advance(written);
                    self.acknowledge_at_once();
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                // The target may have responded before the end of the request body; that response
                // is read first.
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

/// Disables Nagle's algorithm and lets the system close a connection to an unreachable target.
pub(crate) fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes.with_retries(KEEPALIVE_PROBES))?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Returns the framing of a response whose headers declare a body.
fn framing(head: &ResponseHead) -> Framing {
    let is_chunked = head.headers().contains_key(TRANSFER_ENCODING);
    if is_chunked { Framing::Chunked } else { Framing::Length }
}

/// Returns whether another response to the same request follows.
fn is_interim(head: &ResponseHead) -> bool {
    head.status.is_informational() && head.status != StatusCode::SWITCHING_PROTOCOLS
}

/// Returns whether only the closing of the connection marks the end of the body.
fn ends_at_close(head: &ResponseHead) -> bool {
    let encoding = head.headers().get(TRANSFER_ENCODING);
    let encoded = encoding.is_some_and(|value| !value.as_bytes().eq_ignore_ascii_case(b"identity"));
    let framed = head.headers().contains_key(CONTENT_LENGTH) || encoded;
    !framed && may_have_body(head) && !head.status.is_informational()
}

/// Returns whether the head declares a body that is not empty.
fn declares_body(head: &ResponseHead) -> bool {
    let length = head.headers().get(CONTENT_LENGTH);
    may_have_body(head) && length.is_some_and(|length| length.as_bytes().iter().any(|b| *b != b'0'))
}

fn may_have_body(head: &ResponseHead) -> bool {
    head.status != StatusCode::NO_CONTENT && head.status != StatusCode::NOT_MODIFIED
}

/// Returns the target's keep-alive timeout; `None` if it closes the connection after the response.
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
