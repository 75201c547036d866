//! Fetches configurations and weight versions from peers, for a daemon that cannot read them from
//! the platform.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_client::{HttpPeer, Peer};
use cumintrail_types::Generation;
use cumintrail_wire::peer::{ConfigReply, ConfigRequest};
use tokio::sync::mpsc;

use super::Update;
use crate::shared::Shared;

/// Interval between two rounds of requests to the configured peers while no configuration is in
/// force.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(500);

/// Requests the configuration of a peer that reports a higher generation, and forwards the weight
/// versions that peers announce, until the process ends.
pub async fn run(shared: Arc<Shared>, peers: Rc<HttpPeer>, updates: mpsc::UnboundedSender<Update>) {
    let mut newer = shared.newer_generation.subscribe();
    let mut versions = shared.announced_versions.subscribe();
    loop {
        let bootstrapping = shared.generation() == Generation(0);
        tokio::select! {
            changed = versions.changed() => {
                let received = versions.borrow_and_update().clone();
                if changed.is_err() || updates.send(Update::Versions(received)).is_err() {
                    return;
                }
                continue;
            }
            changed = newer.changed() => if changed.is_err() { return },
            () = actix_rt::time::sleep(BOOTSTRAP_INTERVAL), if bootstrapping => {
                for peer in shared.settings.peers.clone() {
                    request_configuration(&shared, &peers, &updates, peer).await;
                }
                continue;
            }
        }
        let received = *newer.borrow_and_update();
        if let Some(received) = received.filter(|n| n.generation > shared.generation()) {
            request_configuration(&shared, &peers, &updates, received.from).await;
        }
    }
}

async fn request_configuration(
    shared: &Shared,
    peers: &HttpPeer,
    updates: &mpsc::UnboundedSender<Update>,
    from: SocketAddr,
) {
    let current = shared.configuration();
    let request = ConfigRequest { after: current.generation };
    match peers.config(from, &request).await {
        Ok(ConfigReply::Nothing) => {}
        Ok(reply) => {
            let next = current.with_reply(reply);
            log::info!("event=configuration-heard generation={} from={from}", next.generation);
            // The send fails only when the process is ending, as the publisher runs until then.
            let _ = updates.send(Update::Configuration(Box::new(next)));
        }
        // The next digest that reports a higher generation triggers another request.
        Err(e) => log::debug!("event=configuration-asked from={from} outcome=failed cause=\"{e}\""),
    }
}
