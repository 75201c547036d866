//! Identity requests, which every target answers at once and without running anything;
//! docs/DESIGN.md, "Relayed calls".

use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::{RequestHead, ResponseHead};
use actix_rt::time::timeout;
use bytes::{Bytes, BytesMut};

use crate::single_use::with_host;
use crate::{ClientError, Connection, MAX_DISCARDED_BYTES};

/// How long the head of the response to an identity request may take: a process that runs may be
/// silent for a second or so.
pub const IDENTITY_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the body of the response to an identity request may take.
const MAX_BODY_TIME: Duration = Duration::from_millis(200);

/// The response to an identity request.
#[derive(Debug)]
pub struct Identity {
    /// Its head.
    pub head: ResponseHead,
    /// Its body, as far as it arrived in time.
    pub body: Bytes,
    /// Whether another exchange may follow on the connection.
    pub is_reusable: bool,
}

/// Sends an identity request on a connection without an exchange, and reads the response.
///
/// A connection leads to the same process for as long as it exists.
pub async fn identify(
    connection: &mut Connection,
    request: RequestHead,
    limit: Duration,
) -> Result<Identity, ClientError> {
    let request = with_host(request, connection.address());
    connection.start_exchange(request, BodySize::None)?;
    let head = timeout(limit, connection.read_head()).await.map_err(|_| ClientError::Timeout)??;
    let (body, is_reusable) = read_body(connection).await;
    Ok(Identity { head, body, is_reusable })
}

/// Reads the body of a response as far as it comes in time; returns also whether its connection can
/// be used again.
async fn read_body(connection: &mut Connection) -> (Bytes, bool) {
    let mut body = BytesMut::new();
    let read = async {
        while let Ok(Some(chunk)) = connection.read_chunk().await {
            if body.len() + chunk.len() > MAX_DISCARDED_BYTES {
                return;
            }
            body.extend_from_slice(&chunk);
        }
    };
    let in_time = timeout(MAX_BODY_TIME, read).await.is_ok();
    let is_reusable = in_time && connection.reusable_for().is_some();
    connection.mark_idle();
    (body.freeze(), is_reusable)
}
