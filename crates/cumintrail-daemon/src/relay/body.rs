//! Reads the start of a request's body, which is buffered for further attempts.

use bytes::{Bytes, BytesMut};
use cumintrail_types::{Refusal, RefusalCode};

use super::call::OTHER_DAEMON_RETRY_AFTER;
use super::caller::{CallerConnection, CallerInput};

/// Reading of a body pauses at this size until a target is chosen; the bytes read so far stay
/// buffered for further attempts.
const BODY_BUFFER_BYTES: usize = 64 << 10;

/// Reads the start of a body; returns it and whether it is complete, `None` if the caller
/// disconnected.
pub async fn read_body(
    caller: &mut CallerConnection,
    limit: usize,
) -> Result<Option<(Bytes, bool)>, Refusal> {
    let mut body = BytesMut::new();
    while caller.has_unread_body() {
        match caller.next_input(true).await {
            CallerInput::Chunk(chunk) if body.len() + chunk.len() > limit => {
                caller.disable_keep_alive();
                return Err(Refusal::not_run(RefusalCode::TooLarge));
            }
            CallerInput::Chunk(chunk) => {
                append(&mut body, &chunk);
                drop(chunk);
                if !caller.hold_buffer(body.capacity()) {
                    caller.disable_keep_alive();
                    let refusal = Refusal::not_run(RefusalCode::Overloaded);
                    return Err(refusal.retry_after(OTHER_DAEMON_RETRY_AFTER));
                }
            }
            CallerInput::BodyEnd => break,
            CallerInput::Closed => return Ok(None),
            CallerInput::Malformed => {
                caller.disable_keep_alive();
                return Err(Refusal::not_run(RefusalCode::BadRequest));
            }
            CallerInput::Stalled => {
                caller.disable_keep_alive();
                return Err(Refusal::not_run(RefusalCode::RequestTimeout));
            }
        }
        if body.len() >= BODY_BUFFER_BYTES {
            break;
        }
    }
    let complete = !caller.has_unread_body();
    Ok(Some((body.freeze(), complete)))
}

/// Appends a chunk to a buffered body. The buffer doubles up to the size at which reading pauses; the
/// library would double it beyond, which holds twice as much for bodies just below that size.
fn append(body: &mut BytesMut, chunk: &[u8]) {
    let needed = body.len() + chunk.len();
    if needed > body.capacity() {
        let doubled = (2 * body.len()).min(BODY_BUFFER_BYTES);
        let mut larger = BytesMut::with_capacity(needed.max(doubled));
        larger.extend_from_slice(body);
        *body = larger;
    }
    body.extend_from_slice(chunk);
}
