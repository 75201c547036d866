//! The fair queues of the calls of each urgency.

use std::collections::BTreeMap;

use cumintrail_types::{AccountKey, CallKey, Urgency};

use super::FairQueue;

/// Names the waiting calls of one account that have one urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Flow {
    /// The urgency; zero for all calls of a model or service whose calls are all equally urgent.
    pub urgency: Urgency,
    /// The client account.
    pub account: AccountKey,
}

impl From<AccountKey> for Flow {
    fn from(account: AccountKey) -> Self {
        Self { urgency: Urgency::default(), account }
    }
}

/// Serves the most urgent calls first, and calls of one urgency in turn by account.
///
/// A patient call at the front of an account's queue therefore never delays an urgent one of the
/// same account.
#[derive(Debug, Default)]
pub struct UrgencyQueues {
    queues: BTreeMap<Urgency, FairQueue>,
}

impl UrgencyQueues {
    /// Appends a call to its flow.
    pub fn push(&mut self, flow: Flow, weight: u32, call: CallKey) {
        self.queues.entry(flow.urgency).or_default().push(flow.account, weight, call);
    }

    /// Puts a call that was dispatched earlier at the front of its flow.
    pub fn push_front(&mut self, flow: Flow, weight: u32, call: CallKey) {
        self.queues.entry(flow.urgency).or_default().push_front(flow.account, weight, call);
    }

    /// Lists the first call of each flow in the order in which flows are served.
    pub fn heads(&self) -> impl Iterator<Item = (Flow, CallKey)> + '_ {
        self.queues.iter().flat_map(|(urgency, queue)| {
            queue.heads().map(|(account, call)| (Flow { urgency: *urgency, account }, call))
        })
    }

    /// Removes the first call of a flow and charges its account for it.
    pub fn serve(&mut self, flow: Flow) -> Option<CallKey> {
        self.queues.get_mut(&flow.urgency)?.serve(flow.account)
    }

    /// Removes a call without charging its account; returns whether the call was waiting.
    pub fn remove(&mut self, flow: Flow, call: CallKey) -> bool {
        self.queues.get_mut(&flow.urgency).is_some_and(|queue| queue.remove(flow.account, call))
    }

    /// Estimates how many calls are served before a new one of `flow`.
    pub fn calls_ahead_of(&self, flow: Flow, weight: u32) -> usize {
        let more_urgent: usize = self.queues.range(..flow.urgency).map(|(_, q)| q.len()).sum();
        let own = self.queues.get(&flow.urgency);
        more_urgent + own.map_or(0, |queue| queue.calls_ahead_of(flow.account, weight))
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.queues.values().map(FairQueue::len).sum()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.queues.values().all(FairQueue::is_empty)
    }
}
