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

pub use self::lease::{LeaseKeeper, LeaseRequest, LeaseRow, LeaseWrite};
pub use self::plan::{Loading, TargetView, is_behind, next_loads};
use crate::{Order, OrderKind, RunningCalls};

/// How long a lease lasts.
pub const LEASE: Duration = Duration::from_secs(4);
/// How long an order may take to arrive.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long before the end of its lease a holder stops sending.
///
/// The next holder sends nothing for three seconds after the last order of the one before, also
/// where targets do not compare fencing numbers.
pub const SEND_MARGIN: Duration = Duration::from_millis(2_800);
/// How long after its last order a holder keeps the lease.
pub const QUIET_BEFORE_RELEASE: Duration = Duration::from_millis(3_500);
/// How long after an order its target may take to report the version.
const LOAD_LIMIT: Duration = Duration::from_secs(60);
/// How long a target is left alone after an order that did not leave.
const RESEND_PAUSE: Duration = Duration::from_secs(1);

/// Says how fast targets are brought to another version, and what becomes of their calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Targets that load at once.
    pub slots: usize,
    /// How long a target gets no new calls before it is ordered to load.
    pub drain: Duration,
    /// How long after an order its target may take to report the version.
    pub confirm: Duration,
    /// How long after an order without an answer its target may be ordered again.
    ///
    /// Short where an order names the count of orders before it: whichever of two arrives later is
    /// refused, so both are never carried out.
    pub resend: Duration,
    /// What becomes of calls that run when the order arrives.
    pub running: RunningCalls,
}

impl Pace {
    /// Lets so many targets load at once, each after its calls ended.
    pub const fn with_slots(slots: usize) -> Self {
        let drain = Duration::ZERO;
        Self {
            slots,
            drain,
            confirm: LOAD_LIMIT,
            resend: LOAD_LIMIT,
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
    pub asked: Moment,
}

impl Lease {
    /// Returns the moment from which on no order may be sent.
    ///
    /// Counted from before the request, so a slow or late answer only shortens it.
    pub fn send_until(&self) -> Moment {
        self.asked + LEASE.saturating_sub(SEND_MARGIN)
    }

    /// Tells whether an order may still be sent at `now`.
    pub fn may_send(&self, now: Moment) -> bool {
        now < self.send_until()
    }
}

/// Returns how long a new holder waits after the last change that it saw of the old lease.
pub fn takeover_wait() -> Duration {
    LEASE + ORDER_TIMEOUT
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
    lease: LeaseKeeper,
    loading: BTreeMap<TargetKey, Loading>,
    /// Targets that get no new calls, and since when.
    draining: BTreeMap<TargetKey, Moment>,
    last_order: Moment,
}

impl Rollout {
    /// Starts without the lease; `holder` names this run of the process.
    pub fn new(holder: Arc<str>) -> Self {
        Self {
            lease: LeaseKeeper::new(holder),
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
        pace: Pace,
        rank: u32,
        has_other_work: bool,
    ) -> SmallVec<[RolloutRequest; 4]> {
        let mut requests = SmallVec::new();
        self.settle_loads(now, targets);
        let behind = has_other_work || targets.iter().any(is_behind);
        requests.extend(self.lease.tick(now, behind, rank).map(RolloutRequest::Lease));
        let Some(lease) = self.lease.lease() else {
            self.draining.clear();
            return requests;
        };
        if !behind && self.loading.is_empty() && now.since(self.last_order) > QUIET_BEFORE_RELEASE {
            requests.extend(self.lease.release().map(RolloutRequest::Lease));
            return requests;
        }
        requests.extend(self.loading.keys().map(|key| RolloutRequest::Probe(*key)));
        if lease.may_send(now) {
            self.begin_drains(now, targets, pace, &mut requests);
            self.order_drained(now, targets, pace, lease, &mut requests);
        }
        requests
    }

    /// Chooses the targets that load next; as many drain as load, so that no time is lost.
    fn begin_drains(
        &mut self,
        now: Moment,
        targets: &[TargetView],
        pace: Pace,
        requests: &mut SmallVec<[RolloutRequest; 4]>,
    ) {
        let wanted = |t: &TargetView| targets.iter().any(|o| o.key == t.key && is_behind(o));
        self.draining.retain(|key, _| targets.iter().any(|t| t.key == *key && wanted(t)));
        let at_once = if pace.drain.is_zero() { pace.slots } else { pace.slots * 2 };
        let held: BTreeMap<TargetKey, Loading> = self
            .draining
            .iter()
            .map(|(key, since)| {
                let load = Loading { sent: *since, again: now, resend: now, ..Loading::default() };
                (*key, load)
            })
            .chain(self.loading.iter().map(|(key, load)| (*key, *load)))
            .collect();
        for target in next_loads(now, targets, &held, at_once) {
            self.draining.insert(target.key, now);
            if !pace.drain.is_zero() {
                requests.push(RolloutRequest::Drain(target.key));
            }
        }
    }

    /// Orders targets to load that have drained for long enough.
    fn order_drained(
        &mut self,
        now: Moment,
        targets: &[TargetView],
        pace: Pace,
        lease: Lease,
        requests: &mut SmallVec<[RolloutRequest; 4]>,
    ) {
        let drained = self.draining.iter().filter(|(_, since)| now.since(**since) >= pace.drain);
        let mut drained: Vec<(Moment, TargetKey)> = drained.map(|(key, at)| (*at, *key)).collect();
        drained.sort_unstable();
        let free = pace.slots.saturating_sub(self.loading.len());
        for (_, key) in drained.into_iter().take(free) {
            self.draining.remove(&key);
            let Some(target) = targets.iter().find(|t| t.key == key) else {
                continue;
            };
            self.last_order = now;
            let load = Loading {
                version: target.declared,
                sent: now,
                again: now + pace.confirm,
                resend: now + pace.resend,
            };
            self.loading.insert(key, load);
            requests.push(RolloutRequest::Order(Order {
                target: key,
                fencing: lease.fencing,
                kind: OrderKind::Load(target.declared),
                running_calls: pace.running,
                not_after: lease.send_until(),
            }));
        }
    }

    /// Gives the lease back once the last order is so old that the next holder need not wait.
    pub fn hand_over(&mut self, now: Moment) -> Option<LeaseRequest> {
        let is_quiet = now.since(self.last_order) > QUIET_BEFORE_RELEASE;
        if is_quiet { self.lease.release() } else { None }
    }

    /// Notes an order that another decision sends under the lease.
    pub const fn note_order(&mut self, now: Moment) {
        self.last_order = now;
    }

    /// Takes the row of the lease as it was read.
    pub fn lease_read(&mut self, now: Moment, row: Option<&LeaseRow>) -> Option<RolloutRequest> {
        self.lease.read(now, row).map(RolloutRequest::Lease)
    }

    /// Takes the answer to a write of the lease.
    pub fn lease_written(
        &mut self,
        now: Moment,
        asked: Moment,
        committed: bool,
        version: Option<u64>,
    ) {
        self.lease.written(now, asked, committed, version);
    }

    /// Takes that the table did not answer.
    pub fn lease_failed(&mut self, now: Moment) {
        self.lease.failed(now);
    }

    /// Takes the end of an order.
    pub fn order_ended(&mut self, now: Moment, target: TargetKey, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::Followed => {}
            OrderOutcome::Unknown => {
                if let Some(load) = self.loading.get_mut(&target) {
                    load.again = load.again.min(load.resend);
                }
            }
            OrderOutcome::NotSent => {
                if let Some(load) = self.loading.get_mut(&target) {
                    load.again = now + RESEND_PAUSE;
                }
            }
            OrderOutcome::OldFencing => {
                self.loading.remove(&target);
                self.lease.give_up(now);
            }
        }
    }

    /// Forgets loads that the targets' reports confirm or whose target is gone.
    ///
    /// A target whose load no report confirms in time is ordered again at once: it has drained.
    fn settle_loads(&mut self, now: Moment, targets: &[TargetView]) {
        let draining = &mut self.draining;
        self.loading.retain(|key, load| {
            let target = targets.iter().find(|t| t.key == *key);
            let done = target.is_none_or(|t| {
                let fresh = t.reported_at.is_some_and(|at| at > load.sent);
                !t.usable || fresh && !t.loading && t.reported == Some(load.version)
            });
            let has_lapsed = now >= load.again;
            if has_lapsed && !done {
                draining.insert(*key, load.sent);
            }
            !done && !has_lapsed
        });
    }
}
