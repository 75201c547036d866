//! Runs the actions of the control state that need I/O, such as probes, exports and digests.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use cumintrail_client::{Engine, Peer, Store};
use cumintrail_control::store_sync::{StoreRead, StoreResponse};
use cumintrail_control::{Action, Event, Export, PeerDigest};
use cumintrail_types::{Incarnation, Sealed, StoreKey, TargetKey, Tier};
use cumintrail_wire::engine::{CacheEvents, ExportRequest};
use cumintrail_wire::peer::DigestMessage;

use super::{Background, rollout, vm_list, warm};
use crate::metric;
use crate::shared::Shared;

/// Tracks, for each target, which cache events were read.
#[derive(Default)]
pub struct CacheCursors {
    targets: HashMap<TargetKey, Rc<CacheCursor>>,
}

#[derive(Default)]
struct CacheCursor {
    incarnation: Cell<Incarnation>,
    last_event: Cell<u64>,
    probing: Cell<bool>,
}

/// Starts one action and returns without waiting for its end.
pub fn start(background: &Rc<Background>, cursors: &mut CacheCursors, action: Action) {
    let background = background.clone();
    match action {
        Action::Probe(target) => {
            let cursor = cursors.targets.entry(target).or_default().clone();
            if !cursor.probing.replace(true) {
                actix_rt::spawn(async move {
                    probe_target(&background, target, &cursor).await;
                    cursor.probing.set(false);
                });
            }
        }
        Action::Export(order) => {
            actix_rt::spawn(async move { export_block(&background, order).await });
        }
        Action::Free { store, sealed } => {
            actix_rt::spawn(async move { free_block(&background, store, sealed).await });
        }
        Action::ReadStore { store, read_id, read } => {
            actix_rt::spawn(async move { read_store(&background, store, read_id, read).await });
        }
        Action::ReadGeneration => background.generation_read_requested.notify_one(),
        Action::ReadVmList => background.vm_list_read_requested.notify_one(),
        Action::GetVmList { from } => {
            actix_rt::spawn(async move { vm_list::request_from_peer(&background, from).await });
        }
        Action::SendDigest { to, digest } => {
            actix_rt::spawn(async move {
                send_digest(&background.peers, &background.shared, to, *digest).await;
            });
        }
        Action::Lease(request) => {
            actix_rt::spawn(async move {
                rollout::exchange_lease(&background.platform, &background.shared, request).await;
            });
        }
        Action::Order(order) => {
            actix_rt::spawn(async move { rollout::send_order(&background, order).await });
        }
        Action::Cancel { call, attempt, target } => {
            actix_rt::spawn(async move {
                let id = format!("{}-{attempt}", background.shared.call_id(call));
                if let Some(at) = background.target_address(target) {
                    // An unreachable engine stops by itself when its response is no longer read.
                    let _ = background.engines.cancel(at, &id).await;
                }
            });
        }
        Action::PreloadPrompt { target, material } => {
            actix_rt::spawn(
                async move { warm::preload_prompt(&background, target, material).await },
            );
        }
        // Parts are stored only in stores of a platform with a target registry.
        Action::Dispatch(_)
        | Action::Detour(_)
        | Action::CheckReach { .. }
        | Action::ReportShortage { .. }
        | Action::ReportReach { .. }
        | Action::ReportDomainReach { .. }
        | Action::Abandon { .. }
        | Action::Refuse { .. }
        | Action::ReportQuarantine(_)
        | Action::ReportAnnouncement(_)
        | Action::ReportBegin(_)
        | Action::ReportLimit(_)
        | Action::ReportEvacuation(_)
        | Action::ReportSpill(_)
        | Action::ReportCold(_)
        | Action::SoftwareHistory(_)
        | Action::FreeParts { .. }
        | Action::AssignReaders(_) => {}
    }
}

impl Background {
    pub(super) fn target_address(&self, target: TargetKey) -> Option<std::net::SocketAddr> {
        self.shared.snapshot()?.targets.get(target).map(|t| t.address)
    }

    fn store_address(&self, store: StoreKey) -> Option<std::net::SocketAddr> {
        self.shared.snapshot()?.stores.get(store).map(|s| s.address)
    }
}

async fn probe_target(background: &Background, target: TargetKey, cursor: &CacheCursor) {
    let Some(at) = background.target_address(target) else {
        return;
    };
    let control = &background.shared.control;
    let after = cursor.last_event.get();
    let response = match background.engines.probe(at, after).await {
        Ok(response) => response,
        // A plain service may have no report path; any response shows that it is alive.
        Err(e) if e.has_response() => return control.send(Event::TargetResponded { target }).await,
        Err(_) => return control.send(Event::TargetSilent { target }).await,
    };
    let report = response.report;
    control.send(Event::TargetReported { target, report: report.into() }).await;
    if report.version.0 == 0 {
        return;
    }
    let is_new_incarnation = cursor.incarnation.replace(report.incarnation) != report.incarnation;
    if is_new_incarnation {
        cursor.last_event.set(0);
    }
    let events = match response.cache {
        // A new incarnation numbers its events from the start.
        Some(events) if !is_new_incarnation || after == 0 => Some(events),
        _ => background.engines.cache_events(at, cursor.last_event.get()).await.ok(),
    };
    if let Some(event) = events.and_then(|events| cache_change_event(target, cursor, &events)) {
        control.send(event).await;
    }
}

fn cache_change_event(
    target: TargetKey,
    cursor: &CacheCursor,
    events: &CacheEvents,
) -> Option<Event> {
    let gap = events.oldest > cursor.last_event.get() + 1;
    let newest = events.events.last()?.number;
    cursor.last_event.set(newest);
    let mut stored_by_key: HashMap<_, bool> = HashMap::new();
    for event in &events.events {
        stored_by_key.insert(event.key, event.stored);
    }
    let keys =
        |wanted: bool| stored_by_key.iter().filter(move |(_, s)| **s == wanted).map(|(k, _)| *k);
    let (stored, evicted) = (keys(true).collect(), keys(false).collect());
    let incarnation = events.incarnation;
    Some(Event::CacheChanged { target, incarnation, gap, stored, evicted })
}

async fn export_block(background: &Background, order: Export) {
    let addresses =
        background.target_address(order.target).zip(background.store_address(order.store));
    let Some((at, store)) = addresses else { return };
    let message = ExportRequest { key: order.key, store, write_id: order.write_id };
    let report = background.engines.export(at, &message).await;
    let sealed = report.ok().and_then(|r| r.sealed).map(|(digest, length)| {
        (Sealed { key: order.key, write_id: order.write_id, digest, length }, Tier::Memory)
    });
    background.shared.control.send(Event::Exported { export: order, sealed }).await;
}

async fn free_block(background: &Background, store: StoreKey, sealed: Sealed) {
    let Some(at) = background.store_address(store) else {
        return;
    };
    // A store that refuses has a different write of the block, or none.
    let response = background.stores.free(at, &sealed).await;
    if response.is_err_and(|e| !e.has_response()) {
        background.shared.control.send(Event::FreeFailed { store, sealed }).await;
    }
}

const fn read_label(read: StoreRead) -> &'static str {
    match read {
        StoreRead::Summary => "summary",
        StoreRead::Listing { .. } => "listing",
        StoreRead::Changes { .. } => "changes",
    }
}

async fn read_store(background: &Background, store: StoreKey, read_id: u32, read: StoreRead) {
    let Some(at) = background.store_address(store) else {
        return;
    };
    metrics::counter!(metric::STORE_READS, "read" => read_label(read)).increment(1);
    let stores = &background.stores;
    let response = match read {
        StoreRead::Summary => stores.summary(at).await.map(StoreResponse::from),
        StoreRead::Listing { after } => stores.list(at, after).await.map(StoreResponse::from),
        StoreRead::Changes { after } => stores.changes(at, after).await.map(StoreResponse::from),
    };
    let event = match response {
        Ok(response) => Event::StoreResponded { store, read_id, response },
        Err(_) => Event::StoreSilent { store, read_id },
    };
    background.shared.control.send(event).await;
}

/// Sends a digest to a peer and records its generation, or reports the peer as silent.
pub async fn send_digest(
    peers: &impl Peer,
    shared: &Shared,
    to: std::net::SocketAddr,
    digest: PeerDigest,
) {
    let message = DigestMessage::from(digest);
    let size = cumintrail_wire::to_msgpack(&message).map_or(0, |m| m.len());
    metrics::counter!(metric::PEER_BYTES).increment(size as u64);
    match peers.digest(to, &message).await {
        Ok(reply) => shared.record_peer_generation(reply.generation, to),
        Err(_) => shared.control.send(Event::PeerSilent { address: to }).await,
    }
}
