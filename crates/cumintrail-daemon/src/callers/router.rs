//! Routing of requests to their handlers, by path and method.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{ConnectionType, Method, Request, Response};
use cumintrail_types::{CallKey, Refusal, RefusalCode};
use cumintrail_wire::caller::{
    CALL_ID_HEADER, ChatRequest, CompletionRequest, ModelEntry, ModelList,
};
use serde::de::DeserializeOwned;

use super::model_response::ResponseFormat;
use super::refusal::{json_response, refusal_response};
use super::request::read_body;
use super::{ResponseBody, Worker, auth, model_call, operation_keys, service_call};

const OK: u16 = 200;
const UNAVAILABLE: u16 = 503;
const NOT_CONFIGURED_RETRY_AFTER: Duration = Duration::from_secs(1);
const SERVICES_PREFIX: &str = "/services/";

/// Handles one request.
///
/// A stopping daemon closes each connection after the response, since a load balancer that keeps
/// connections open would delay the planned stop.
pub async fn handle(worker: Rc<Worker>, req: Request) -> Response<ResponseBody> {
    let shared = worker.shared.clone();
    let call = shared.next_call_key();
    let mut response =
        route(worker, req, call).await.unwrap_or_else(|refusal| refusal_response(&refusal));
    if let Ok(id) = HeaderValue::from_str(&shared.call_id(call)) {
        response.headers_mut().insert(HeaderName::from_static(CALL_ID_HEADER), id);
    }
    if shared.is_stopping() {
        // The caller's next request is to reach another VM.
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}

async fn route(
    worker: Rc<Worker>,
    req: Request,
    call: CallKey,
) -> Result<Response<ResponseBody>, Refusal> {
    let path = req.path().to_owned();
    let method = req.method().clone();
    match (path.as_str(), method) {
        ("/livez", Method::GET) => Ok(json_response(OK, &"alive")),
        ("/readyz", Method::GET) if worker.shared.is_ready() => Ok(json_response(OK, &"ready")),
        ("/readyz", Method::GET) => Ok(json_response(UNAVAILABLE, &"not ready")),
        ("/v1/models", Method::GET) => list_models(&worker, &req),
        ("/v1/completions", Method::POST) => complete(worker, req, call).await,
        ("/v1/chat/completions", Method::POST) => chat(worker, req, call).await,
        ("/v1/operation-keys", Method::POST) => operation_keys::issue(&worker, &req),
        (path, _) if path.starts_with(SERVICES_PREFIX) => {
            service_call::handle(worker, req, call).await
        }
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

fn list_models(worker: &Worker, req: &Request) -> Result<Response<ResponseBody>, Refusal> {
    let snapshot = worker.snapshot()?;
    auth::authenticate(req.head(), &snapshot)?;
    let entry = |name: &str| ModelEntry { id: name.to_owned(), object: "model".into() };
    let data = snapshot.models.iter().map(|(_, m)| entry(&m.name)).collect();
    Ok(json_response(OK, &ModelList { object: "list".into(), data }))
}

async fn complete(
    worker: Rc<Worker>,
    req: Request,
    call: CallKey,
) -> Result<Response<ResponseBody>, Refusal> {
    let (req, parsed) = read_json::<CompletionRequest>(&worker, req).await?;
    model_call::handle(worker, req.head(), call, parsed, ResponseFormat::Completion).await
}

async fn chat(
    worker: Rc<Worker>,
    req: Request,
    call: CallKey,
) -> Result<Response<ResponseBody>, Refusal> {
    let (req, parsed) = read_json::<ChatRequest>(&worker, req).await?;
    model_call::handle(worker, req.head(), call, parsed.into(), ResponseFormat::Chat).await
}

/// Reads a JSON body, but only of an authenticated request, so that other clients cannot make the
/// daemon read large bodies.
async fn read_json<T: DeserializeOwned>(
    worker: &Worker,
    mut req: Request,
) -> Result<(Request, T), Refusal> {
    auth::authenticate(req.head(), &*worker.snapshot()?)?;
    let settings = &worker.shared.settings;
    let body = read_body(&mut req, settings.max_body_bytes, settings.request_timeout).await?;
    let parsed = serde_json::from_slice(&body);
    parsed.map(|parsed| (req, parsed)).map_err(|_| Refusal::not_run(RefusalCode::BadRequest))
}

impl Worker {
    /// Returns the configuration in force, or a refusal if there is none yet.
    pub(super) fn snapshot(&self) -> Result<std::sync::Arc<cumintrail_config::Snapshot>, Refusal> {
        let missing =
            Refusal::not_run(RefusalCode::NotConfigured).retry_after(NOT_CONFIGURED_RETRY_AFTER);
        self.shared.snapshot().ok_or(missing)
    }
}
