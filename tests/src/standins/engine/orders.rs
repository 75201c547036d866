//! Handlers of block imports and exports, weight loads, load reports and cache events.

use std::time::Instant;

use actix_http::{Method, Request, StatusCode};
use bytes::Bytes;
use cumintrail_types::Digest;
use cumintrail_wire::engine::{
    CacheEvents, EngineRefusalReason, ExportRequest, ExportResponse, ImportOutcome, ImportRequest,
    ImportResponse, LoadOrder, ProbeResponse,
};
use cumintrail_wire::store::{DIGEST_HEADER, WRITE_ID_HEADER};

use super::{Inner, Limits, State, TRANSFER_TIMEOUT, block_content, refuse};
use crate::http::{self, HttpResponse, json};

pub(super) async fn import(inner: &Inner, order: ImportRequest) -> HttpResponse {
    let path = format!("/blocks/{}", order.key);
    let tag = format!("\"{}\"", order.write_id);
    let got = http::send(
        Method::GET,
        order.store,
        &path,
        &[("if-match", &tag)],
        Bytes::new(),
        TRANSFER_TIMEOUT,
    )
    .await;
    let outcome = match got.status {
        200 if got.is_complete => {
            let (digest, length) = (Digest::of(&got.body), got.body.len() as u64);
            inner.lock().staged.insert(order.import, (order.key, got.body));
            ImportOutcome::Staged { digest, length: length.into() }
        }
        404 | 412 => ImportOutcome::Missing,
        _ => ImportOutcome::Failed,
    };
    json(StatusCode::OK, &ImportResponse { outcome })
}

pub(super) async fn export(inner: &Inner, order: ExportRequest) -> HttpResponse {
    if !inner.lock().cached.contains(&order.key) {
        return json(StatusCode::OK, &ExportResponse { sealed: None });
    }
    let bytes = block_content(order.key, inner.limits.block_bytes);
    let (digest, length) = (Digest::of(&bytes), bytes.len() as u64);
    let write_id = order.write_id.to_string();
    let headers = [(WRITE_ID_HEADER, write_id.as_str()), (DIGEST_HEADER, &digest.to_string())];
    let path = format!("/blocks/{}", order.key);
    let got = http::send(Method::PUT, order.store, &path, &headers, bytes, TRANSFER_TIMEOUT).await;
    let sealed = (got.status == 200).then(|| (digest, length.into()));
    json(StatusCode::OK, &ExportResponse { sealed })
}

pub(super) async fn handle_load_order(inner: &Inner, order: LoadOrder) -> HttpResponse {
    {
        let mut state = inner.lock();
        if inner.limits.checks_fencing && order.fencing < state.fencing {
            return refuse(EngineRefusalReason::OldFencing);
        }
        state.fencing = state.fencing.max(order.fencing);
        state.orders.push((order.fencing, order.version));
        state.loading += 1;
    }
    if let Some(weights) = inner.limits.weights {
        let path = format!("/weights/{}", order.version);
        http::send(Method::GET, weights, &path, &[], Bytes::new(), TRANSFER_TIMEOUT).await;
    }
    let mut state = inner.lock();
    state.loading -= 1;
    state.version = order.version;
    json(StatusCode::OK, &state.report())
}

pub(super) fn report(inner: &Inner, req: &Request) -> HttpResponse {
    let mut state = inner.lock();
    let now = Instant::now();
    let fresh = state.report();
    state.reports.push_back((now, fresh));
    while state.reports.len() > 1 && state.reports[1].0 + inner.limits.report_lag <= now {
        state.reports.pop_front();
    }
    let reported = state.reports.front().map_or(fresh, |(_, report)| *report);
    let requested = after(req).filter(|_| inner.limits.events_in_reports);
    let cache = requested.map(|after| events_after(&state, &inner.limits, after));
    json(StatusCode::OK, &ProbeResponse { report: reported, cache })
}

pub(super) fn cache_events(inner: &Inner, req: &Request) -> HttpResponse {
    let mut state = inner.lock();
    state.event_reads += 1;
    let events = events_after(&state, &inner.limits, after(req).unwrap_or(0));
    json(StatusCode::OK, &events)
}

fn after(req: &Request) -> Option<u64> {
    http::query(req, "after")?.parse().ok()
}

fn events_after(state: &State, limits: &Limits, after: u64) -> CacheEvents {
    let every = limits.event_gap_every;
    let reported = state.events.iter().filter(|(at, _)| at.elapsed() >= limits.event_lag);
    let events = reported.map(|(_, e)| *e).filter(|e| e.number > after);
    let events = events.filter(|e| every == 0 || e.number % every != 0).collect();
    let oldest = state.events.front().map_or(state.next_event, |(_, e)| e.number);
    CacheEvents { incarnation: state.incarnation, oldest, events }
}
