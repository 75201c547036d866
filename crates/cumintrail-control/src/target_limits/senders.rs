//! How a limit is divided between the daemons that send requests to its target.

use std::cmp::Reverse;
use std::net::SocketAddr;

use cumintrail_types::RequestRate;

use super::allowance::CREDIT_SECONDS;
use crate::admission;
use crate::membership::rendezvous_weight;

/// The requests beyond a limit that a target tolerates at a time.
const TOLERATED_REQUESTS: f64 = 4.0;
/// The time within which half as many requests again as the limit allows are tolerated.
const TOLERATED_SECONDS: f64 = 2.0;

/// The calls a second from which a daemon needs a part of a limit.
const MIN_CALLS: f64 = 0.05;

/// Returns how many daemons may send requests to a target with this limit.
///
/// All of them may have saved up credit and send at once, which the target must tolerate on top of
/// the limit.
pub fn max_senders(rate: RequestRate) -> usize {
    (TOLERATED_SECONDS - CREDIT_SECONDS).mul_add(rate.per_second(), TOLERATED_REQUESTS) as usize
}

/// Describes the daemons that may send requests to a target, as one of them knows them.
#[derive(Debug, Clone)]
pub struct Senders {
    /// The address of this daemon.
    pub own: SocketAddr,
    /// The calls a second for the target's model or service that arrive here.
    pub own_calls: f64,
    /// The other daemons that are heard of, with their calls a second if they reported them.
    pub peers: Vec<(SocketAddr, Option<f64>)>,
    /// The number of daemons, those included that are not heard of.
    pub daemons: usize,
}

impl Senders {
    /// Returns this daemon's share of the limit of a target, in requests a second.
    ///
    /// A daemon that is not heard of may be cut off from this one only, so that its equal part of the
    /// limit is left to it. Where there are more daemons than [`max_senders`], those without calls
    /// send nothing, and neither do further ones that a rendezvous hash selects.
    pub fn own_share(&self, target: SocketAddr, rate: RequestRate) -> f64 {
        let heard = self.peers.len() + 1;
        let part = (heard as f64 / self.daemons.max(1) as f64).min(1.0);
        let rank = |address: SocketAddr, calls: Option<f64>| {
            let has_calls = calls.is_none_or(|calls| calls >= MIN_CALLS);
            (has_calls, rendezvous_weight(target, address))
        };
        let own = rank(self.own, Some(self.own_calls));
        let count = max_senders(rate).min(heard);
        let peers = self.peers.iter().map(|(peer, calls)| (rank(*peer, *calls), *calls));
        let mut others: Vec<((bool, u64), Option<f64>)> = peers.collect();
        if others.iter().filter(|(rank, _)| *rank > own).count() >= count {
            return 0.0;
        }
        if count < heard {
            others.select_nth_unstable_by_key(count - 1, |(rank, _)| Reverse(*rank));
            others.truncate(count - 1);
        }
        let unreported = self.mean_calls();
        let others = others.iter().map(|(_, calls)| calls.unwrap_or(unreported)).sum();
        rate.per_second() * part * admission::share(self.own_calls, others, count)
    }

    /// Returns the mean of the reported calls a second, or the own ones without reports.
    fn mean_calls(&self) -> f64 {
        let reported = || self.peers.iter().filter_map(|(_, calls)| *calls);
        match reported().count() {
            0 => self.own_calls,
            count => reported().sum::<f64>() / count as f64,
        }
    }
}
