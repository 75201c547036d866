//! One end of an HTTP/1.1 connection, without a client or server that would hide its bytes.

use std::io;
use std::rc::Rc;

use tokio::net::TcpStream;

/// A connection and the bytes that were read from it and not used yet.
#[derive(Debug)]
pub struct Connection {
    pub stream: Rc<TcpStream>,
    pub input: Vec<u8>,
}

/// What marks the end of a message's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    Length(usize),
    LastChunk,
    Close,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream: Rc::new(stream), input: Vec::new() }
    }

    /// Reads a head. Bytes that are no head are [`io::ErrorKind::InvalidData`].
    pub async fn read_head(&mut self) -> io::Result<String> {
        let end = b"\r\n\r\n";
        loop {
            if let Some(at) = self.input.windows(end.len()).position(|bytes| bytes == end) {
                let rest = self.input.split_off(at + end.len());
                let head = std::mem::replace(&mut self.input, rest);
                return String::from_utf8(head).map_err(|_| io::ErrorKind::InvalidData.into());
            }
            self.fill().await?;
        }
    }

    /// Appends the body to `body` as it arrives.
    pub async fn read_body(&mut self, end: BodyEnd, body: &mut Vec<u8>) -> io::Result<()> {
        match end {
            BodyEnd::Length(length) => self.take(length, body).await,
            BodyEnd::LastChunk => loop {
                let line = self.read_line().await?;
                let length = usize::from_str_radix(line.trim(), 16);
                let length = length.map_err(|_| io::ErrorKind::InvalidData)?;
                self.take(length, body).await?;
                if !self.read_line().await?.is_empty() {
                    return Err(io::ErrorKind::InvalidData.into());
                }
                if length == 0 {
                    return Ok(());
                }
            },
            BodyEnd::Close => loop {
                body.append(&mut self.input);
                match self.fill().await {
                    Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(()),
                    read => read?,
                }
            },
        }
    }

    async fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.input.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = String::from_utf8_lossy(&self.input[..at]).into_owned();
                self.input.drain(..at + 2);
                return Ok(line);
            }
            self.fill().await?;
        }
    }

    async fn take(&mut self, mut length: usize, body: &mut Vec<u8>) -> io::Result<()> {
        while length > 0 {
            if self.input.is_empty() {
                self.fill().await?;
            }
            let available = length.min(self.input.len());
            body.extend(self.input.drain(..available));
            length -= available;
        }
        Ok(())
    }

    /// Waits for bytes; an end of the input is [`io::ErrorKind::UnexpectedEof`].
    pub async fn fill(&mut self) -> io::Result<()> {
        loop {
            self.stream.readable().await?;
            match self.stream.try_read_buf(&mut self.input) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                read => return read.map(drop),
            }
        }
    }
}

/// Writes all bytes.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            written => bytes = &bytes[written?..],
        }
    }
    Ok(())
}

/// Returns the value of a header in a head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut found = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.trim())
}

/// Returns what marks the end of the body, or `otherwise` if the head does not say.
pub fn body_end(head: &str, otherwise: BodyEnd) -> BodyEnd {
    match header(head, "content-length").and_then(|text| text.parse().ok()) {
        Some(length) => BodyEnd::Length(length),
        None if header(head, "transfer-encoding") == Some("chunked") => BodyEnd::LastChunk,
        None => otherwise,
    }
}
