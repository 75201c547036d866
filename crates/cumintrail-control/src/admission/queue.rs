//! A queue that serves client accounts in proportion to their weights.

use std::collections::{BTreeSet, HashMap, VecDeque};

use cumintrail_types::{AccountKey, CallKey};

const VIRTUAL_SECOND: u64 = 1 << 20;

/// Serves accounts by virtual finish times, in time that grows with the logarithm of the accounts.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: HashMap<AccountKey, Lane>,
    /// Finish times of the lanes in which calls wait.
    order: BTreeSet<(u64, AccountKey)>,
    clock: u64,
    waiting: usize,
}

#[derive(Debug, Default)]
struct Lane {
    calls: VecDeque<CallKey>,
    weight: u32,
    finish: u64,
}

impl FairQueue {
    /// Appends a call to its account's lane.
    pub fn push(&mut self, account: AccountKey, weight: u32, call: CallKey) {
        self.enter(account, weight).calls.push_back(call);
    }

    /// Puts a call that was served before in front of its account's lane.
    pub fn push_again(&mut self, account: AccountKey, weight: u32, call: CallKey) {
        self.enter(account, weight).calls.push_front(call);
    }

    /// Makes room for one more call in an account's lane.
    fn enter(&mut self, account: AccountKey, weight: u32) -> &mut Lane {
        let lane = self.lanes.entry(account).or_default();
        lane.weight = weight.max(1);
        if lane.calls.is_empty() {
            lane.finish = lane.finish.max(self.clock) + VIRTUAL_SECOND / u64::from(lane.weight);
            self.order.insert((lane.finish, account));
        }
        self.waiting += 1;
        lane
    }

    /// Lists the first call of each account in the order in which accounts are served.
    pub fn heads(&self) -> impl Iterator<Item = (AccountKey, CallKey)> + '_ {
        self.order.iter().filter_map(|(_, account)| {
            let lane = self.lanes.get(account)?;
            lane.calls.front().map(|call| (*account, *call))
        })
    }

    /// Removes the first call of an account, which pays for it.
    ///
    /// Accounts before it in the order keep their places, so that one that is held back for now is
    /// served as soon as it may be.
    pub fn serve(&mut self, account: AccountKey) -> Option<CallKey> {
        let lane = self.lanes.get_mut(&account)?;
        let call = lane.calls.pop_front()?;
        self.waiting -= 1;
        self.order.remove(&(lane.finish, account));
        self.clock = self.clock.max(lane.finish);
        if !lane.calls.is_empty() {
            lane.finish += VIRTUAL_SECOND / u64::from(lane.weight);
            self.order.insert((lane.finish, account));
        }
        Some(call)
    }

    /// Removes a waiting call that is not served; tells whether it waited.
    pub fn remove(&mut self, account: AccountKey, call: CallKey) -> bool {
        let Some(lane) = self.lanes.get_mut(&account) else {
            return false;
        };
        let Some(at) = lane.calls.iter().position(|c| *c == call) else {
            return false;
        };
        lane.calls.remove(at);
        if lane.calls.is_empty() {
            self.order.remove(&(lane.finish, account));
        }
        self.waiting -= 1;
        true
    }

    /// Counts the calls that are served before a new one of `account`.
    ///
    /// Each other account is served in proportion to its weight meanwhile.
    pub fn ahead_of(&self, account: AccountKey, weight: u32) -> usize {
        let own = self.lanes.get(&account).map_or(0, |lane| lane.calls.len());
        let rounds = (own + 1) as f64 / f64::from(weight.max(1));
        let others = self.lanes.iter().filter(|(key, _)| **key != account);
        let served = others.map(|(_, lane)| {
            let share = (rounds * f64::from(lane.weight)).ceil() as usize;
            share.min(lane.calls.len())
        });
        own + served.sum::<usize>()
    }

    /// Returns the number of waiting calls.
    pub const fn len(&self) -> usize {
        self.waiting
    }

    /// Tells whether no call waits.
    pub const fn is_empty(&self) -> bool {
        self.waiting == 0
    }
}
