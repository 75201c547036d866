//! The endpoint for operators and peers, with its own address and keys.

use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Method, Request, Response, StatusCode};
use actix_server::ServerHandle;
use cumintrail_control::{Dump, Event, PeerDigest};
use cumintrail_types::{Refusal, RefusalCode};
use cumintrail_wire::feed::FeedRequest;
use cumintrail_wire::operator::{Age, DrainRequest, LiftRequest, Status};
use cumintrail_wire::peer::{
    ConfigReply, ConfigRequest, DigestMessage, DigestReply, ForwardRequest, VmListReply,
    VmListRequest,
};
use cumintrail_wire::{from_msgpack, to_msgpack};
use serde::Serialize;

use crate::callers::{ResponseBody, Worker, auth, operation_keys, refusal, request};
use crate::endpoint::{self, EndpointLimits};
use crate::held::{HeldAccount, HeldLimits, Port};
use crate::shared::Shared;
use crate::{degraded, gateway, metric};

const STATUS_OK: u16 = 200;
const STATUS_UNAVAILABLE: u16 = 503;
const MAX_DRAIN_REQUEST_BYTES: usize = 4 << 10;
/// Peers keep their connections open, so a graceful shutdown waits for them only this long.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_PEER_MESSAGE_BYTES: usize = 32 << 20;

/// Serves operators and peers on `listener`; an account counts what their connections hold.
pub fn serve(
    listener: TcpListener,
    shared: Arc<Shared>,
    held: Option<Arc<HeldAccount>>,
) -> io::Result<ServerHandle> {
    let settings = &shared.settings;
    let accepted = held.as_ref().map(|account| max_accepted(account.limits()));
    let limits = EndpointLimits {
        workers: 1,
        connections_per_worker: accepted.unwrap_or(settings.max_connections),
        request_timeout: settings.request_timeout,
        write_timeout: settings.stall_limit,
        shutdown_timeout: SHUTDOWN_TIMEOUT,
        held: held.map(|account| (account, Port::Control)),
    };
    endpoint::serve(listener, limits, shared, handle)
}

/// Returns the connections that the HTTP library accepts. They exceed the limit of the account, which
/// closes the worst connection when another one is accepted; the library accepts a whole backlog
/// before it serves any connection.
fn max_accepted(limits: &HeldLimits) -> usize {
    let limit = limits.connections(Port::Control);
    limit + limit.div_ceil(4)
}

async fn handle(worker: Rc<Worker>, req: Request) -> Response<ResponseBody> {
    route(worker, req).await.unwrap_or_else(|refusal| refusal::refusal_response(&refusal))
}

async fn route(worker: Rc<Worker>, mut req: Request) -> Result<Response<ResponseBody>, Refusal> {
    let shared = &*worker.shared().clone();
    let path = req.path().to_owned();
    let settings = &shared.settings;
    let key = if path.starts_with("/peer/") { &settings.peer_key } else { &settings.operator_key };
    let is_health = matches!(path.as_str(), "/livez" | "/readyz");
    if !is_health && !auth::has_bearer_key(req.head(), key.expose()) {
        return Err(Refusal::not_run(RefusalCode::Unauthorized));
    }
    match (req.method().clone(), path.as_str()) {
        (Method::GET, "/livez") => Ok(refusal::json_response(STATUS_OK, &"alive")),
        (Method::GET, "/readyz") if shared.is_ready() => {
            Ok(refusal::json_response(STATUS_OK, &"ready"))
        }
        (Method::GET, "/readyz") => Ok(refusal::json_response(STATUS_UNAVAILABLE, &"not ready")),
        (Method::GET, "/metrics") => Ok(render_metrics()),
        (Method::GET, "/debug/state") => {
            Ok(refusal::json_response(STATUS_OK, &dump(shared).await?))
        }
        (Method::GET, "/operator/status") => {
            Ok(refusal::json_response(STATUS_OK, &status(shared).await?))
        }
        (Method::POST, "/operator/drain") => handle_drain(shared, &mut req).await,
        (Method::POST, "/operator/lift") => handle_lift(shared, &mut req).await,
        (Method::POST, "/peer/digest") => handle_digest(shared, &mut req).await,
        (Method::POST, "/peer/config") => handle_config_request(shared, &mut req).await,
        (Method::POST, "/peer/feed") => handle_feed_request(shared, &mut req).await,
        (Method::POST, "/peer/vms") => handle_vm_list_request(shared, &mut req).await,
        (Method::POST, "/peer/forward") => handle_forwarded_call(worker, &mut req).await,
        _ => Err(Refusal::not_run(RefusalCode::NotFound)),
    }
}

fn render_metrics() -> Response<ResponseBody> {
    let text = metric::render();
    let mut response = Response::with_body(StatusCode::OK, ResponseBody::Full(text.into()));
    let plain = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}

async fn dump(shared: &Shared) -> Result<Dump, Refusal> {
    shared.control.dump().await.ok_or(Refusal::not_run(RefusalCode::Stopping))
}

async fn status(shared: &Shared) -> Result<Status, Refusal> {
    let dump = dump(shared).await?;
    let degraded = degraded::degradations(shared, &dump);
    Ok(Status {
        vm: dump.vm,
        domain: dump.domain,
        generation: shared.generation(),
        preset: dump.preset,
        ready: shared.is_ready(),
        up: Age(dump.up_ms),
        degraded,
        calls: dump.calls.len(),
        waiting: dump.waiting,
        pending_outcomes: shared.pending_outcomes(),
    })
}

/// Drains a target or this daemon; the request may be repeated.
async fn handle_drain(
    shared: &Shared,
    req: &mut Request,
) -> Result<Response<ResponseBody>, Refusal> {
    let settings = &shared.settings;
    let body = request::read_body(req, MAX_DRAIN_REQUEST_BYTES, settings.request_timeout).await?;
    let order = serde_json::from_slice(&body);
    match order.map_err(|_| Refusal::not_run(RefusalCode::BadRequest))? {
        DrainRequest::Target(name) => {
            let snapshot = shared.snapshot();
            let targets = snapshot.iter().flat_map(|s| s.targets.iter());
            let mut matching = targets.filter(|(_, t)| t.name == name && !t.retired);
            let (target, _) = matching.next().ok_or(Refusal::not_run(RefusalCode::NotFound))?;
            shared.control.send(Event::DrainTarget { target }).await;
        }
        DrainRequest::Vm(name) if name == settings.vm => {
            if !shared.is_stopping() {
                log::info!("vm {name} is drained by an operator");
                shared.begin_stop();
                let (control, grace) = (shared.control.clone(), settings.stop_grace);
                // The load balancer sends calls until it notices that the daemon is not ready.
                actix_rt::spawn(async move {
                    actix_rt::time::sleep(grace).await;
                    control.send(Event::Stopping).await;
                });
            }
        }
        DrainRequest::Vm(_) => return Err(Refusal::not_run(RefusalCode::NotFound)),
    }
    Ok(refusal::json_response(STATUS_OK, &"draining"))
}

/// Lifts the quarantine of content; `not-found` if it is not in quarantine here.
async fn handle_lift(
    shared: &Shared,
    req: &mut Request,
) -> Result<Response<ResponseBody>, Refusal> {
    let timeout = shared.settings.request_timeout;
    let body = request::read_body(req, MAX_DRAIN_REQUEST_BYTES, timeout).await?;
    let request: Result<LiftRequest, _> = serde_json::from_slice(&body);
    let request = request.map_err(|_| Refusal::not_run(RefusalCode::BadRequest))?;
    let entries = dump(shared).await?.quarantined;
    let entry = entries.iter().find(|entry| entry.content == *request.content);
    let entry = entry.ok_or(Refusal::not_run(RefusalCode::NotFound))?;
    let content = u64::from_str_radix(&entry.content, 16);
    let content = content.map_err(|_| Refusal::not_run(RefusalCode::BadRequest))?.into();
    shared.control.send(Event::LiftQuarantine { content }).await;
    Ok(refusal::json_response(STATUS_OK, &"lifted"))
}

async fn handle_digest(
    shared: &Shared,
    req: &mut Request,
) -> Result<Response<ResponseBody>, Refusal> {
    let message: DigestMessage = read_message(shared, req).await?;
    let digest = PeerDigest::from(message);
    if let Some(from) = digest.address {
        shared.record_peer_generation(digest.generation, from);
    }
    let announced = digest.versions.iter().map(|v| (v.weights.clone(), v.version));
    shared.announced_versions.send_if_modified(|known| {
        let changed = !known.iter().cloned().eq(announced.clone());
        if changed {
            *known = announced.collect();
        }
        changed
    });
    shared.control.send(Event::PeerDigest(Box::new(digest))).await;
    msgpack_response(&DigestReply { generation: shared.generation() })
}

async fn handle_config_request(
    shared: &Shared,
    req: &mut Request,
) -> Result<Response<ResponseBody>, Refusal> {
    let request: ConfigRequest = read_message(shared, req).await?;
    msgpack_response(&config_reply(shared, request))
}

async fn handle_feed_request(
    shared: &Shared,
    req: &mut Request,
) -> Result<Response<ResponseBody>, Refusal> {
    let request: FeedRequest = read_message(shared, req).await?;
    msgpack_response(&gateway::feed_reply(shared, &request).await)
}

async fn handle_vm_list_request(
    shared: &Shared,
    req: &mut Request,
) -> Result<Response<ResponseBody>, Refusal> {
    let request: VmListRequest = read_message(shared, req).await?;
    msgpack_response(&VmListReply::from(shared.vm_list().changes_after(request.after)))
}

fn msgpack_response<T: Serialize>(message: &T) -> Result<Response<ResponseBody>, Refusal> {
    let body = to_msgpack(message).map_err(|_| Refusal::not_run(RefusalCode::BadRequest))?;
    Ok(Response::with_body(StatusCode::OK, ResponseBody::Full(body.into())))
}

async fn handle_forwarded_call(
    worker: Rc<Worker>,
    req: &mut Request,
) -> Result<Response<ResponseBody>, Refusal> {
    let request: ForwardRequest = read_message(worker.shared(), req).await?;
    let body = to_msgpack(&operation_keys::run_forwarded(worker, request).await);
    let body = body.map_err(|_| Refusal::unknown(RefusalCode::OutcomeUnknown))?;
    Ok(Response::with_body(StatusCode::OK, ResponseBody::Full(body.into())))
}

fn config_reply(shared: &Shared, request: ConfigRequest) -> ConfigReply {
    let adopted = shared.adopted();
    adopted.map_or(ConfigReply::Nothing, |a| a.configuration.reply_to(request.after))
}

async fn read_message<T: serde::de::DeserializeOwned>(
    shared: &Shared,
    req: &mut Request,
) -> Result<T, Refusal> {
    let body =
        request::read_body(req, MAX_PEER_MESSAGE_BYTES, shared.settings.request_timeout).await?;
    from_msgpack(&body).map_err(|_| Refusal::not_run(RefusalCode::BadRequest))
}
