//! A connection of the HTTP library that is counted in the account.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_rt::net::TcpStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::HeldConnection;

/// The buffers that the HTTP library allocates for each connection.
const LIBRARY_BUFFER_BYTES: usize = 16 << 10;

/// A stream whose input since the last output counts as held, since the library and the handler
/// buffer a request until its response.
#[derive(Debug)]
pub struct HeldStream {
    stream: TcpStream,
    /// The entry in the account, if there is one.
    held: Option<HeldConnection>,
    received: usize,
}

impl HeldStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, mut held: Option<HeldConnection>) -> Self {
        if let Some(held) = &mut held {
            held.hold_or_close(LIBRARY_BUFFER_BYTES);
        }
        Self { stream, held, received: 0 }
    }

    fn poll_closing(&self, cx: &mut Context<'_>) -> io::Result<()> {
        match &self.held {
            Some(held) if held.poll_closing(cx).is_ready() => {
                Err(io::ErrorKind::ConnectionAborted.into())
            }
            _ => Ok(()),
        }
    }

    fn transfer(&mut self, received: usize, sent: usize) {
        self.received = if sent > 0 { 0 } else { self.received + received };
        if let Some(held) = &mut self.held {
            held.transfer(received + sent);
            held.hold_or_close(LIBRARY_BUFFER_BYTES + self.received);
        }
    }
}

impl AsyncRead for HeldStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.poll_closing(cx)?;
        let before = buffer.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(cx, buffer);
        let received = buffer.filled().len() - before;
        if received > 0 {
            this.transfer(received, 0);
        }
        read
    }
}

impl AsyncWrite for HeldStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.poll_closing(cx)?;
        let written = Pin::new(&mut this.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(sent)) = &written
            && *sent > 0
        {
            this.transfer(0, *sent);
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
