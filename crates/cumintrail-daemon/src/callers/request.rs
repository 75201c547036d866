//! Bodies and timeouts of requests, within limits of size and time.

use std::time::Duration;

use actix_http::header::CONTENT_LENGTH;
use actix_http::{HttpMessage, Payload, Request, RequestHead};
use bytes::{Bytes, BytesMut};
use cumintrail_types::{Refusal, RefusalCode};
use cumintrail_wire::caller::DEADLINE_HEADER;
use futures_util::StreamExt;

const MAX_DISCARD_BYTES: usize = 64 << 20;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads a request's body within limits of size and time, which bound the memory that it occupies.
pub async fn read_body(
    req: &mut Request,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, Refusal> {
    let declared = req.headers().get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    let mut payload = req.take_payload();
    if declared.is_some_and(|length: usize| length > max_bytes) {
        discard(&mut payload).await;
        return Err(Refusal::not_run(RefusalCode::TooLarge));
    }
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| Refusal::not_run(RefusalCode::BadRequest))?;
            if body.len() + chunk.len() > max_bytes {
                discard(&mut payload).await;
                return Err(Refusal::not_run(RefusalCode::TooLarge));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    let timed_out = Refusal::not_run(RefusalCode::RequestTimeout);
    actix_rt::time::timeout(timeout, read).await.unwrap_or(Err(timed_out))
}

/// Reads and drops the rest of a body, since many HTTP clients read a response only after they have
/// sent the whole request.
async fn discard(payload: &mut Payload) {
    let drain = async {
        let mut read = 0;
        while let Some(Ok(chunk)) = payload.next().await {
            read += chunk.len();
            if read > MAX_DISCARD_BYTES {
                break;
            }
        }
    };
    // A caller that takes longer may miss the response; the daemon does not wait for it.
    let _ = actix_rt::time::timeout(DISCARD_TIMEOUT, drain).await;
}

/// Returns the timeout that the caller requested, at most `max`, or `max` if it requested none.
pub fn caller_timeout(head: &RequestHead, max: Duration) -> Result<Duration, Refusal> {
    let Some(value) = head.headers().get(DEADLINE_HEADER) else {
        return Ok(max);
    };
    let millis = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    let requested = millis.map(Duration::from_millis);
    requested.map(|d| d.min(max)).ok_or_else(|| Refusal::not_run(RefusalCode::BadRequest))
}
