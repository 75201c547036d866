//! How the events of a model call become an OpenAI-compatible answer.

use std::io;

use actix_http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use cumintrail_control::Usage;
use cumintrail_types::Refusal;
use cumintrail_wire::caller::{ChatDelta, ChatMessage, Choice, Completion, DONE, UsageBody};
use tokio::sync::mpsc;

use super::CallerBody;
use super::refuse::json;
use crate::control_thread::Command;

const OK: u16 = 200;
const CHUNKS_AHEAD: usize = 32;

/// Tells which of the two answer formats the caller asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerStyle {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

/// Holds what a call's task tells the handler.
#[derive(Debug)]
pub enum CallEvent {
    /// Text of the answer.
    Token(String),
    /// The answer is complete.
    End {
        /// Why it ended.
        reason: String,
        /// What it cost.
        usage: Usage,
    },
    /// The call is given up.
    Refused(Refusal),
}

/// Formats the answer to one call.
#[derive(Debug, Clone)]
pub struct Formatter {
    /// The call's id.
    pub id: String,
    /// The model's name.
    pub model: String,
    /// The format.
    pub style: AnswerStyle,
}

impl Formatter {
    /// Collects a whole answer.
    pub async fn whole(
        &self,
        first: CallEvent,
        mut rx: mpsc::Receiver<CallEvent>,
    ) -> Result<Response<CallerBody>, Refusal> {
        let mut text = String::new();
        let mut next = Some(first);
        loop {
            match next {
                Some(CallEvent::Token(part)) => text.push_str(&part),
                Some(CallEvent::End { reason, usage }) => {
                    return Ok(json(OK, &self.completion(text, &reason, usage)));
                }
                Some(CallEvent::Refused(refusal)) => return Err(refusal),
                None => return Err(lost()),
            }
            next = rx.recv().await;
        }
    }

    /// Passes an answer on as it comes.
    pub fn streamed(
        self,
        first: CallEvent,
        mut rx: mpsc::Receiver<CallEvent>,
    ) -> Response<CallerBody> {
        let (tx, chunks) = mpsc::channel(CHUNKS_AHEAD);
        actix_rt::spawn(async move {
            let mut next = Some(first);
            let mut opening = true;
            while let Some(event) = next.take() {
                let goes_on = matches!(event, CallEvent::Token(_));
                let sent = tx.send(self.chunk(event, std::mem::take(&mut opening))).await;
                if !goes_on || sent.is_err() {
                    return;
                }
                next = rx.recv().await;
            }
            let _ = tx.send(Err(io::Error::other("the answer broke off"))).await;
        });
        let mut response = Response::with_body(StatusCode::OK, CallerBody::Chunks(chunks));
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
        response
    }

    fn chunk(&self, event: CallEvent, opening: bool) -> Result<Bytes, io::Error> {
        match event {
            CallEvent::Token(text) => Ok(sse(&self.part(Some(text), None, None, opening))),
            CallEvent::End { reason, usage } => {
                let end = sse(&self.part(None, Some(reason), Some(usage), opening));
                Ok([end, Bytes::from(format!("data: {DONE}\n\n"))].concat().into())
            }
            // The head has left, so the only truthful end is a cut connection.
            CallEvent::Refused(refusal) => Err(io::Error::other(refusal.code.to_string())),
        }
    }

    fn part(
        &self,
        text: Option<String>,
        finish_reason: Option<String>,
        usage: Option<Usage>,
        opening: bool,
    ) -> Completion {
        let role = opening.then(|| "assistant".to_owned());
        let choice = match self.style {
            AnswerStyle::Completion => {
                Choice { text: Some(text.unwrap_or_default()), finish_reason, ..Choice::default() }
            }
            AnswerStyle::Chat => {
                let delta = Some(ChatDelta { role, content: text });
                Choice { delta, finish_reason, ..Choice::default() }
            }
        };
        let object = match self.style {
            AnswerStyle::Completion => "text_completion",
            AnswerStyle::Chat => "chat.completion.chunk",
        };
        self.wrap(object, choice, usage)
    }

    fn completion(&self, text: String, reason: &str, usage: Usage) -> Completion {
        let finish_reason = Some(reason.to_owned());
        match self.style {
            AnswerStyle::Completion => {
                let choice = Choice { text: Some(text), finish_reason, ..Choice::default() };
                self.wrap("text_completion", choice, Some(usage))
            }
            AnswerStyle::Chat => {
                let message = Some(ChatMessage { role: "assistant".into(), content: text });
                let choice = Choice { message, finish_reason, ..Choice::default() };
                self.wrap("chat.completion", choice, Some(usage))
            }
        }
    }

    fn wrap(&self, object: &str, choice: Choice, usage: Option<Usage>) -> Completion {
        Completion {
            id: self.id.clone(),
            object: object.to_owned(),
            model: self.model.clone(),
            choices: vec![choice],
            usage: usage.map(usage_body),
        }
    }
}

/// Refuses a call whose task ended without a word.
pub const fn lost() -> Refusal {
    Refusal::unknown(cumintrail_types::RefusalCode::OutcomeUnknown)
}

/// Waits until the control thread gives a call up.
pub async fn refused(commands: &mut mpsc::UnboundedReceiver<Command>) -> Refusal {
    loop {
        match commands.recv().await {
            Some(Command::Refuse(refusal)) => return refusal,
            Some(Command::Dispatch(_)) => {}
            None => return lost(),
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
