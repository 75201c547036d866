//! Calls to plain services.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::AUTHORIZATION;
use actix_http::{HttpMessage, Request, Response, StatusCode};
use cumintrail_client::{ClientError, Service, ServiceAnswer, ServiceCall};
use cumintrail_config::TargetKind;
use cumintrail_control::{Arrival, AttemptOutcome, Dispatch, Event, Usage};
use cumintrail_types::{
    AccountKey, CallClass, Refusal, RefusalCode, ServiceKey, Tokens, WeightVersion,
};
use tokio::sync::{mpsc, oneshot};

use super::model_answer::lost;
use super::{CallerBody, Worker, auth, request};
use crate::control_thread::Command;
use crate::metric;

const ROOT: &str = "/services/";

/// Answers a call to `/services/{name}/…`.
pub async fn answer(worker: Rc<Worker>, mut req: Request) -> Result<Response<CallerBody>, Refusal> {
    let snapshot = worker.snapshot()?;
    let account = auth::account_of(req.head(), &snapshot)?;
    let (key, path) = split_path(&snapshot, &req)?;
    let service = snapshot.services.get(key).ok_or(Refusal::not_run(RefusalCode::NotFound))?;
    let patience = request::patience(req.head(), service.timeout)?;
    let class = match req.method() {
        method if service.repeatable.iter().any(|m| **m == *method.as_str()) => {
            CallClass::Repeatable
        }
        _ => CallClass::Once,
    };
    let settings = &worker.shared.settings;
    let body =
        request::read_body(&mut req, settings.max_body_bytes, settings.request_timeout).await?;
    let headers = req.headers().iter().filter(|(name, _)| **name != AUTHORIZATION);
    let call = ServiceCall {
        method: req.method().clone(),
        path,
        headers: headers.map(|(name, value)| (name.clone(), value.clone())).collect(),
        body,
        within: patience,
    };

    let commands = announce(&worker, account, key, class, patience)?;
    // The task goes on when the caller leaves, so the outcome of a sent call is always learned.
    let (tx, rx) = oneshot::channel();
    actix_rt::spawn(async move {
        let _ = tx.send(run(&worker, call, commands).await);
    });
    rx.await.unwrap_or_else(|_| Err(lost())).map(to_response)
}

fn split_path(
    snapshot: &cumintrail_config::Snapshot,
    req: &Request,
) -> Result<(ServiceKey, String), Refusal> {
    let rest = req.path().strip_prefix(ROOT).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let query = req.uri().query().map(|q| format!("?{q}")).unwrap_or_default();
    let key = snapshot.service(name).ok_or(Refusal::not_run(RefusalCode::NotFound))?;
    Ok((key, format!("/{path}{query}")))
}

fn announce(
    worker: &Worker,
    account: AccountKey,
    service: ServiceKey,
    class: CallClass,
    patience: Duration,
) -> Result<mpsc::UnboundedReceiver<Command>, Refusal> {
    let arrival = Arrival {
        call: worker.shared.next_call(),
        account,
        class,
        kind: TargetKind::Service(service),
        version: WeightVersion(0),
        pieces: [].into(),
        prompt: Tokens(0),
        max_answer: Tokens(0),
        deadline: worker.shared.now() + patience,
    };
    worker.shared.control.arrive(arrival).map_err(|_| Refusal::not_run(RefusalCode::Overloaded))
}

/// Follows the control thread's commands until the call is answered or given up.
async fn run(
    worker: &Worker,
    call: ServiceCall,
    mut commands: mpsc::UnboundedReceiver<Command>,
) -> Result<ServiceAnswer, Refusal> {
    loop {
        let dispatch = match commands.recv().await {
            Some(Command::Dispatch(dispatch)) => dispatch,
            Some(Command::Refuse(refusal)) => return Err(refusal),
            None => return Err(lost()),
        };
        let sent = tokio::select! {
            sent = send(worker, &dispatch, &call) => sent,
            refusal = refused(&mut commands) => return Err(refusal),
        };
        let outcome = match &sent {
            Ok(_) => AttemptOutcome::Answered(Usage::default()),
            Err(e) if e.may_have_arrived() => AttemptOutcome::Failed { answered: Tokens(0) },
            Err(_) => AttemptOutcome::NotSent,
        };
        let event = Event::AttemptEnded { call: dispatch.call, attempt: dispatch.attempt, outcome };
        worker.shared.control.tell(event).await;
        if let Ok(answer) = sent {
            metrics::counter!(metric::CALLS, "outcome" => "answered").increment(1);
            return Ok(answer);
        }
    }
}

async fn send(
    worker: &Worker,
    dispatch: &Dispatch,
    call: &ServiceCall,
) -> Result<ServiceAnswer, ClientError> {
    let snapshot = worker.shared.snapshot();
    let target = snapshot.as_ref().and_then(|s| s.targets.get(dispatch.target));
    match target {
        Some(target) => worker.services.call(target.address, call).await,
        None => Err(ClientError::NotSent),
    }
}

async fn refused(commands: &mut mpsc::UnboundedReceiver<Command>) -> Refusal {
    loop {
        match commands.recv().await {
            Some(Command::Refuse(refusal)) => return refusal,
            Some(Command::Dispatch(_)) => {}
            None => return lost(),
        }
    }
}

fn to_response(answer: ServiceAnswer) -> Response<CallerBody> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::with_body(status, CallerBody::Whole(answer.body));
    for (name, value) in answer.headers {
        response.headers_mut().append(name, value);
    }
    response
}
