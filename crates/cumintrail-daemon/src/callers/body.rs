//! Bodies towards callers: whole or streamed.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use tokio::sync::mpsc;

/// Holds a whole body, or the receiving end of a streamed one.
#[derive(Debug)]
pub enum ResponseBody {
    /// A whole body.
    Full(Bytes),
    /// Chunks as they come; an error cuts the connection, so a broken answer never looks whole.
    Stream(mpsc::Receiver<Result<Bytes, io::Error>>),
}

impl MessageBody for ResponseBody {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        match self {
            Self::Full(bytes) => BodySize::Sized(bytes.len() as u64),
            Self::Stream(_) => BodySize::Stream,
        }
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, io::Error>>> {
        match self.get_mut() {
            Self::Full(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Full(bytes) => Poll::Ready(Some(Ok(std::mem::take(bytes)))),
            Self::Stream(rx) => rx.poll_recv(cx),
        }
    }
}
