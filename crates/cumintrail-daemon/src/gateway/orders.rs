//! The background thread of a gateway: follows feeds and peers, and runs the actions of the control
//! state.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_client::{HttpPeer, LoadRequest, PartsStore, TargetOrders};
use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_control::feed::{FeedTable, ReaderAssignment};
use cumintrail_control::parts::StoredPart;
use cumintrail_control::{Action, Event, Order, OrderKind};
use cumintrail_types::{LogText, Moment, StoreKey};
use tokio::sync::mpsc;

use super::publish::Publisher;
use super::reach::check_reach;
use super::{Platform, follow, follower, parts, peers};
use crate::background::{
    exchange_history, exchange_lease, order_outcome, report_configured_peers, run_before,
    send_digest,
};
use crate::metric;
use crate::shared::Shared;

struct ActionRunner<P: Platform> {
    shared: Arc<Shared>,
    client: P::Client,
    peers: Rc<HttpPeer>,
}

/// Starts the background tasks, then runs each action until the control thread ends. Changes of the
/// platform's tables must be in force within `apply_limit`.
pub async fn run<P: Platform>(
    shared: Arc<Shared>,
    platform: P,
    apply_limit: Duration,
    mut actions: mpsc::UnboundedReceiver<Action>,
) {
    let (tx, rx) = mpsc::unbounded_channel();
    let publisher = Publisher::new(shared.clone(), platform.clone());
    actix_rt::spawn(publisher.run(rx));
    for table in FeedTable::ALL {
        let (shared, platform) = (shared.clone(), platform.clone());
        actix_rt::spawn(follow::run(shared, platform, table, apply_limit, tx.clone()));
    }
    report_configured_peers(&shared).await;
    let peers = Rc::new(HttpPeer::open(shared.settings.peer_key.expose()));
    actix_rt::spawn(follower::run(shared.clone(), platform.clone(), peers.clone(), tx.clone()));
    actix_rt::spawn(peers::run(shared.clone(), peers.clone(), tx));
    actix_rt::spawn(parts::follow_all(shared.clone(), platform.clone()));
    actix_rt::spawn(metric::run_maintenance());
    let runner: Rc<ActionRunner<P>> =
        Rc::new(ActionRunner { client: platform.open(), shared, peers });
    while let Some(action) = actions.recv().await {
        let runner = runner.clone();
        actix_rt::spawn(async move { runner.run_action(action).await });
    }
}

impl<P: Platform> ActionRunner<P> {
    async fn run_action(&self, action: Action) {
        match action {
            Action::Lease(request) => exchange_lease(&self.client, &self.shared, request).await,
            Action::SoftwareHistory(request) => {
                exchange_history(&self.client, &self.shared, request).await;
            }
            Action::Order(order) => self.send_order(&order).await,
            Action::CheckReach { scope, check } => {
                check_reach(&self.shared, scope, &check).await;
            }
            Action::Probe(target) => self.probe_target(target).await,
            Action::SendDigest { to, digest } => {
                send_digest(&*self.peers, &self.shared, to, *digest).await;
            }
            Action::FreeParts { store, epoch, parts, not_after } => {
                self.free_parts(store, epoch, &parts, not_after).await;
            }
            Action::AssignReaders(assignment) => {
                let ReaderAssignment { readers, reader_count, domain_daemons, .. } = &assignment;
                log::info!(
                    "event=readers followed={} all={reader_count} domain_daemons={domain_daemons}",
                    readers.len()
                );
                self.shared.reader_assignment.send_replace(assignment);
            }
            // The relay closes its connection to the target when a call ends, the control thread
            // delivers dispatches, refusals and decisions, and the registry and the feeds replace the rest.
            Action::Cancel { .. }
            | Action::Dispatch(_)
            | Action::Detour(_)
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
            | Action::Export(_)
            | Action::Free { .. }
            | Action::ReadStore { .. }
            | Action::ReadGeneration
            | Action::ReadVmList
            | Action::GetVmList { .. }
            | Action::PreloadPrompt { .. } => {}
        }
    }

    /// Sends an order unless the moment from which it must not be sent has passed.
    async fn send_order(&self, order: &Order) {
        let snapshot = self.shared.snapshot();
        let request = snapshot.as_deref().and_then(|s| load_request(s, order));
        let outcome = match request {
            Some(request) => {
                let loading = self.client.load(&request, || self.shared.now() < order.not_after);
                order_outcome(run_before(&self.shared, order.not_after, loading).await)
            }
            None => cumintrail_control::rollout::OrderOutcome::NotSent,
        };
        let target = order.target;
        log::info!(
            "event=order target={} kind={:?} fencing={} outcome={outcome:?}",
            LogText(snapshot.as_deref().map_or("-", |s| target_name(s, target))),
            order.kind,
            order.fencing
        );
        self.shared.control.send(Event::OrderEnded { target, outcome }).await;
    }

    /// Frees parts of a managed store unless the moment from which the request must not be sent has
    /// passed.
    async fn free_parts(
        &self,
        store: StoreKey,
        epoch: u64,
        parts: &[StoredPart],
        not_after: Moment,
    ) {
        let snapshot = self.shared.snapshot();
        let Some(at) = snapshot.as_deref().and_then(|s| s.stores.get(store)).map(|s| s.address)
        else {
            return;
        };
        let freed = run_before(&self.shared, not_after, self.client.free(at, epoch, parts)).await;
        // Parts that were not freed appear again in the next complete listing of the store.
        let outcome = match freed {
            Some(Ok(())) => "freed",
            Some(Err(_)) => "failed",
            None => "lease-ended",
        };
        log::info!("event=free store={at} epoch={epoch} parts={} outcome={outcome}", parts.len());
    }

    async fn probe_target(&self, target: cumintrail_types::TargetKey) {
        let snapshot = self.shared.snapshot();
        let Some(entry) = snapshot.as_deref().and_then(|s| s.targets.get(target)) else {
            return;
        };
        let model = match entry.kind {
            TargetKind::Engine(model) => snapshot.as_deref().and_then(|s| s.models.get(model)),
            TargetKind::Service(_) => None,
        };
        let Some(model) = model else { return };
        // A target that does not respond is probed again as long as its report is needed.
        if let Ok(report) = self.client.report(entry.address, &model.weights_name).await {
            self.shared.control.send(Event::TargetReported { target, report }).await;
        }
    }
}

fn target_name(snapshot: &Snapshot, target: cumintrail_types::TargetKey) -> &str {
    snapshot.targets.get(target).map_or("-", |t| &t.name)
}

/// Builds the request of an order; returns `None` if the target is not an engine of the snapshot.
fn load_request<'a>(snapshot: &'a Snapshot, order: &Order) -> Option<LoadRequest<'a>> {
    let target = snapshot.targets.get(order.target)?;
    let TargetKind::Engine(model) = target.kind else {
        return None;
    };
    let OrderKind::Load(version) = order.kind;
    Some(LoadRequest {
        address: target.address,
        instance: &target.instance,
        model: &snapshot.models.get(model)?.weights_name,
        version,
        fencing: order.fencing,
        running_calls: order.running_calls,
    })
}
