//! Bodies of responses, sent in full or streamed.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use tokio::sync::mpsc;

/// Carries the body of a response to the HTTP library.
#[derive(Debug)]
pub enum ResponseBody {
    /// A body that is known in full.
    Full(Bytes),
    /// Chunks that are sent as they arrive; an error aborts the connection, so that a caller never
    /// takes a truncated response for a complete one.
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
