//! Which handler answers a request.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{ConnectionType, Method, Request, Response};
use cumintrail_types::{CallKey, Refusal, RefusalCode};
use cumintrail_wire::caller::{CALL_HEADER, ChatRequest, CompletionRequest, ModelEntry, ModelList};
use serde::de::DeserializeOwned;

use super::model_answer::AnswerStyle;
use super::refuse::{json, refuse};
use super::request::read_body;
use super::{CallerBody, Worker, auth, model_call, operation_keys, service_call};

const OK: u16 = 200;
const UNAVAILABLE: u16 = 503;
const COME_BACK: Duration = Duration::from_secs(1);
const SERVICES: &str = "/services/";

/// Answers one request.
///
/// A stopping daemon closes each connection with its answer: a balancer that keeps connections
/// would otherwise hold up the planned stop.
pub async fn answer(worker: Rc<Worker>, req: Request) -> Response<CallerBody> {
    let shared = worker.shared.clone();
    let call = shared.next_call();
    let mut response = route(worker, req, call).await.unwrap_or_else(|refusal| refuse(&refusal));
    if let Ok(id) = HeaderValue::from_str(&shared.call_id(call)) {
        response.headers_mut().insert(HeaderName::from_static(CALL_HEADER), id);
    }
    if shared.is_stopping() {
        // The next request of this caller belongs on another VM.
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}

async fn route(
    worker: Rc<Worker>,
    req: Request,
    call: CallKey,
) -> Result<Response<CallerBody>, Refusal> {
    let path = req.path().to_owned();
    let method = req.method().clone();
    match (path.as_str(), method) {
        ("/livez", Method::GET) => Ok(json(OK, &"alive")),
        ("/readyz", Method::GET) if worker.shared.is_ready() => Ok(json(OK, &"ready")),
        ("/readyz", Method::GET) => Ok(json(UNAVAILABLE, &"not ready")),
        ("/v1/models", Method::GET) => list_models(&worker, &req),
        ("/v1/completions", Method::POST) => complete(worker, req, call).await,
        ("/v1/chat/completions", Method::POST) => chat(worker, req, call).await,
        ("/v1/operation-keys", Method::POST) => operation_keys::issue(&worker, &req),
        (path, _) if path.starts_with(SERVICES) => service_call::answer(worker, req, call).await,
        (
            "/livez"
            | "/readyz"
            | "/v1/models"
            | "/v1/completions"
            | "/v1/chat/completions"
            | "/v1/operation-keys",
            _,
        ) => Err(Refusal::not_run(RefusalCode::MethodNotAllowed)),
        _ => Err(Refusal::not_run(RefusalCode::NotFound)),
    }
}

fn list_models(worker: &Worker, req: &Request) -> Result<Response<CallerBody>, Refusal> {
    let snapshot = worker.snapshot()?;
    auth::account_of(req.head(), &snapshot)?;
    let entry = |name: &str| ModelEntry { id: name.to_owned(), object: "model".into() };
    let data = snapshot.models.iter().map(|(_, m)| entry(&m.name)).collect();
    Ok(json(OK, &ModelList { object: "list".into(), data }))
}

async fn complete(
    worker: Rc<Worker>,
    req: Request,
    call: CallKey,
) -> Result<Response<CallerBody>, Refusal> {
    let (req, parsed) = read_json::<CompletionRequest>(&worker, req).await?;
    model_call::answer(worker, req.head(), call, parsed, AnswerStyle::Completion).await
}

async fn chat(
    worker: Rc<Worker>,
    req: Request,
    call: CallKey,
) -> Result<Response<CallerBody>, Refusal> {
    let (req, parsed) = read_json::<ChatRequest>(&worker, req).await?;
    model_call::answer(worker, req.head(), call, parsed.into(), AnswerStyle::Chat).await
}

/// Reads a JSON body, after the API key, so that strangers cannot make the daemon read much.
async fn read_json<T: DeserializeOwned>(
    worker: &Worker,
    mut req: Request,
) -> Result<(Request, T), Refusal> {
    auth::account_of(req.head(), &*worker.snapshot()?)?;
    let settings = &worker.shared.settings;
    let body = read_body(&mut req, settings.max_body_bytes, settings.request_timeout).await?;
    let parsed = serde_json::from_slice(&body);
    parsed.map(|parsed| (req, parsed)).map_err(|_| Refusal::not_run(RefusalCode::BadRequest))
}

impl Worker {
    /// Returns the configuration in force, or refuses.
    pub(super) fn snapshot(&self) -> Result<std::sync::Arc<cumintrail_config::Snapshot>, Refusal> {
        let missing = Refusal::not_run(RefusalCode::NotConfigured).retry_after(COME_BACK);
        self.shared.snapshot().ok_or(missing)
    }
}
