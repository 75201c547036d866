//! Counts of recent calls: those that were served, and those that crashes of targets ended.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use cumintrail_types::Moment;
use derive_more::{Add, AddAssign, Sum};

/// The time over which calls are counted, in [`INTERVAL`]s.
const INTERVALS: u64 = 10;
const INTERVAL: Duration = Duration::from_secs(1);
/// How long the counts of a peer are used after they were received.
const PEER_RETENTION: Duration = Duration::from_secs(2);

/// Counts recent calls to a model or service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Add, AddAssign, Sum)]
pub struct CallCounts {
    /// Calls with a complete response.
    pub served: u32,
    /// Calls that the crash of their target ended.
    pub broken: u32,
}

/// Counts the recent calls of this daemon and of its peers.
#[derive(Debug, Default)]
pub struct RecentCalls {
    /// The own calls to each model or service by the number of the interval, oldest first.
    own: HashMap<u64, VecDeque<(u64, CallCounts)>>,
    /// What each peer reported, and when.
    peers: HashMap<SocketAddr, (Moment, Vec<(u64, CallCounts)>)>,
}

impl RecentCalls {
    /// Counts own calls.
    pub fn record(&mut self, now: Moment, pool: u64, counts: CallCounts) {
        let number = interval(now);
        let intervals = self.own.entry(pool).or_default();
        intervals.retain(|(other, _)| other + INTERVALS > number);
        match intervals.back_mut() {
            Some((last, sum)) if *last == number => *sum += counts,
            _ => intervals.push_back((number, counts)),
        }
    }

    /// Records the counts of a peer.
    pub fn record_peer(&mut self, now: Moment, peer: SocketAddr, counts: Vec<(u64, CallCounts)>) {
        self.peers.retain(|_, (at, _)| now.since(*at) < PEER_RETENTION);
        self.peers.insert(peer, (now, counts));
    }

    /// Returns the own counts for each model and service.
    pub fn own(&self, now: Moment) -> Vec<(u64, CallCounts)> {
        self.own.keys().map(|pool| (*pool, self.own_of(now, *pool))).collect()
    }

    /// Returns the counts for one model or service, with those of peers that are heard of.
    pub fn all(&self, now: Moment, pool: u64) -> CallCounts {
        let heard = self.peers.values().filter(|(at, _)| now.since(*at) < PEER_RETENTION);
        let counts = heard.flat_map(|(_, counts)| counts).filter(|(of, _)| *of == pool);
        self.own_of(now, pool) + counts.map(|(_, counts)| *counts).sum()
    }

    fn own_of(&self, now: Moment, pool: u64) -> CallCounts {
        let intervals = self.own.get(&pool).into_iter().flatten();
        let recent = intervals.filter(|(number, _)| number + INTERVALS > interval(now));
        recent.map(|(_, counts)| *counts).sum()
    }
}

fn interval(now: Moment) -> u64 {
    now.since(Moment::default()).as_secs() / INTERVAL.as_secs()
}
