//! Counts of the calls that were served lately.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use cumintrail_types::Moment;

/// The time over which calls are counted.
pub const COUNTED_TIME: Duration = Duration::from_secs(10);
const INTERVAL: Duration = Duration::from_secs(1);
/// How long the counts of a peer are used after they were received.
const PEER_RETENTION: Duration = Duration::from_secs(2);

/// Counts the calls that this daemon and its peers lately served.
#[derive(Debug, Default)]
pub struct ServedCalls {
    /// The own calls to each model or service by the number of the interval, oldest first.
    own: HashMap<u64, VecDeque<(u64, u32)>>,
    /// What each peer reported, and when.
    peers: HashMap<SocketAddr, (Moment, Vec<(u64, u32)>)>,
}

impl ServedCalls {
    /// Counts an own call.
    pub fn record(&mut self, now: Moment, pool: u64) {
        let number = interval(now);
        let intervals = self.own.entry(pool).or_default();
        intervals.retain(|(other, _)| is_counted(*other, now));
        match intervals.back_mut() {
            Some((last, count)) if *last == number => *count += 1,
            _ => intervals.push_back((number, 1)),
        }
    }

    /// Records the counts of a peer.
    pub fn record_peer(&mut self, now: Moment, peer: SocketAddr, counts: Vec<(u64, u32)>) {
        self.peers.retain(|_, (at, _)| now.since(*at) < PEER_RETENTION);
        self.peers.insert(peer, (now, counts));
    }

    /// Returns the own counts for each model and service.
    pub fn own(&self, now: Moment) -> Vec<(u64, u32)> {
        self.own.keys().map(|pool| (*pool, self.own_of(now, *pool))).collect()
    }

    /// Returns the count for one model or service, with the recent reports of peers.
    pub fn all(&self, now: Moment, pool: u64) -> u32 {
        let heard = self.peers.values().filter(|(at, _)| now.since(*at) < PEER_RETENTION);
        let counts = heard.flat_map(|(_, counts)| counts).filter(|(of, _)| *of == pool);
        self.own_of(now, pool) + counts.map(|(_, count)| *count).sum::<u32>()
    }

    fn own_of(&self, now: Moment, pool: u64) -> u32 {
        let intervals = self.own.get(&pool).into_iter().flatten();
        intervals.filter(|(number, _)| is_counted(*number, now)).map(|(_, count)| *count).sum()
    }
}

fn interval(now: Moment) -> u64 {
    now.since(Moment::default()).as_secs() / INTERVAL.as_secs()
}

fn is_counted(number: u64, now: Moment) -> bool {
    number + COUNTED_TIME.as_secs() / INTERVAL.as_secs() > interval(now)
}
