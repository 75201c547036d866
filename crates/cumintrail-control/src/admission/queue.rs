//! A queue that serves client accounts in proportion to their weights.

use std::collections::{BTreeSet, HashMap, VecDeque};

use cumintrail_types::{AccountKey, CallKey};

const VIRTUAL_COST: u64 = 1 << 20;

/// Serves accounts by virtual finish times, in time that grows with the logarithm of the accounts.
#[derive(Debug, Default)]
pub struct FairQueue {
    flows: HashMap<AccountKey, Flow>,
    /// Finish times of the flows in which calls wait.
    by_finish: BTreeSet<(u64, AccountKey)>,
    virtual_time: u64,
    waiting: usize,
}

#[derive(Debug, Default)]
struct Flow {
    calls: VecDeque<CallKey>,
    weight: u32,
    finish: u64,
}

impl FairQueue {
    /// Appends a call to its account's flow.
    pub fn push(&mut self, account: AccountKey, weight: u32, call: CallKey) {
        self.add_to_flow(account, weight).calls.push_back(call);
    }

    /// Puts a call that was served before in front of its account's flow.
    pub fn push_front(&mut self, account: AccountKey, weight: u32, call: CallKey) {
        self.add_to_flow(account, weight).calls.push_front(call);
    }

    /// Makes room for one more call in an account's flow.
    fn add_to_flow(&mut self, account: AccountKey, weight: u32) -> &mut Flow {
        let flow = self.flows.entry(account).or_default();
        flow.weight = weight.max(1);
        if flow.calls.is_empty() {
            flow.finish =
                flow.finish.max(self.virtual_time) + VIRTUAL_COST / u64::from(flow.weight);
            self.by_finish.insert((flow.finish, account));
        }
        self.waiting += 1;
        flow
    }

    /// Lists the first call of each account in the order in which accounts are served.
    pub fn heads(&self) -> impl Iterator<Item = (AccountKey, CallKey)> + '_ {
        self.by_finish.iter().filter_map(|(_, account)| {
            let flow = self.flows.get(account)?;
            flow.calls.front().map(|call| (*account, *call))
        })
    }

    /// Removes the first call of an account, which pays for it.
    ///
    /// Accounts before it in the order keep their places, so that one that is held back for now is
    /// served as soon as it may be.
    pub fn serve(&mut self, account: AccountKey) -> Option<CallKey> {
        let flow = self.flows.get_mut(&account)?;
        let call = flow.calls.pop_front()?;
        self.waiting -= 1;
        self.by_finish.remove(&(flow.finish, account));
        self.virtual_time = self.virtual_time.max(flow.finish);
        if !flow.calls.is_empty() {
            flow.finish += VIRTUAL_COST / u64::from(flow.weight);
            self.by_finish.insert((flow.finish, account));
        }
        Some(call)
    }

    /// Removes a waiting call that is not served; tells whether it waited.
    pub fn remove(&mut self, account: AccountKey, call: CallKey) -> bool {
        let Some(flow) = self.flows.get_mut(&account) else {
            return false;
        };
        let Some(at) = flow.calls.iter().position(|c| *c == call) else {
            return false;
        };
        flow.calls.remove(at);
        if flow.calls.is_empty() {
            self.by_finish.remove(&(flow.finish, account));
        }
        self.waiting -= 1;
        true
    }

    /// Counts the calls that are served before a new one of `account`.
    ///
    /// Each other account is served in proportion to its weight meanwhile.
    pub fn calls_ahead_of(&self, account: AccountKey, weight: u32) -> usize {
        let own = self.flows.get(&account).map_or(0, |flow| flow.calls.len());
        let rounds = (own + 1) as f64 / f64::from(weight.max(1));
        let others = self.flows.iter().filter(|(key, _)| **key != account);
        let served = others.map(|(_, flow)| {
            let share = (rounds * f64::from(flow.weight)).ceil() as usize;
            share.min(flow.calls.len())
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
