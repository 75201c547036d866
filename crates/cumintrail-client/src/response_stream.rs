//! Streamed responses of engines.

use std::time::Duration;

use awc::ClientResponse;
use cumintrail_wire::engine::{END_EVENT, EndEvent, TOKEN_EVENT, TokenEvent};
use eventsource_stream::{Event, EventStream};
use futures_util::StreamExt;

use crate::ClientError;

/// Yields the server-sent events that arrive on one connection.
pub struct ResponseStream {
    events: EventStream<ClientResponse>,
}

/// An event of a streamed response, with its event id.
#[derive(Debug, Clone)]
pub enum ResponseEvent {
    /// Text of the response.
    Token(u32, TokenEvent),
    /// The end of the response.
    End(u32, EndEvent),
}

impl ResponseStream {
    pub(crate) fn new(response: ClientResponse) -> Self {
        Self { events: EventStream::new(response) }
    }

    /// Waits for the next event, for at most `timeout`.
    ///
    /// Returns [`ClientError::ConnectionLost`] if the connection closes.
    pub async fn next(&mut self, timeout: Duration) -> Result<ResponseEvent, ClientError> {
        match actix_rt::time::timeout(timeout, self.events.next()).await {
            Err(_) => Err(ClientError::Timeout),
            Ok(Some(Ok(event))) => parse(&event),
            Ok(_) => Err(ClientError::ConnectionLost),
        }
    }
}

fn parse(event: &Event) -> Result<ResponseEvent, ClientError> {
    let id = event.id.parse().map_err(|_| ClientError::Malformed)?;
    let unreadable = |_| ClientError::Malformed;
    match event.event.as_str() {
        TOKEN_EVENT => {
            let token = serde_json::from_str(&event.data).map_err(unreadable)?;
            Ok(ResponseEvent::Token(id, token))
        }
        END_EVENT => {
            let end = serde_json::from_str(&event.data).map_err(unreadable)?;
            Ok(ResponseEvent::End(id, end))
        }
        _ => Err(ClientError::Malformed),
    }
}
