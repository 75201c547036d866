//! One HTTP/1 connection of a caller, on the codec of `actix-http`.

use std::io;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{ConnectionType, KeepAlive, Request, Response, ServiceConfig, Version};
use actix_rt::net::TcpStream;
use actix_rt::time::{Instant, timeout};
use bytes::{Bytes, BytesMut};
use cumintrail_config::CallerLimits;
use cumintrail_types::{Refusal, RefusalCode};
use socket2::SockRef;
use tokio::io::AsyncWriteExt as _;
use tokio::time::timeout_at;
use tokio_util::codec::{Decoder, Encoder};

use crate::held::{HeldConnection, MIN_PROGRESS_BYTES, Port};

/// The limits until a configuration is in force, and for monitoring endpoints.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// The buffer space reserved for each read.
const READ_SIZE_BYTES: usize = 8 << 10;
/// Reading pauses at this size of the input buffer while no body is wanted.
const READ_AHEAD_BYTES: usize = 32 << 10;
/// How long a connection is read after its last response.
///
/// Closing a socket with unread input resets the connection, and the caller could lose the end of
/// the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Describes the input from a caller while its request is handled.
#[derive(Debug)]
pub enum CallerInput {
    /// A chunk of the request body.
    Chunk(Bytes),
    /// The end of the request body.
    BodyEnd,
    /// The caller closed the connection, or reading from it failed.
    Closed,
    /// The rest of the request body cannot be decoded.
    Malformed,
    /// The caller sent too little of the body within the stall limit.
    Stalled,
}

/// The bytes that were transferred in a part of an exchange, and when that must have been enough.
#[derive(Debug, Clone, Copy)]
struct ProgressWindow {
    end: Instant,
    bytes: usize,
}

/// Reads requests from one connection and writes the responses.
pub struct CallerConnection {
    stream: TcpStream,
    /// The entry in the account of what the daemon holds.
    held: HeldConnection,
    /// The size of the current request's head, which its fields keep in memory.
    head_bytes: usize,
    /// The buffers of the current call outside this connection, in bytes.
    buffer_bytes: usize,
    /// Set while the rest of a body is awaited.
    body_window: Option<ProgressWindow>,
    codec: Codec,
    input: BytesMut,
    output: BytesMut,
    stall_limit: Duration,
    /// Whether the body of the current request has not been read to its end.
    body_unread: bool,
    keep_alive: bool,
    /// Whether the caller understands chunks, which show that a streamed response is truncated.
    accepts_chunks: bool,
    /// Whether a response has begun whose end only the end of the connection will mark.
    ends_by_close: bool,
}

impl CallerConnection {
    /// Wraps an accepted connection. Within each `stall_limit`, the caller has to send
    /// [`MIN_PROGRESS_BYTES`] of a body that is awaited, and to accept as many of a response.
    pub fn new(stream: TcpStream, held: HeldConnection, stall_limit: Duration) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let config = ServiceConfig::new(KeepAlive::Os, Duration::ZERO, Duration::ZERO, false, None);
        Ok(Self {
            stream,
            held,
            head_bytes: 0,
            buffer_bytes: 0,
            body_window: None,
            codec: Codec::new(config),
            input: BytesMut::new(),
            output: BytesMut::new(),
            stall_limit,
            body_unread: false,
            keep_alive: true,
            accepts_chunks: true,
            ends_by_close: false,
        })
    }

    /// Reads the head of the next request; `None` if the caller closed the connection or sent
    /// nothing for the idle timeout.
    ///
    /// This method is cancel safe, except while `100 Continue` is being written.
    pub async fn next_request(
        &mut self,
        limits: Option<CallerLimits>,
    ) -> Result<Option<Request>, Refusal> {
        let limits = limits.unwrap_or(DEFAULT_LIMITS);
        self.held.await_caller(true);
        (self.head_bytes, self.buffer_bytes) = (0, 0);
        self.body_window = None;
        if self.input.is_empty() {
            // Frees the buffers of an idle connection.
            (self.input, self.output) = (BytesMut::new(), BytesMut::new());
            match timeout(limits.idle_timeout, self.read()).await {
                Ok(Ok(read)) if read > 0 => {}
                _ => return Ok(None),
            }
        }
        match timeout(limits.head_timeout, self.read_request(limits.head_bytes)).await {
            Ok(read) => read,
            Err(_) => Err(Refusal::not_run(RefusalCode::RequestTimeout)),
        }
    }

    async fn read_request(&mut self, limit: usize) -> Result<Option<Request>, Refusal> {
        let too_large = Refusal::not_run(RefusalCode::HeadTooLarge);
        loop {
            let before = self.input.len();
            match self.codec.decode(&mut self.input) {
                Ok(Some(Message::Item(req))) if before - self.input.len() <= limit => {
                    self.body_unread = self.codec.message_type() != MessageType::None;
                    self.held.progress();
                    self.held.await_caller(self.body_unread);
                    self.head_bytes = before - self.input.len();
                    self.keep_alive = req.head().connection_type() == ConnectionType::KeepAlive;
                    self.accepts_chunks = req.version() >= Version::HTTP_11;
                    if req.head().expect() {
                        self.write_all(CONTINUE).await.map_err(|_| CALLER_DISCONNECTED)?;
                    }
                    return Ok(Some(req));
                }
                Ok(None) if self.input.len() <= limit => {}
                Ok(None | Some(Message::Item(_))) | Err(ParseError::TooLarge) => {
                    return Err(too_large);
                }
                Ok(Some(Message::Chunk(_))) | Err(_) => {
                    return Err(Refusal::not_run(RefusalCode::BadRequest));
                }
            }
            match self.read().await {
                Ok(read) if read > 0 => {}
                _ => return Ok(None),
            }
        }
    }

    /// Returns whether a peer sends the requests.
    pub fn is_peer(&self) -> bool {
        self.held.port() == Port::Detours
    }

    /// Counts a buffer of the current call as held. Returns `false` if so much is held that the call
    /// should be refused.
    pub fn hold_buffer(&mut self, bytes: usize) -> bool {
        self.buffer_bytes = bytes;
        self.held.hold(self.held_bytes())
    }

    /// Returns the bytes of buffers that are held for the connection.
    fn held_bytes(&self) -> usize {
        self.input.capacity() + self.output.capacity() + self.head_bytes + self.buffer_bytes
    }

    /// Returns whether the body of the current request has not been read to its end.
    pub const fn has_unread_body(&self) -> bool {
        self.body_unread
    }

    /// Waits for the next chunk of the body if `wants_body` is set, or for the connection to end.
    ///
    /// This method is cancel safe.
    pub async fn next_input(&mut self, wants_body: bool) -> CallerInput {
        loop {
            let decodes_body = self.body_unread && wants_body;
            self.held.await_caller(decodes_body);
            if decodes_body {
                match self.codec.decode(&mut self.input) {
                    Ok(Some(Message::Chunk(Some(chunk)))) => return CallerInput::Chunk(chunk),
                    Ok(Some(Message::Chunk(None))) => {
                        self.body_unread = false;
                        self.held.progress();
                        self.held.await_caller(false);
                        return CallerInput::BodyEnd;
                    }
                    Ok(None) => {}
                    Ok(Some(Message::Item(_))) | Err(_) => return CallerInput::Malformed,
                }
            } else {
                self.body_window = None;
            }
            if !decodes_body && self.input.len() >= READ_AHEAD_BYTES {
                // The read-ahead buffer is full. Nothing more is read, so a disconnect is not
                // detected from here on; the wait ends when the call ends.
                return std::future::pending().await;
            }
            if !decodes_body {
                match self.read().await {
                    Ok(read) if read > 0 => continue,
                    _ => return CallerInput::Closed,
                }
            }
            if let Some(end) = self.read_body_bytes().await {
                return end;
            }
        }
    }

    /// Reads bytes of the body; returns the end of the input if the caller closed the connection or
    /// sends too slowly.
    async fn read_body_bytes(&mut self) -> Option<CallerInput> {
        let end = Instant::now() + self.stall_limit;
        let window = *self.body_window.get_or_insert(ProgressWindow { end, bytes: 0 });
        match timeout_at(window.end, self.read()).await {
            Ok(Ok(read)) if read > 0 => {
                let bytes = window.bytes + read;
                let window = ProgressWindow { bytes, ..window };
                self.body_window = Some(window).filter(|w| w.bytes < MIN_PROGRESS_BYTES);
                None
            }
            Ok(_) => Some(CallerInput::Closed),
            Err(_) => Some(CallerInput::Stalled),
        }
    }

    /// Closes the connection after the current response.
    pub const fn disable_keep_alive(&mut self) {
        self.keep_alive = false;
    }

    /// Returns whether another request may follow the current response.
    pub const fn is_reusable(&self) -> bool {
        self.keep_alive && !self.body_unread
    }

    /// Writes the head of a response together with its complete body.
    pub async fn write_response(&mut self, mut head: Response<()>, body: Bytes) -> io::Result<()> {
        if !self.is_reusable() {
            head.head_mut().set_connection_type(ConnectionType::Close);
        }
        let size = BodySize::Sized(body.len() as u64);
        self.codec.encode(Message::Item((head, size)), &mut self.output)?;
        if !body.is_empty() {
            self.codec.encode(Message::Chunk(Some(body)), &mut self.output)?;
        }
        self.flush().await
    }

    /// Queues the head of a streamed response, which is sent with the first chunk.
    pub fn queue_response_head(&mut self, mut head: Response<()>) -> io::Result<()> {
        if !self.accepts_chunks {
            self.disable_keep_alive();
            self.ends_by_close = true;
            // Until the response is complete, the system resets the connection, also if the process
            // is killed; a normal close would end a truncated response as a complete one.
            SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
            head.head_mut().no_chunking(true);
        }
        if !self.is_reusable() {
            head.head_mut().set_connection_type(ConnectionType::Close);
        }
        self.codec.encode(Message::Item((head, BodySize::Stream)), &mut self.output)
    }

    /// Writes a chunk of a streamed response; `None` ends the response.
    pub async fn write_chunk(&mut self, chunk: Option<Bytes>) -> io::Result<()> {
        let is_end = chunk.is_none();
        self.codec.encode(Message::Chunk(chunk), &mut self.output)?;
        self.flush().await?;
        if self.ends_by_close && is_end {
            self.ends_by_close = false;
            SockRef::from(&self.stream).set_linger(None)?;
        }
        Ok(())
    }

    /// Shuts down the sending side, then discards input until the caller closes the connection or
    /// the linger timeout ends; a truncated response that ends by the close gets a reset instead.
    pub async fn linger(&mut self) {
        if self.ends_by_close {
            return;
        }
        self.held.await_caller(true);
        let read_on = async {
            if self.stream.shutdown().await.is_err() {
                return;
            }
            loop {
                self.input.clear();
                match self.read().await {
                    Ok(read) if read > 0 => {}
                    _ => return,
                }
            }
        };
        // A caller that still sends after the timeout is assumed not to read the response.
        let _ = timeout(LINGER_TIMEOUT, read_on).await;
    }

    /// Reads bytes; fails if the connection has to be closed for what it holds.
    async fn read(&mut self) -> io::Result<usize> {
        loop {
            if self.input.is_empty() {
                // A connection that waits holds no buffer.
                self.input = BytesMut::new();
            }
            self.held.hold_or_close(self.held_bytes());
            tokio::select! {
                biased;
                () = self.held.closing() => return Err(io::ErrorKind::ConnectionAborted.into()),
                ready = self.stream.readable() => ready?,
            }
            self.input.reserve(READ_SIZE_BYTES);
            match self.stream.try_read_buf(&mut self.input) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                read => {
                    self.held.transfer(*read.as_ref().unwrap_or(&0));
                    return read;
                }
            }
        }
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.held.hold_or_close(self.held_bytes());
        let output = std::mem::take(&mut self.output);
        let written = self.write_all(&output).await;
        self.output = output;
        self.output.clear();
        written
    }

    /// Writes bytes; fails if the caller accepts too few within the stall limit, or if the
    /// connection has to be closed for what it holds.
    async fn write_all(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        self.held.await_caller(true);
        let new_window = || ProgressWindow { end: Instant::now() + self.stall_limit, bytes: 0 };
        let mut window = new_window();
        while !bytes.is_empty() {
            let written = tokio::select! {
                biased;
                () = self.held.closing() => return Err(io::ErrorKind::ConnectionAborted.into()),
                written = timeout_at(window.end, self.stream.write(bytes)) => written,
            };
            let written = written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            bytes = &bytes[written..];
            self.held.transfer(written);
            window.bytes += written;
            if window.bytes >= MIN_PROGRESS_BYTES {
                window = new_window();
            }
        }
        self.held.await_caller(false);
        Ok(())
    }
}

/// The refusal of a call whose caller disconnected before its request was read.
const CALLER_DISCONNECTED: Refusal = Refusal::not_run(RefusalCode::BadRequest);
