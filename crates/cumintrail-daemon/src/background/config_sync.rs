//! Adopts configurations from the platform and from peers; docs/DESIGN.md, "Configuration".
//!
//! One task reads the platform and another requests configurations from peers, so that a slow
//! platform does not delay the adoption of a peer's newer generation.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use cumintrail_client::Peer;
use cumintrail_client::config_log::{self, LogError};
use cumintrail_config::{Problems, Snapshot};
use cumintrail_control::Event;
use cumintrail_types::Generation;
use cumintrail_wire::configuration::Configuration;
use cumintrail_wire::peer::{ConfigReply, ConfigRequest};
use futures_util::future::{join, join_all};
use rand::seq::IndexedRandom;
use snafu::Snafu;

use super::Background;
use crate::metric;
use crate::shared::{AdoptedConfiguration, AdoptionFailure};

/// Number of known peers, chosen at random, that receive concurrent requests for the configuration
/// after a read from the platform, or from a peer with a newer generation, failed.
const PEER_SAMPLE_SIZE: usize = 4;

/// Reports why a newer configuration could not be read or adopted.
#[derive(Debug, Snafu)]
enum SyncError {
    #[snafu(transparent)]
    Log { source: LogError },
    #[snafu(transparent)]
    Invalid { source: Problems },
}

/// Reads the committed generation from the platform at each request of the control state, until the
/// process ends; requests the configuration from known peers if the platform cannot be read.
pub async fn sync_with_platform(background: Rc<Background>) {
    loop {
        background.generation_read_requested.notified().await;
        let (platform, ()) =
            join(read_from_platform(&background), request_from_configured_peers(&background)).await;
        record_contact(&background, &platform);
        let succeeded = platform.is_ok();
        background.shared.control.send(Event::GenerationRead { succeeded }).await;
        if let Err(e) = platform {
            metrics::counter!(metric::PLATFORM_ERRORS, "part" => "config").increment(1);
            log::debug!("no configuration from the platform: {e}");
            request_from_known_peers(&background).await;
        }
    }
}

/// Requests the configuration from each peer that reports a newer generation, until the process
/// ends; requests it from known peers if that peer does not respond.
pub async fn sync_with_peers(background: Rc<Background>) {
    let mut newer = background.shared.newer_generation.subscribe();
    while newer.changed().await.is_ok() {
        let Some(newest) = *newer.borrow_and_update() else {
            continue;
        };
        if newest.generation <= background.shared.generation() {
            continue;
        }
        if !request_from_peer(&background, newest.from).await {
            request_from_known_peers(&background).await;
        }
    }
}

/// Records whether the platform responded, and logs when that changes.
fn record_contact(background: &Background, synced: &Result<(), SyncError>) {
    let responded = !matches!(synced, Err(SyncError::Log { source: LogError::Client { .. } }));
    let shared = &background.shared;
    metrics::gauge!(metric::PLATFORM_REACHABLE).set(if responded { 1.0 } else { 0.0 });
    match shared.platform_contact.record_exchange(shared.now(), responded) {
        true if responded => log::info!("the platform answers again"),
        true => log::warn!("the platform does not answer; the last configuration stays in force"),
        false => {}
    }
}

async fn read_from_platform(background: &Background) -> Result<(), SyncError> {
    let head = config_log::read_head(&background.platform).await?;
    let shared = &background.shared;
    if head.generation() <= shared.generation().max(shared.failed_generation()) {
        return Ok(());
    }
    let current = shared.configuration();
    let next = config_log::read_configuration(&background.platform, &head, &current).await?;
    adopt(background, next).await
}

/// Requests the configuration from all peers of the settings while none is in force, so that the
/// daemon starts with the highest generation of the platform and these peers.
async fn request_from_configured_peers(background: &Background) {
    if background.shared.generation() == Generation(0) {
        let peers = &background.shared.settings.peers;
        join_all(peers.iter().map(|peer| request_from_peer(background, *peer))).await;
    }
}

/// Requests the configuration from a few random peers that are not silent, and from peers of the
/// settings that are not among the known ones.
async fn request_from_known_peers(background: &Background) {
    let dump = background.shared.control.dump().await;
    let known = dump.into_iter().flat_map(|d| d.peers);
    let known: Vec<SocketAddr> =
        known.filter(|(_, p)| p.liveness != "silent").map(|(address, _)| address).collect();
    let mut selected: Vec<SocketAddr> =
        known.choose_multiple(&mut rand::rng(), PEER_SAMPLE_SIZE).copied().collect();
    let configured = &background.shared.settings.peers;
    selected.extend(configured.iter().filter(|p| !known.contains(p)));
    join_all(selected.into_iter().map(|peer| request_from_peer(background, peer))).await;
}

/// Requests a newer configuration from one peer and adopts it; returns whether the peer responded,
/// even if its configuration could not be adopted.
async fn request_from_peer(background: &Background, peer: SocketAddr) -> bool {
    let current = background.shared.configuration();
    let request = ConfigRequest { after: current.generation };
    let reply = match background.peers.config(peer, &request).await {
        Ok(ConfigReply::Nothing) => return true,
        Ok(reply) => reply,
        Err(_) => return false,
    };
    if let Err(e) = adopt(background, current.with_reply(reply)).await {
        log::debug!("cannot adopt the configuration of peer {peer}: {e}");
    }
    true
}

/// Puts a configuration in force if its generation is higher than the one in force.
async fn adopt(background: &Background, next: Configuration) -> Result<(), SyncError> {
    let shared = &background.shared;
    // Both tasks adopt configurations, and a snapshot is built from the previous one.
    let _one_at_a_time = background.adoption_lock.lock().await;
    if !next.supersedes(shared.generation()) {
        return Ok(());
    }
    let generation = next.generation;
    let snapshot = match build_snapshot(&next, shared.snapshot().as_deref()) {
        Ok(snapshot) => Arc::new(snapshot),
        Err(problems) => {
            if shared.failed_generation() < generation {
                log::error!("generation {generation} cannot be put in force: {problems}");
            }
            let reason = problems.to_string();
            shared.set_adoption_failure(Some(AdoptionFailure { generation, reason }));
            return Err(problems.into());
        }
    };
    // The control state must know new keys before a traffic thread can use them.
    shared.control.send(Event::Configured(snapshot.clone())).await;
    log::info!("generation {generation} is in force, preset {}", next.preset);
    shared.adopt(Arc::new(AdoptedConfiguration { snapshot, configuration: next }));
    shared.set_adoption_failure(None);
    metrics::gauge!(metric::GENERATION).set(generation.0 as f64);
    Ok(())
}

fn build_snapshot(next: &Configuration, previous: Option<&Snapshot>) -> Result<Snapshot, Problems> {
    let parsed = next.sections.to_parsed()?;
    Snapshot::build(next.generation, &parsed, Some(&next.preset), previous)
}
