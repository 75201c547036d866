//! Admission of calls: limits per client account and a weighted fair queue for targets.

mod queue;
mod share;
mod urgencies;

use std::collections::HashMap;
use std::time::Duration;

use cumintrail_config::{Account, TargetKind};
use cumintrail_types::{AccountKey, CallKey, Moment, Refusal, RefusalCode, Tokens};

pub use self::queue::FairQueue;
pub use self::share::{DEMAND_FRACTION, share};
pub use self::urgencies::{Flow, UrgencyQueues};

const RETRY_AFTER_LIMIT: Duration = Duration::from_secs(1);
const SERVICE_INTERVAL_SMOOTHING: f64 = 0.1;

/// Tracks what a client account uses in this daemon.
#[derive(Debug, Clone, Default)]
struct AccountUsage {
    in_flight: u32,
    /// The account's weight, which counts while calls are in flight.
    weight: u32,
    /// Prompt tokens that engines still have to compute for the account.
    prefill: u64,
    requests: Bucket,
    tokens: Bucket,
}

/// Limits a rate as a leaky bucket with a capacity of one second.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// The amount taken that has not been refilled yet.
    debt: f64,
    updated: Moment,
}

impl Bucket {
    /// Takes `amount` unless the debt would exceed one second's worth of `rate`; otherwise returns
    /// how long to wait.
    ///
    /// An `amount` above one second's worth is taken once there is no debt.
    fn try_take(&mut self, now: Moment, amount: f64, rate: f64) -> Result<(), Duration> {
        let refilled = now.since(self.updated).as_secs_f64() * rate;
        let debt = (self.debt - refilled).max(0.0);
        self.updated = now;
        self.debt = debt;
        let excess = debt + amount.min(rate) - rate;
        if excess > 0.0 {
            return Err(Duration::from_secs_f64(excess / rate));
        }
        self.debt = debt + amount;
        Ok(())
    }
}

/// Queues the calls that wait for one kind of target.
#[derive(Debug, Default)]
struct Queue {
    calls: UrgencyQueues,
    /// Smoothed seconds between two dispatches while calls waited.
    service_interval_s: f64,
    /// The last dispatch, if calls waited behind it.
    last_served: Option<Moment>,
}

/// Enforces the limits of client accounts and queues the calls of one daemon.
#[derive(Debug, Default)]
pub struct Admission {
    usages: HashMap<AccountKey, AccountUsage>,
    queues: HashMap<TargetKind, Queue>,
    waiting: usize,
    /// This daemon's share of each deployment-wide limit, from 0 to 1.
    share: f64,
    /// This daemon's shares of the limits of single accounts, in place of `share`.
    account_shares: HashMap<AccountKey, f64>,
    /// The sum of the weights of the accounts with calls in flight.
    active_weight: u64,
    /// The sum of [`AccountUsage::prefill`] of all accounts.
    prefill: u64,
}

impl Admission {
    /// Creates the state of a daemon without calls that may use `share` of each limit.
    pub fn new(share: f64) -> Self {
        Self { share, ..Self::default() }
    }

    /// Sets the share of each limit that this daemon may use.
    pub const fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Sets the share of one account's limits that this daemon may use.
    pub fn set_account_share(&mut self, key: AccountKey, share: f64) {
        self.account_shares.insert(key, share);
    }

    /// Counts a call of `tokens` tokens against its account's limits, or refuses it.
    pub fn admit(
        &mut self,
        now: Moment,
        key: AccountKey,
        account: &Account,
        tokens: u32,
    ) -> Result<(), Refusal> {
        let share = self.share_of(key);
        let usage = self.usages.entry(key).or_default();
        let refuse = |after| Refusal::not_run(RefusalCode::AccountLimit).retry_after(after);
        let concurrency = (f64::from(account.concurrency) * share).ceil().max(1.0);
        if f64::from(usage.in_flight) >= concurrency {
            return Err(refuse(RETRY_AFTER_LIMIT));
        }
        let requests = (f64::from(account.requests_per_second) * share).max(1.0);
        usage.requests.try_take(now, 1.0, requests).map_err(refuse)?;
        let rate = (f64::from(account.tokens_per_second) * share).max(1.0);
        usage.tokens.try_take(now, f64::from(tokens), rate).map_err(refuse)?;
        if usage.in_flight == 0 {
            usage.weight = account.weight.max(1);
            self.active_weight += u64::from(usage.weight);
        }
        usage.in_flight += 1;
        Ok(())
    }

    /// Returns the share of an account's limits that this daemon may use, from 0 to 1.
    pub fn share_of(&self, key: AccountKey) -> f64 {
        self.account_shares.get(&key).copied().unwrap_or(self.share)
    }

    /// Takes an ended call out of its account's calls in flight.
    pub fn release(&mut self, key: AccountKey) {
        let Some(usage) = self.usages.get_mut(&key).filter(|usage| usage.in_flight > 0) else {
            return;
        };
        usage.in_flight -= 1;
        if usage.in_flight == 0 {
            self.active_weight -= u64::from(usage.weight);
        }
    }

    /// Adds prompt tokens that an engine has to compute for an account.
    pub fn add_prefill(&mut self, key: AccountKey, tokens: Tokens) {
        self.usages.entry(key).or_default().prefill += u64::from(tokens.0);
        self.prefill += u64::from(tokens.0);
    }

    /// Removes tokens of [`Admission::add_prefill`] that were computed or will not be.
    pub fn remove_prefill(&mut self, key: AccountKey, tokens: Tokens) {
        let Some(usage) = self.usages.get_mut(&key) else {
            return;
        };
        let taken = usage.prefill.min(u64::from(tokens.0));
        usage.prefill -= taken;
        self.prefill -= taken;
    }

    /// Returns whether an account has at least its fair share of the prompt tokens that engines
    /// compute.
    ///
    /// An account without such tokens is below its share, so its first call is not deferred.
    pub fn has_fair_share(&self, key: AccountKey) -> bool {
        let Some(usage) = self.usages.get(&key).filter(|usage| usage.prefill > 0) else {
            return false;
        };
        let own = u128::from(usage.prefill) * u128::from(self.active_weight);
        own >= u128::from(usage.weight) * u128::from(self.prefill)
    }

    /// Returns the number of an account's calls that have not ended.
    pub fn in_flight(&self, key: AccountKey) -> u32 {
        self.usages.get(&key).map_or(0, |usage| usage.in_flight)
    }

    /// Appends a call to the queue of its flow.
    pub fn enqueue(&mut self, kind: TargetKind, flow: impl Into<Flow>, weight: u32, call: CallKey) {
        self.queues.entry(kind).or_default().calls.push(flow.into(), weight, call);
        self.waiting += 1;
    }

    /// Queues a call for its next attempt, before all waiting calls of its flow.
    pub fn requeue(&mut self, kind: TargetKind, flow: impl Into<Flow>, weight: u32, call: CallKey) {
        self.queues.entry(kind).or_default().calls.push_front(flow.into(), weight, call);
        self.waiting += 1;
    }

    /// Lists the first waiting call of each flow, in the order in which flows are served.
    pub fn heads(&self, kind: TargetKind) -> impl Iterator<Item = (Flow, CallKey)> + '_ {
        self.queues.get(&kind).into_iter().flat_map(|queue| queue.calls.heads())
    }

    /// Removes the first waiting call of a flow, to be dispatched or refused.
    pub fn serve(
        &mut self,
        now: Moment,
        kind: TargetKind,
        flow: impl Into<Flow>,
    ) -> Option<CallKey> {
        let queue = self.queues.get_mut(&kind)?;
        let call = queue.calls.serve(flow.into())?;
        queue.record_serve(now);
        self.waiting -= 1;
        Some(call)
    }

    /// Removes a call that will not be dispatched from the queue, if it is there.
    pub fn remove(&mut self, kind: TargetKind, flow: impl Into<Flow>, call: CallKey) {
        let queue = self.queues.get_mut(&kind);
        let removed = queue.is_some_and(|q| q.calls.remove(flow.into(), call));
        self.waiting -= usize::from(removed);
    }

    /// Estimates how long a new call of a flow would wait in the queue.
    pub fn expected_wait(&self, kind: TargetKind, flow: impl Into<Flow>, weight: u32) -> Duration {
        let Some(queue) = self.queues.get(&kind).filter(|q| !q.calls.is_empty()) else {
            return Duration::ZERO;
        };
        let ahead = queue.calls.calls_ahead_of(flow.into(), weight);
        Duration::from_secs_f64(queue.service_interval_s * ahead as f64)
    }

    /// Estimates how many calls are served before a new one of a flow.
    pub fn calls_ahead_of(&self, kind: TargetKind, flow: impl Into<Flow>, weight: u32) -> usize {
        let queue = self.queues.get(&kind);
        queue.map_or(0, |queue| queue.calls.calls_ahead_of(flow.into(), weight))
    }

    /// Returns the number of waiting calls.
    pub const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of calls that wait for one kind of target.
    pub fn waiting_for(&self, kind: TargetKind) -> usize {
        self.queues.get(&kind).map_or(0, |q| q.calls.len())
    }

    /// Returns the kinds of targets that calls wait for.
    pub fn waiting_kinds(&self) -> impl Iterator<Item = TargetKind> {
        self.queues.iter().filter(|(_, q)| !q.calls.is_empty()).map(|(kind, _)| *kind)
    }
}

impl Queue {
    /// Updates the service interval; intervals in which no call waited do not count.
    fn record_serve(&mut self, now: Moment) {
        if let Some(last_served) = self.last_served {
            let interval = now.since(last_served).as_secs_f64();
            self.service_interval_s +=
                SERVICE_INTERVAL_SMOOTHING * (interval - self.service_interval_s);
        }
        self.last_served = (!self.calls.is_empty()).then_some(now);
    }
}
