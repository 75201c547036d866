//! A streamed answer of an engine.

use std::time::Duration;

use awc::ClientResponse;
use cumintrail_wire::engine::{END_EVENT, EndEvent, TOKEN_EVENT, TokenEvent};
use eventsource_stream::{Event, EventStream};
use futures_util::StreamExt;

use crate::ClientError;

/// Yields the events of one connection.
pub struct AnswerStream {
    events: EventStream<ClientResponse>,
}

/// Holds one event with its id.
#[derive(Debug, Clone)]
pub enum AnswerEvent {
    /// Text.
    Token(u32, TokenEvent),
    /// The explicit end.
    End(u32, EndEvent),
}

impl AnswerStream {
    pub(crate) fn new(response: ClientResponse) -> Self {
        Self { events: EventStream::new(response) }
    }

    /// Waits for the next event, at most `gap`; a closed connection is [`ClientError::Broken`].
    pub async fn next(&mut self, gap: Duration) -> Result<AnswerEvent, ClientError> {
        match actix_rt::time::timeout(gap, self.events.next()).await {
            Err(_) => Err(ClientError::Silent),
            Ok(Some(Ok(event))) => parse(&event),
            Ok(_) => Err(ClientError::Broken),
        }
    }
}

fn parse(event: &Event) -> Result<AnswerEvent, ClientError> {
    let id = event.id.parse().map_err(|_| ClientError::Unreadable)?;
    let unreadable = |_| ClientError::Unreadable;
    match event.event.as_str() {
        TOKEN_EVENT => {
            let token = serde_json::from_str(&event.data).map_err(unreadable)?;
            Ok(AnswerEvent::Token(id, token))
        }
        END_EVENT => {
            let end = serde_json::from_str(&event.data).map_err(unreadable)?;
            Ok(AnswerEvent::End(id, end))
        }
        _ => Err(ClientError::Unreadable),
    }
}
