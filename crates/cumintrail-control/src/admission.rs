//! Who may run: limits per client account and a weighted fair queue before the targets.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use cumintrail_config::{Account, TargetKind};
use cumintrail_types::{AccountKey, CallKey, Moment, Refusal, RefusalCode};

const RETRY_AFTER_LIMIT: Duration = Duration::from_secs(1);
const VIRTUAL_SECOND: u64 = 1 << 20;

/// Counts what a client account uses in this daemon.
#[derive(Debug, Clone, Default)]
struct Use {
    in_flight: u32,
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

/// Holds the limits and the queue of one daemon.
#[derive(Debug, Default)]
pub struct Admission {
    uses: HashMap<AccountKey, Use>,
    queues: HashMap<TargetKind, FairQueue>,
    waiting: usize,
    /// This daemon's part of each deployment-wide limit, from 0 to 1.
    share: f64,
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

    /// Takes a call into an account's limits, or refuses it.
    pub fn admit(
        &mut self,
        now: Moment,
        key: AccountKey,
        account: &Account,
        tokens: u32,
    ) -> Result<(), Refusal> {
        let used = self.uses.entry(key).or_default();
        let refuse = |after| Refusal::not_run(RefusalCode::AccountLimit).retry_after(after);
        let concurrency = (f64::from(account.concurrency) * self.share).ceil().max(1.0);
        if f64::from(used.in_flight) >= concurrency {
            return Err(refuse(RETRY_AFTER_LIMIT));
        }
        let requests = (f64::from(account.requests_per_second) * self.share).max(1.0);
        used.requests.try_take(now, 1.0, requests).map_err(refuse)?;
        let rate = (f64::from(account.tokens_per_second) * self.share).max(1.0);
        used.tokens.try_take(now, f64::from(tokens), rate).map_err(refuse)?;
        used.in_flight += 1;
        Ok(())
    }

    /// Gives back what [`Admission::admit`] took, once a call is answered.
    pub fn release(&mut self, key: AccountKey) {
        if let Some(used) = self.uses.get_mut(&key) {
            used.in_flight = used.in_flight.saturating_sub(1);
        }
    }

    /// Returns the calls of an account that are not answered yet.
    pub fn in_flight(&self, key: AccountKey) -> u32 {
        self.uses.get(&key).map_or(0, |used| used.in_flight)
    }

    /// Lets a call wait.
    pub fn enqueue(&mut self, kind: TargetKind, account: AccountKey, weight: u32, call: CallKey) {
        self.queues.entry(kind).or_default().push(account, weight, call);
        self.waiting += 1;
    }

    /// Returns the call that is next by fair shares, without removing it.
    pub fn peek(&self, kind: TargetKind) -> Option<CallKey> {
        self.queues.get(&kind).and_then(FairQueue::peek)
    }

    /// Removes the call that is next by fair shares.
    pub fn pop(&mut self, kind: TargetKind) -> Option<CallKey> {
        let call = self.queues.get_mut(&kind)?.pop()?;
        self.waiting -= 1;
        Some(call)
    }

    /// Removes a waiting call, if it waits.
    pub fn remove(&mut self, kind: TargetKind, account: AccountKey, call: CallKey) {
        let removed = self.queues.get_mut(&kind).is_some_and(|q| q.remove(account, call));
        self.waiting -= usize::from(removed);
    }

    /// Returns the number of waiting calls.
    pub const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns what calls wait for.
    pub fn kinds(&self) -> impl Iterator<Item = TargetKind> {
        self.queues.iter().filter(|(_, q)| q.peek().is_some()).map(|(kind, _)| *kind)
    }
}

/// Serves accounts in proportion to their weights by virtual finish times.
#[derive(Debug, Default)]
struct FairQueue {
    lanes: HashMap<AccountKey, Lane>,
    clock: u64,
}

#[derive(Debug, Default)]
struct Lane {
    calls: VecDeque<CallKey>,
    weight: u32,
    finish: u64,
}

impl FairQueue {
    fn push(&mut self, account: AccountKey, weight: u32, call: CallKey) {
        let lane = self.lanes.entry(account).or_default();
        if lane.calls.is_empty() {
            lane.finish = lane.finish.max(self.clock) + VIRTUAL_SECOND / u64::from(weight.max(1));
        }
        lane.weight = weight.max(1);
        lane.calls.push_back(call);
    }

    fn next_account(&self) -> Option<AccountKey> {
        let waiting = self.lanes.iter().filter(|(_, lane)| !lane.calls.is_empty());
        waiting.min_by_key(|(account, lane)| (lane.finish, **account)).map(|(account, _)| *account)
    }

    fn peek(&self) -> Option<CallKey> {
        let account = self.next_account()?;
        self.lanes.get(&account)?.calls.front().copied()
    }

    fn pop(&mut self) -> Option<CallKey> {
        let account = self.next_account()?;
        let lane = self.lanes.get_mut(&account)?;
        let call = lane.calls.pop_front()?;
        self.clock = self.clock.max(lane.finish);
        lane.finish += VIRTUAL_SECOND / u64::from(lane.weight);
        Some(call)
    }

    fn remove(&mut self, account: AccountKey, call: CallKey) -> bool {
        let Some(lane) = self.lanes.get_mut(&account) else {
            return false;
        };
        let before = lane.calls.len();
        lane.calls.retain(|c| *c != call);
        lane.calls.len() != before
    }
}
