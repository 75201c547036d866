//! Conversion of the events of a model call into an OpenAI-compatible response.

use std::io;

use actix_http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use cumintrail_control::Usage;
use cumintrail_types::Refusal;
use cumintrail_wire::caller::{ChatDelta, ChatMessage, Choice, Completion, STREAM_END, UsageBody};
use tokio::sync::mpsc;

use super::ResponseBody;
use super::refusal::json_response;
use crate::control_thread::Command;

const OK: u16 = 200;
const CHUNK_BUFFER_LEN: usize = 32;

/// Selects the response format, which follows from the path of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseFormat {
    /// The format of `/v1/completions`.
    Completion,
    /// The format of `/v1/chat/completions`.
    Chat,
}

/// Describes an event that the task of a call sends to its request handler.
#[derive(Debug)]
pub enum CallEvent {
    /// The text of one output token.
    Token(String),
    /// The response is complete.
    End {
        /// The finish reason that the engine reported.
        reason: String,
        /// The token counts of the call.
        usage: Usage,
    },
    /// The control thread refused the call, before or after attempts were made.
    Refused(Refusal),
}

/// Formats the response to one call.
#[derive(Debug, Clone)]
pub struct ResponseFormatter {
    /// The call's id.
    pub id: String,
    /// The model's name.
    pub model: String,
    /// The response format.
    pub format: ResponseFormat,
}

impl ResponseFormatter {
    /// Collects all events and returns the complete response.
    pub async fn full_response(
        &self,
        first: CallEvent,
        mut rx: mpsc::Receiver<CallEvent>,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let mut text = String::new();
        let mut next = Some(first);
        loop {
            match next {
                Some(CallEvent::Token(token)) => text.push_str(&token),
                Some(CallEvent::End { reason, usage }) => {
                    return Ok(json_response(OK, &self.completion(text, &reason, usage)));
                }
                Some(CallEvent::Refused(refusal)) => return Err(refusal),
                None => return Err(outcome_unknown()),
            }
            next = rx.recv().await;
        }
    }

    /// Returns a response that streams the events as they arrive.
    pub fn streamed_response(
        self,
        first: CallEvent,
        mut rx: mpsc::Receiver<CallEvent>,
    ) -> Response<ResponseBody> {
        let (tx, chunks) = mpsc::channel(CHUNK_BUFFER_LEN);
        actix_rt::spawn(async move {
            let mut next = Some(first);
            let mut is_first = true;
            while let Some(event) = next.take() {
                let continues = matches!(event, CallEvent::Token(_));
                let sent = tx.send(self.chunk(event, std::mem::take(&mut is_first))).await;
                if !continues || sent.is_err() {
                    return;
                }
                next = rx.recv().await;
            }
            let _ = tx.send(Err(io::Error::other("the answer broke off"))).await;
        });
        let mut response = Response::with_body(StatusCode::OK, ResponseBody::Stream(chunks));
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        response
    }

    fn chunk(&self, event: CallEvent, is_first: bool) -> Result<Bytes, io::Error> {
        match event {
            CallEvent::Token(text) => Ok(sse(&self.chunk_object(Some(text), None, None, is_first))),
            CallEvent::End { reason, usage } => {
                let end = sse(&self.chunk_object(None, Some(reason), Some(usage), is_first));
                Ok([end, Bytes::from(format!("data: {STREAM_END}\n\n"))].concat().into())
            }
            // The response head has been sent, so only aborting the connection can report failure.
            CallEvent::Refused(refusal) => Err(io::Error::other(refusal.code.to_string())),
        }
    }

    fn chunk_object(
        &self,
        text: Option<String>,
        finish_reason: Option<String>,
        usage: Option<Usage>,
        is_first: bool,
    ) -> Completion {
        let role = is_first.then(|| "assistant".to_owned());
        let choice = match self.format {
            ResponseFormat::Completion => {
                Choice { text: Some(text.unwrap_or_default()), finish_reason, ..Choice::default() }
            }
            ResponseFormat::Chat => {
                let delta = Some(ChatDelta { role, content: text });
                Choice { delta, finish_reason, ..Choice::default() }
            }
        };
        let object = match self.format {
            ResponseFormat::Completion => "text_completion",
            ResponseFormat::Chat => "chat.completion.chunk",
        };
        self.object(object, choice, usage)
    }

    fn completion(&self, text: String, reason: &str, usage: Usage) -> Completion {
        let finish_reason = Some(reason.to_owned());
        match self.format {
            ResponseFormat::Completion => {
                let choice = Choice { text: Some(text), finish_reason, ..Choice::default() };
                self.object("text_completion", choice, Some(usage))
            }
            ResponseFormat::Chat => {
                let message = Some(ChatMessage { role: "assistant".into(), content: text });
                let choice = Choice { message, finish_reason, ..Choice::default() };
                self.object("chat.completion", choice, Some(usage))
            }
        }
    }

    fn object(&self, object: &str, choice: Choice, usage: Option<Usage>) -> Completion {
        Completion {
            id: self.id.clone(),
            object: object.to_owned(),
            model: self.model.clone(),
            choices: vec![choice],
            usage: usage.map(usage_body),
        }
    }
}

/// Returns the refusal of a call whose task ended without a result.
pub const fn outcome_unknown() -> Refusal {
    Refusal::unknown(cumintrail_types::RefusalCode::OutcomeUnknown)
}

/// Waits until the control thread refuses a call; ignores dispatches.
pub async fn wait_for_refusal(commands: &mut mpsc::UnboundedReceiver<Command>) -> Refusal {
    loop {
        match commands.recv().await {
            Some(Command::Refuse(refusal)) => return refusal,
            Some(Command::Dispatch(_) | Command::Detour(_) | Command::Abandon(..)) => {}
            None => return outcome_unknown(),
        }
    }
}

fn usage_body(usage: Usage) -> UsageBody {
    UsageBody {
        prompt_tokens: usage.prompt.0,
        completion_tokens: usage.output.0,
        total_tokens: (usage.prompt + usage.output).0,
        cached_tokens: usage.cached.0,
        imported_tokens: usage.imported.0,
    }
}

fn sse(chunk: &Completion) -> Bytes {
    format!("data: {}\n\n", serde_json::to_string(chunk).unwrap_or_default()).into()
}
