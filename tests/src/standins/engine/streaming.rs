//! Responses as server-sent events with ids, on any number of connections per stream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_http::StatusCode;
use actix_http::body::{BodyStream, BoxBody};
use bytes::Bytes;
use cumintrail_wire::engine::{CALL_ID_HEADER, END_EVENT, EndEvent, TOKEN_EVENT, TokenEvent};
use serde::Serialize;
use tokio::sync::{Notify, mpsc};

use super::{FOREIGN_TEXT, Inner};
use crate::http::HttpResponse;

pub(super) fn stream_response(inner: &Arc<Inner>, call: &str, last: u32) -> HttpResponse {
    let (tx, rx) = mpsc::channel::<Result<Bytes, std::io::Error>>(16);
    actix_rt::spawn(write_events(inner.clone(), call.to_owned(), last, tx));
    let events =
        futures_util::stream::unfold(rx, |mut rx| async { rx.recv().await.map(|e| (e, rx)) });
    let mut response =
        HttpResponse::with_body(StatusCode::OK, BoxBody::new(BodyStream::new(Box::pin(events))));
    let headers = response.headers_mut();
    let kind = actix_http::header::HeaderValue::from_static("text/event-stream");
    headers.insert(actix_http::header::CONTENT_TYPE, kind);
    if let Ok(value) = call.parse() {
        headers.insert(actix_http::header::HeaderName::from_static(CALL_ID_HEADER), value);
    }
    response
}

/// Next action on one connection.
enum StreamStep {
    Event(Bytes),
    End(Bytes),
    Wait(Arc<Notify>),
    Silence,
    Cut,
}

/// Writes the events of a stream to one connection.
async fn write_events(
    inner: Arc<Inner>,
    call: String,
    mut last: u32,
    tx: mpsc::Sender<Result<Bytes, std::io::Error>>,
) {
    let mut sent = 0;
    loop {
        let next = next_step(&inner, &call, &mut last, sent);
        match next {
            StreamStep::Event(chunk) => {
                sent += 1;
                if tx.send(Ok(chunk)).await.is_err() {
                    return;
                }
            }
            StreamStep::End(chunk) => {
                let _ = tx.send(Ok(chunk)).await;
                return;
            }
            StreamStep::Wait(changed) => {
                // The time limit covers a notification that arrives before the wait starts.
                let wait = Duration::from_millis(20);
                let _ = actix_rt::time::timeout(wait, changed.notified()).await;
                if tx.is_closed() {
                    return;
                }
            }
            StreamStep::Silence => return tx.closed().await,
            StreamStep::Cut => {
                let _ = tx.send(Err(std::io::Error::other("cut"))).await;
                return;
            }
        }
    }
}

fn next_step(inner: &Inner, call: &str, last: &mut u32, sent: u32) -> StreamStep {
    let mut state = inner.lock();
    let fault = state.fault;
    let Some(stream) = state.streams.get_mut(call) else {
        return StreamStep::Cut;
    };
    stream.read = Instant::now();
    let shown_id = if fault.foreign_answers { "somebody-else" } else { call };
    match (stream.tokens.get(*last as usize), &stream.end) {
        _ if fault.cut_after > 0 && sent >= fault.cut_after => StreamStep::Cut,
        _ if fault.silent_after > 0 && sent >= fault.silent_after => StreamStep::Silence,
        (Some(text), _) => {
            *last += 1;
            let text = if fault.foreign_answers { FOREIGN_TEXT.to_owned() } else { text.clone() };
            let event = TokenEvent { call: shown_id.to_owned(), text };
            StreamStep::Event(sse(TOKEN_EVENT, *last, &event))
        }
        (None, Some(end)) => {
            let event = EndEvent { call: shown_id.to_owned(), ..end.clone() };
            StreamStep::End(sse(END_EVENT, *last, &event))
        }
        (None, None) if stream.cancelled => StreamStep::Cut,
        (None, None) => StreamStep::Wait(stream.changed.clone()),
    }
}

fn sse<T: Serialize>(kind: &str, id: u32, event: &T) -> Bytes {
    let data = serde_json::to_string(event).unwrap_or_default();
    format!("id: {id}\nevent: {kind}\ndata: {data}\n\n").into()
}
