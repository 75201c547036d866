//! Orders to targets under a lease with fencing numbers; docs/DESIGN.md, "Weight rollouts".
//!
//! The lease lies in the platform's table. Its holder stops sending well before the end by its own
//! clock, which counts suspensions of its VM, and the next one waits for the end of what the holder
//! may still have sent.

mod lease;
mod plan;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::{FencingNumber, Moment, TargetKey};
use smallvec::SmallVec;

pub use self::lease::{LeaseMachine, LeaseRequest, LeaseRow, LeaseWrite};
pub use self::plan::{PendingLoad, TargetView, needs_load, next_loads};
use crate::{Order, OrderKind, RunningCalls};

/// How long a lease lasts.
pub const LEASE_DURATION: Duration = Duration::from_secs(4);
/// How long an order may take to arrive.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long before the end of its lease a holder stops sending.
///
/// The next holder sends nothing for three seconds after the last order of the one before, also
/// where targets do not compare fencing numbers.
pub const SEND_MARGIN: Duration = Duration::from_millis(2_800);
/// How long after its last order a holder keeps the lease.
pub const RELEASE_DELAY: Duration = Duration::from_millis(3_500);
/// How long after an order its target may take to report the version.
const LOAD_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a target is left alone after an order that did not leave.
const UNSENT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Says how fast targets are brought to another version, and what becomes of their calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadPolicy {
    /// Targets that load at once.
    pub slots: usize,
    /// How long a target gets no new calls before it is ordered to load.
    pub drain: Duration,
    /// How long after an order its target may take to report the version.
    pub confirm_timeout: Duration,
    /// How long after an order without an answer its target may be ordered again.
    ///
    /// Short where an order names the count of orders before it: whichever of two arrives later is
    /// refused, so both are never carried out.
    pub resend_delay: Duration,
    /// What becomes of calls that run when the order arrives.
    pub running: RunningCalls,
}

impl LoadPolicy {
    /// Lets so many targets load at once, each after its calls ended.
    pub const fn with_slots(slots: usize) -> Self {
        let drain = Duration::ZERO;
        Self {
            slots,
            drain,
            confirm_timeout: LOAD_TIMEOUT,
            resend_delay: LOAD_TIMEOUT,
            running: RunningCalls::Finish,
        }
    }
}

/// Holds a lease as its holder sees it on its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The number that orders carry.
    pub fencing: FencingNumber,
    /// Read before the request that acquired or renewed it was sent.
    pub requested_at: Moment,
}

impl Lease {
    /// Returns the moment from which on no order may be sent.
    ///
    /// Counted from before the request, so a slow or late answer only shortens it.
    pub fn send_until(&self) -> Moment {
        self.requested_at + LEASE_DURATION.saturating_sub(SEND_MARGIN)
    }

    /// Tells whether an order may still be sent at `now`.
    pub fn may_send(&self, now: Moment) -> bool {
        now < self.send_until()
    }
}

/// Returns how long a new holder waits after the last change that it saw of the old lease.
pub fn takeover_delay() -> Duration {
    LEASE_DURATION + ORDER_TIMEOUT
}

/// Tells how an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target has followed it.
    Followed,
    /// The target has seen a higher fencing number.
    OldFencing,
    /// No byte of the order left.
    NotSent,
    /// The order may have arrived; the target's reports tell.
    Unknown,
}

/// Asks the daemon to act for a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutRequest {
    /// Exchange with the table.
    Lease(LeaseRequest),
    /// Send an order.
    Order(Order),
    /// Ask a target for its report.
    Probe(TargetKey),
    /// Send a target no new calls, since it is about to load.
    Drain(TargetKey),
}

/// Brings targets to the declared weight versions while this daemon holds the lease.
#[derive(Debug)]
pub struct Rollout {
    lease: LeaseMachine,
    loading: BTreeMap<TargetKey, PendingLoad>,
    /// Targets that get no new calls, and since when.
    draining: BTreeMap<TargetKey, Moment>,
    last_order: Moment,
}

impl Rollout {
    /// Starts without the lease; `holder` names this run of the process.
    pub fn new(holder: Arc<str>) -> Self {
        Self {
            lease: LeaseMachine::new(holder),
            loading: BTreeMap::new(),
            draining: BTreeMap::new(),
            last_order: Moment::default(),
        }
    }

    /// Returns the lease, if this daemon has it.
    pub fn lease(&self) -> Option<Lease> {
        self.lease.lease()
    }

    /// Acts on the present reports; `rank` is this daemon's place among those that may take over.
    pub fn tick(
        &mut self,
        now: Moment,
        targets: &[TargetView],
        policy: LoadPolicy,
        rank: u32,
        has_other_work: bool,
    ) -> SmallVec<[RolloutRequest; 4]> {
        let mut requests = SmallVec::new();
        self.check_loads(now, targets);
        let has_work = has_other_work || targets.iter().any(needs_load);
        requests.extend(self.lease.tick(now, has_work, rank).map(RolloutRequest::Lease));
        let Some(lease) = self.lease.lease() else {
            self.draining.clear();
            return requests;
        };
        if !has_work && self.loading.is_empty() && now.since(self.last_order) > RELEASE_DELAY {
            requests.extend(self.lease.release().map(RolloutRequest::Lease));
            return requests;
        }
        requests.extend(self.loading.keys().map(|key| RolloutRequest::Probe(*key)));
        if lease.may_send(now) {
            self.start_drains(now, targets, policy, &mut requests);
            self.order_loads(now, targets, policy, lease, &mut requests);
        }
        requests
    }

    /// Chooses the targets that load next; as many drain as load, so that no time is lost.
    fn start_drains(
        &mut self,
        now: Moment,
        targets: &[TargetView],
        policy: LoadPolicy,
        requests: &mut SmallVec<[RolloutRequest; 4]>,
    ) {
        let is_wanted = |t: &TargetView| targets.iter().any(|o| o.key == t.key && needs_load(o));
        self.draining.retain(|key, _| targets.iter().any(|t| t.key == *key && is_wanted(t)));
        let at_once = if policy.drain.is_zero() { policy.slots } else { policy.slots * 2 };
        let in_progress: BTreeMap<TargetKey, PendingLoad> = self
            .draining
            .iter()
            .map(|(key, since)| {
                let load = PendingLoad {
                    ordered_at: *since,
                    retry_at: now,
                    unanswered_retry_at: now,
                    ..PendingLoad::default()
                };
                (*key, load)
            })
            .chain(self.loading.iter().map(|(key, load)| (*key, *load)))
            .collect();
        for target in next_loads(now, targets, &in_progress, at_once) {
            self.draining.insert(target.key, now);
            if !policy.drain.is_zero() {
                requests.push(RolloutRequest::Drain(target.key));
            }
        }
    }

    /// Orders targets to load that have drained for long enough.
    fn order_loads(
        &mut self,
        now: Moment,
        targets: &[TargetView],
        policy: LoadPolicy,
        lease: Lease,
        requests: &mut SmallVec<[RolloutRequest; 4]>,
    ) {
        let drained = self.draining.iter().filter(|(_, since)| now.since(**since) >= policy.drain);
        let mut drained: Vec<(Moment, TargetKey)> = drained.map(|(key, at)| (*at, *key)).collect();
        drained.sort_unstable();
        let free = policy.slots.saturating_sub(self.loading.len());
        for (_, key) in drained.into_iter().take(free) {
            self.draining.remove(&key);
            let Some(target) = targets.iter().find(|t| t.key == key) else {
                continue;
            };
            self.last_order = now;
            let load = PendingLoad {
                version: target.declared,
                ordered_at: now,
                retry_at: now + policy.confirm_timeout,
                unanswered_retry_at: now + policy.resend_delay,
            };
            self.loading.insert(key, load);
            requests.push(RolloutRequest::Order(Order {
                target: key,
                fencing: lease.fencing,
                kind: OrderKind::Load(target.declared),
                running_calls: policy.running,
                not_after: lease.send_until(),
            }));
        }
    }

    /// Gives the lease back once the last order is so old that the next holder need not wait.
    pub fn release_lease(&mut self, now: Moment) -> Option<LeaseRequest> {
        let is_quiet = now.since(self.last_order) > RELEASE_DELAY;
        if is_quiet { self.lease.release() } else { None }
    }

    /// Notes an order that another decision sends under the lease.
    pub const fn record_order(&mut self, now: Moment) {
        self.last_order = now;
    }

    /// Takes the row of the lease as it was read.
    pub fn handle_lease_read(
        &mut self,
        now: Moment,
        row: Option<&LeaseRow>,
    ) -> Option<RolloutRequest> {
        self.lease.handle_read(now, row).map(RolloutRequest::Lease)
    }

    /// Takes the answer to a write of the lease.
    pub fn handle_lease_written(
        &mut self,
        now: Moment,
        requested_at: Moment,
        committed: bool,
        version: Option<u64>,
    ) {
        self.lease.handle_written(now, requested_at, committed, version);
    }

    /// Takes that the table did not answer.
    pub fn handle_lease_failure(&mut self, now: Moment) {
        self.lease.handle_failure(now);
    }

    /// Takes the end of an order.
    pub fn handle_order_end(&mut self, now: Moment, target: TargetKey, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::Followed => {}
            OrderOutcome::Unknown => {
                if let Some(load) = self.loading.get_mut(&target) {
                    load.retry_at = load.retry_at.min(load.unanswered_retry_at);
                }
            }
            OrderOutcome::NotSent => {
                if let Some(load) = self.loading.get_mut(&target) {
                    load.retry_at = now + UNSENT_RETRY_DELAY;
                }
            }
            OrderOutcome::OldFencing => {
                self.loading.remove(&target);
                self.lease.step_down(now);
            }
        }
    }

    /// Forgets loads that the targets' reports confirm or whose target is gone.
    ///
    /// A target whose load no report confirms in time is ordered again at once: it has drained.
    fn check_loads(&mut self, now: Moment, targets: &[TargetView]) {
        let draining = &mut self.draining;
        self.loading.retain(|key, load| {
            let target = targets.iter().find(|t| t.key == *key);
            let done = target.is_none_or(|t| {
                let fresh = t.reported_at.is_some_and(|at| at > load.ordered_at);
                !t.usable || fresh && !t.loading && t.reported == Some(load.version)
            });
            let is_overdue = now >= load.retry_at;
            if is_overdue && !done {
                draining.insert(*key, load.ordered_at);
            }
            !done && !is_overdue
        });
    }
}
