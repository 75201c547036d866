//! One connection of a caller: requests in, answers out, on the HTTP library's codec.

use std::io;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{ConnectionType, KeepAlive, Request, Response, ServiceConfig};
use actix_rt::net::TcpStream;
use actix_rt::time::timeout;
use bytes::{Bytes, BytesMut};
use cumintrail_config::CallerLimits;
use cumintrail_types::{Refusal, RefusalCode};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio_util::codec::{Decoder, Encoder};

/// Limits before any configuration is known.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// The bytes read at once.
const READ_SIZE_BYTES: usize = 8 << 10;
/// Bytes of a next request that are read while an answer is under way.
const READ_AHEAD_BYTES: usize = 32 << 10;
/// How long a connection is read after its last answer, so that the answer is not reset away.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Tells what came from a caller while its request is handled.
#[derive(Debug)]
pub enum CallerInput {
    /// A part of the body.
    Chunk(Bytes),
    /// The body is complete.
    BodyEnd,
    /// The caller closed the connection.
    Closed,
    /// The rest of the body cannot be read.
    Malformed,
}

/// Reads requests from one connection and writes their answers.
pub struct CallerConnection {
    stream: TcpStream,
    codec: Codec,
    input: BytesMut,
    output: BytesMut,
    stall_limit: Duration,
    /// Whether the body of the present request is still to be read.
    body_unread: bool,
    keep_alive: bool,
}

impl CallerConnection {
    /// Takes over an accepted connection.
    pub fn new(stream: TcpStream, stall_limit: Duration) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let config = ServiceConfig::new(KeepAlive::Os, Duration::ZERO, Duration::ZERO, false, None);
        Ok(Self {
            stream,
            codec: Codec::new(config),
            input: BytesMut::new(),
            output: BytesMut::new(),
            stall_limit,
            body_unread: false,
            keep_alive: true,
        })
    }

    /// Reads the head of the next request; nothing if the caller closed or stayed idle too long.
    ///
    /// Cancelling loses nothing.
    pub async fn next_request(
        &mut self,
        limits: Option<CallerLimits>,
    ) -> Result<Option<Request>, Refusal> {
        let limits = limits.unwrap_or(DEFAULT_LIMITS);
        if self.input.is_empty() {
            // An idle connection holds no buffers.
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
                    self.keep_alive = req.head().connection_type() == ConnectionType::KeepAlive;
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

    /// Returns whether the body of the present request is still to be read.
    pub const fn has_unread_body(&self) -> bool {
        self.body_unread
    }

    /// Waits for the next part of the body if `wants_body`, or for the caller to leave.
    ///
    /// Cancelling loses nothing.
    pub async fn next_input(&mut self, wants_body: bool) -> CallerInput {
        loop {
            let decodes_body = self.body_unread && wants_body;
            if decodes_body {
                match self.codec.decode(&mut self.input) {
                    Ok(Some(Message::Chunk(Some(chunk)))) => return CallerInput::Chunk(chunk),
                    Ok(Some(Message::Chunk(None))) => {
                        self.body_unread = false;
                        return CallerInput::BodyEnd;
                    }
                    Ok(None) => {}
                    Ok(Some(Message::Item(_))) | Err(_) => return CallerInput::Malformed,
                }
            }
            if !decodes_body && self.input.len() >= READ_AHEAD_BYTES {
                // What is buffered is enough; only the end of the call matters from here on.
                return std::future::pending().await;
            }
            match self.read().await {
                Ok(read) if read > 0 => {}
                _ => return CallerInput::Closed,
            }
        }
    }

    /// Asks for the connection to be closed after the present answer.
    pub const fn disable_keep_alive(&mut self) {
        self.keep_alive = false;
    }

    /// Tells whether another request may follow the present answer.
    pub const fn is_reusable(&self) -> bool {
        self.keep_alive && !self.body_unread
    }

    /// Writes the head of an answer together with its whole body.
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

    /// Queues the head of a streamed answer, to leave with its first part.
    pub fn queue_response_head(&mut self, mut head: Response<()>) -> io::Result<()> {
        if !self.is_reusable() {
            head.head_mut().set_connection_type(ConnectionType::Close);
        }
        self.codec.encode(Message::Item((head, BodySize::Stream)), &mut self.output)
    }

    /// Writes a part of a streamed answer, or its end.
    pub async fn write_chunk(&mut self, chunk: Option<Bytes>) -> io::Result<()> {
        self.codec.encode(Message::Chunk(chunk), &mut self.output)?;
        self.flush().await
    }

    /// Reads on for a moment after the last answer, so that unread bytes do not reset it away.
    pub async fn linger(&mut self) {
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
        // Whoever still sends by then does not read the answer either.
        let _ = timeout(LINGER_TIMEOUT, read_on).await;
    }

    async fn read(&mut self) -> io::Result<usize> {
        self.input.reserve(READ_SIZE_BYTES);
        self.stream.read_buf(&mut self.input).await
    }

    async fn flush(&mut self) -> io::Result<()> {
        let output = std::mem::take(&mut self.output);
        let written = self.write_all(&output).await;
        self.output = output;
        self.output.clear();
        written
    }

    /// Writes bytes unless the caller takes none for too long.
    async fn write_all(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let written = timeout(self.stall_limit, self.stream.write(bytes)).await;
            match written.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                written => bytes = &bytes[written..],
            }
        }
        Ok(())
    }
}

/// Stands for a caller that left before its request could be read.
const CALLER_DISCONNECTED: Refusal = Refusal::not_run(RefusalCode::BadRequest);
