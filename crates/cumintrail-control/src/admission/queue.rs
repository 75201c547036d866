//! A queue that serves client accounts in proportion to their weights.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use cumintrail_types::{AccountKey, CallKey};

const VIRTUAL_SECOND: u64 = 1 << 20;

/// Serves accounts by virtual finish times, in time that grows with the logarithm of the accounts.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: HashMap<AccountKey, Lane>,
    /// Finish times of lanes; an entry counts only while its lane still has that finish time.
    order: BinaryHeap<Reverse<(u64, AccountKey)>>,
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
        let lane = self.lanes.entry(account).or_default();
        lane.weight = weight.max(1);
        if lane.calls.is_empty() {
            lane.finish = lane.finish.max(self.clock) + VIRTUAL_SECOND / u64::from(lane.weight);
            self.order.push(Reverse((lane.finish, account)));
        }
        lane.calls.push_back(call);
        self.waiting += 1;
    }

    /// Returns the next call without removing it.
    pub fn peek(&mut self) -> Option<CallKey> {
        let account = self.next_account()?;
        self.lanes.get(&account)?.calls.front().copied()
    }

    /// Removes the next call.
    pub fn pop(&mut self) -> Option<CallKey> {
        let account = self.next_account()?;
        self.order.pop();
        let lane = self.lanes.get_mut(&account)?;
        let call = lane.calls.pop_front()?;
        self.waiting -= 1;
        self.clock = self.clock.max(lane.finish);
        if !lane.calls.is_empty() {
            lane.finish += VIRTUAL_SECOND / u64::from(lane.weight);
            self.order.push(Reverse((lane.finish, account)));
        }
        Some(call)
    }

    /// Removes a waiting call; tells whether it waited.
    pub fn remove(&mut self, account: AccountKey, call: CallKey) -> bool {
        let Some(lane) = self.lanes.get_mut(&account) else {
            return false;
        };
        let Some(at) = lane.calls.iter().position(|c| *c == call) else {
            return false;
        };
        lane.calls.remove(at);
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

    fn next_account(&mut self) -> Option<AccountKey> {
        while let Some(Reverse((finish, account))) = self.order.peek().copied() {
            let lane = self.lanes.get(&account).filter(|lane| !lane.calls.is_empty());
            if lane.is_some_and(|lane| lane.finish == finish) {
                return Some(account);
            }
            self.order.pop();
        }
        None
    }
}
