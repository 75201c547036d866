//! Orders to targets under a lease with fencing numbers; docs/DESIGN.md, "Weight rollouts".
//!
//! The lease is a row of the platform's table. The holder stops sending orders well before the
//! lease expires by the holder's own clock, which includes the time in which its VM was suspended.
//! The next holder waits until every order of the previous one has arrived or timed out.

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

/// Time from the request for a lease, or for its renewal, to its expiry.
pub const LEASE_DURATION: Duration = Duration::from_secs(4);
/// Maximum time from sending an order to its response.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long before the expiry of its lease a holder stops sending orders.
///
/// With this margin at least three seconds pass between the last order of one holder and the first
/// order of the next, which also protects targets that do not compare fencing numbers.
pub const SEND_MARGIN: Duration = Duration::from_millis(2_800);
/// How long after its last order a holder without further work releases the lease.
pub const RELEASE_DELAY: Duration = Duration::from_millis(3_500);
/// How long a target may take to report the ordered version, where load slots are configured.
const LOAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay before a target is ordered again after an order that could not be sent.
const UNSENT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Limits how many targets load at once, sets the timeouts, and says what happens to running calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadPolicy {
    /// The maximum number of targets that load at once.
    pub slots: usize,
    /// How long a target receives no new calls before it is ordered to load.
    pub drain: Duration,
    /// How long after an order its target may take to report the ordered version.
    pub confirm_timeout: Duration,
    /// How long after an order with an unknown outcome its target may be ordered again.
    ///
    /// It can be short where an order carries the number of orders before it: the target refuses
    /// the later of two orders with the same number, so it never carries out both.
    pub resend_delay: Duration,
    /// What happens to calls that run when the order arrives.
    pub running: RunningCalls,
}

impl LoadPolicy {
    /// Lets `slots` targets load at once, each after its running calls have ended.
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

/// Describes a held lease, timed by the holder's own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The fencing number that orders under this lease carry.
    pub fencing: FencingNumber,
    /// The time just before the request that acquired or last renewed the lease was sent.
    pub requested_at: Moment,
}

impl Lease {
    /// Returns the moment from which no order may be sent.
    ///
    /// The time is counted from before the request, so a slow response only shortens the period.
    pub fn send_until(&self) -> Moment {
        self.requested_at + LEASE_DURATION.saturating_sub(SEND_MARGIN)
    }

    /// Returns whether an order may still be sent at `now`.
    pub fn may_send(&self, now: Moment) -> bool {
        now < self.send_until()
    }
}

/// Returns how long the row of an unreleased lease must stay unchanged before another daemon
/// acquires the lease.
pub fn takeover_delay() -> Duration {
    LEASE_DURATION + ORDER_TIMEOUT
}

/// Describes how an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target carried out the order.
    Followed,
    /// The target refused the order because it has received a higher fencing number.
    OldFencing,
    /// No byte of the order was sent.
    NotSent,
    /// The order may have arrived; a later report of the target shows whether it did.
    Unknown,
}

/// Requests an action of the daemon for a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutRequest {
    /// Read or write the lease's row in the platform's table.
    Lease(LeaseRequest),
    /// Send an order.
    Order(Order),
    /// Request a target's report.
    Probe(TargetKey),
    /// Stop sending new calls to a target that is about to load.
    Drain(TargetKey),
}

/// Brings targets to the declared weight versions while this daemon holds the lease.
#[derive(Debug)]
pub struct Rollout {
    lease: LeaseMachine,
    loading: BTreeMap<TargetKey, PendingLoad>,
    /// Targets that receive no new calls before they load, with the time at which that began.
    draining: BTreeMap<TargetKey, Moment>,
    last_order: Moment,
}

impl Rollout {
    /// Creates a rollout without the lease; `holder` identifies this incarnation.
    pub fn new(holder: Arc<str>) -> Self {
        Self {
            lease: LeaseMachine::new(holder),
            loading: BTreeMap::new(),
            draining: BTreeMap::new(),
            last_order: Moment::default(),
        }
    }

    /// Returns the lease, if this daemon holds it.
    pub fn lease(&self) -> Option<Lease> {
        self.lease.lease()
    }

    /// Returns the requests that follow from the current reports.
    ///
    /// `rank` orders the daemons that may acquire the lease; zero is first. `has_other_work` says
    /// whether anything but loads needs the lease.
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

    /// Chooses the targets that load next and starts to drain them.
    ///
    /// Up to twice as many targets as slots drain or load, so that a target has usually drained
    /// when a slot becomes free.
    fn start_drains(
        &mut self,
        now: Moment,
        targets: &[TargetView],
        policy: LoadPolicy,
        requests: &mut SmallVec<[RolloutRequest; 4]>,
    ) {
        let is_wanted = |t: &TargetView| targets.iter().any(|o| o.key == t.key && needs_load(o));
        self.draining.retain(|key, _| targets.iter().any(|t| t.key == *key && is_wanted(t)));
        let max_in_progress = if policy.drain.is_zero() { policy.slots } else { policy.slots * 2 };
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
        for target in next_loads(now, targets, &in_progress, max_in_progress) {
            self.draining.insert(target.key, now);
            if !policy.drain.is_zero() {
                requests.push(RolloutRequest::Drain(target.key));
            }
        }
    }

    /// Orders drained targets to load, the longest drained first, up to the free slots.
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

    /// Releases the lease once the last order is old enough for the next holder to start at once.
    pub fn release_lease(&mut self, now: Moment) -> Option<LeaseRequest> {
        let is_quiet = now.since(self.last_order) > RELEASE_DELAY;
        if is_quiet { self.lease.release() } else { None }
    }

    /// Records that an order of another kind is sent under the lease.
    pub const fn record_order(&mut self, now: Moment) {
        self.last_order = now;
    }

    /// Returns the era of the table that is known here.
    pub const fn era(&self) -> u64 {
        self.lease.era()
    }

    /// Records the era of a response of the table; a higher one ends the lease.
    pub fn record_era(&mut self, now: Moment, era: u64) {
        self.lease.record_era(now, era);
    }

    /// Handles a read of the lease's row; `None` means that the row is absent.
    pub fn handle_lease_read(
        &mut self,
        now: Moment,
        row: Option<&LeaseRow>,
    ) -> Option<RolloutRequest> {
        self.lease.handle_read(now, row).map(RolloutRequest::Lease)
    }

    /// Handles the response to a write of the lease's row.
    ///
    /// `version` is the row's new version where it does not grow by one with each write.
    pub fn handle_lease_written(
        &mut self,
        now: Moment,
        requested_at: Moment,
        committed: bool,
        version: Option<u64>,
    ) {
        self.lease.handle_written(now, requested_at, committed, version);
    }

    /// Handles a read or write of the lease's row that failed; a write may have taken effect.
    pub fn handle_lease_failure(&mut self, now: Moment) {
        self.lease.handle_failure(now);
    }

    /// Handles the end of an order.
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

    /// Removes loads that a report confirms, loads of unusable targets and overdue loads.
    ///
    /// A target whose load is overdue counts as drained, so it is ordered again without a new
    /// drain period.
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
