//! Who may run: limits per client account and a weighted fair queue before the targets.

mod queue;
mod share;

use std::collections::HashMap;
use std::time::Duration;

use cumintrail_config::{Account, TargetKind};
use cumintrail_types::{AccountKey, CallKey, Moment, Refusal, RefusalCode, Tokens};

pub use self::queue::FairQueue;
pub use self::share::{DEMAND_FRACTION, share};

const RETRY_AFTER_LIMIT: Duration = Duration::from_secs(1);
const SERVICE_INTERVAL_SMOOTHING: f64 = 0.1;

/// Counts what a client account uses in this daemon.
#[derive(Debug, Clone, Default)]
struct AccountUsage {
    in_flight: u32,
    /// Its weight while calls are in flight.
    weight: u32,
    /// Prompt tokens that engines still have to compute for it.
    prefill: u64,
    requests: Bucket,
    tokens: Bucket,
}

/// Refills with time and is emptied by use.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// Taken in excess of what has been refilled.
    debt: f64,
    updated: Moment,
}

impl Bucket {
    /// Takes `amount` unless the debt would pass one second's worth of `rate`.
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

/// Holds the calls that wait for one kind of target.
#[derive(Debug, Default)]
struct Queue {
    calls: FairQueue,
    /// Seconds from one dispatch to the next while calls waited, smoothed.
    service_interval_s: f64,
    last_served: Option<Moment>,
}

/// Holds the limits and the queue of one daemon.
#[derive(Debug, Default)]
pub struct Admission {
    usages: HashMap<AccountKey, AccountUsage>,
    queues: HashMap<TargetKind, Queue>,
    waiting: usize,
    /// This daemon's part of each deployment-wide limit, from 0 to 1.
    share: f64,
    /// Parts of single accounts' limits, where they differ from `share`.
    account_shares: HashMap<AccountKey, f64>,
    /// The weights of the accounts with calls in flight, and the tokens of [`AccountUsage::prefill`], summed.
    active_weight: u64,
    prefill: u64,
}

impl Admission {
    /// Creates an empty admission that may use `share` of each limit.
    pub fn new(share: f64) -> Self {
        Self { share, ..Self::default() }
    }

    /// Changes the part of each limit that this daemon may use.
    pub const fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Changes the part of one account's limits that this daemon may use.
    pub fn set_account_share(&mut self, key: AccountKey, share: f64) {
        self.account_shares.insert(key, share);
    }

    /// Takes a call into an account's limits, or refuses it.
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

    /// Returns the part of an account's limits that this daemon may use.
    pub fn share_of(&self, key: AccountKey) -> f64 {
        self.account_shares.get(&key).copied().unwrap_or(self.share)
    }

    /// Gives back what [`Admission::admit`] took, once a call is answered.
    pub fn release(&mut self, key: AccountKey) {
        let Some(usage) = self.usages.get_mut(&key).filter(|usage| usage.in_flight > 0) else {
            return;
        };
        usage.in_flight -= 1;
        if usage.in_flight == 0 {
            self.active_weight -= u64::from(usage.weight);
        }
    }

    /// Notes prompt tokens that an engine was given to compute for an account.
    pub fn add_prefill(&mut self, key: AccountKey, tokens: Tokens) {
        self.usages.entry(key).or_default().prefill += u64::from(tokens.0);
        self.prefill += u64::from(tokens.0);
    }

    /// Notes that tokens of [`Admission::add_prefill`] were computed or given up.
    pub fn remove_prefill(&mut self, key: AccountKey, tokens: Tokens) {
        let Some(usage) = self.usages.get_mut(&key) else {
            return;
        };
        let taken = usage.prefill.min(u64::from(tokens.0));
        usage.prefill -= taken;
        self.prefill -= taken;
    }

    /// Tells whether an account has its fair part of the tokens that engines compute, or more.
    ///
    /// An account of which engines compute nothing is below its share, so its first reply is not
    /// held back.
    pub fn has_fair_share(&self, key: AccountKey) -> bool {
        let Some(usage) = self.usages.get(&key).filter(|usage| usage.prefill > 0) else {
            return false;
        };
        let own = u128::from(usage.prefill) * u128::from(self.active_weight);
        own >= u128::from(usage.weight) * u128::from(self.prefill)
    }

    /// Returns the calls of an account that are not answered yet.
    pub fn in_flight(&self, key: AccountKey) -> u32 {
        self.usages.get(&key).map_or(0, |usage| usage.in_flight)
    }

    /// Lets a call wait.
    pub fn enqueue(&mut self, kind: TargetKind, account: AccountKey, weight: u32, call: CallKey) {
        self.queues.entry(kind).or_default().calls.push(account, weight, call);
        self.waiting += 1;
    }

    /// Lets a call wait again, before those of its account that were never sent.
    pub fn requeue(&mut self, kind: TargetKind, account: AccountKey, weight: u32, call: CallKey) {
        self.queues.entry(kind).or_default().calls.push_front(account, weight, call);
        self.waiting += 1;
    }

    /// Lists the first waiting call of each account, in the order of fair shares.
    pub fn heads(&self, kind: TargetKind) -> impl Iterator<Item = (AccountKey, CallKey)> + '_ {
        self.queues.get(&kind).into_iter().flat_map(|queue| queue.calls.heads())
    }

    /// Removes the first waiting call of an account because it is served.
    pub fn serve(&mut self, now: Moment, kind: TargetKind, account: AccountKey) -> Option<CallKey> {
        let queue = self.queues.get_mut(&kind)?;
        let call = queue.calls.serve(account)?;
        queue.record_serve(now);
        self.waiting -= 1;
        Some(call)
    }

    /// Removes a waiting call, if it waits.
    pub fn remove(&mut self, kind: TargetKind, account: AccountKey, call: CallKey) {
        let removed = self.queues.get_mut(&kind).is_some_and(|q| q.calls.remove(account, call));
        self.waiting -= usize::from(removed);
    }

    /// Estimates how long a new call of an account would wait behind those in the queue.
    pub fn expected_wait(&self, kind: TargetKind, account: AccountKey, weight: u32) -> Duration {
        let Some(queue) = self.queues.get(&kind).filter(|q| !q.calls.is_empty()) else {
            return Duration::ZERO;
        };
        let ahead = queue.calls.calls_ahead_of(account, weight);
        Duration::from_secs_f64(queue.service_interval_s * ahead as f64)
    }

    /// Returns the number of waiting calls.
    pub const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of calls that wait for one kind of target.
    pub fn waiting_for(&self, kind: TargetKind) -> usize {
        self.queues.get(&kind).map_or(0, |q| q.calls.len())
    }

    /// Returns what calls wait for.
    pub fn waiting_kinds(&self) -> impl Iterator<Item = TargetKind> {
        self.queues.iter().filter(|(_, q)| !q.calls.is_empty()).map(|(kind, _)| *kind)
    }
}

impl Queue {
    /// Follows how fast the queue is served; only calls that others waited behind count.
    fn record_serve(&mut self, now: Moment) {
        if let Some(last_served) = self.last_served {
            let interval = now.since(last_served).as_secs_f64();
            self.service_interval_s +=
                SERVICE_INTERVAL_SMOOTHING * (interval - self.service_interval_s);
        }
        self.last_served = (!self.calls.is_empty()).then_some(now);
    }
}
