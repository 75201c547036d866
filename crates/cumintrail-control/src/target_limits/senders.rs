//! How a limit is divided between the daemons that send requests to its target.

use std::cmp::Reverse;
use std::net::SocketAddr;

use cumintrail_types::RequestRate;

use crate::admission;
use crate::membership::rendezvous_weight;

/// Describes how far requests may exceed the limit of a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// The requests beyond the limit that are tolerated at a time.
    pub requests: f64,
    /// The seconds' worth of the limit that is tolerated on top of these.
    pub seconds: f64,
    /// The time for which each daemon may save up credit beyond one request.
    ///
    /// It lets a daemon use a larger share although its calls come unevenly. With this much at each
    /// of [`max_senders`](Self::max_senders) daemons, their requests stay within the tolerance.
    pub credit_seconds: f64,
}

impl Tolerance {
    /// The tolerance of limits that targets name: half as many again as the limit allows in four
    /// seconds, and five requests, of which one is kept in reserve.
    pub const NAMED: Self = Self { requests: 4.0, seconds: 2.0, credit_seconds: 0.25 };

    /// Returns how many daemons may send requests to a target with this limit.
    ///
    /// All of them may have saved up credit and send at once, which the target must tolerate on top
    /// of the limit.
    pub fn max_senders(&self, rate: RequestRate) -> usize {
        (self.seconds - self.credit_seconds).mul_add(rate.per_second(), self.requests) as usize
    }
}

/// The calls a second from which a daemon needs a part of a limit.
const MIN_CALLS: f64 = 0.05;

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
    /// limit is left to it. Where there are more daemons than [`Tolerance::max_senders`], those without calls
    /// send nothing, and neither do further ones that a rendezvous hash selects.
    pub fn own_share(&self, target: SocketAddr, rate: RequestRate) -> f64 {
        let heard = self.peers.len() + 1;
        let part = (heard as f64 / self.daemons.max(1) as f64).min(1.0);
        let rank = |address: SocketAddr, calls: Option<f64>| {
            let has_calls = calls.is_none_or(|calls| calls >= MIN_CALLS);
            (has_calls, rendezvous_weight(target, address))
        };
        let own = rank(self.own, Some(self.own_calls));
        let count = Tolerance::NAMED.max_senders(rate).min(heard);
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

    /// Returns this daemon's equal part of the limit of a target that at most `max_senders` daemons
    /// send to, from 0 to 1.
    ///
    /// A rendezvous hash selects the senders among the known daemons. Calls and messages have no
    /// influence, so that daemons that hear nothing of each other select the same senders. A daemon
    /// that does not know all others selects fewer, in proportion.
    pub fn own_equal_part(&self, target: SocketAddr, max_senders: usize) -> f64 {
        let known = self.peers.len() + 1;
        let daemons = self.daemons.max(known);
        let senders = max_senders.min(daemons);
        let selected = senders * known / daemons;
        let own = rendezvous_weight(target, self.own);
        let ahead =
            self.peers.iter().filter(|(peer, _)| rendezvous_weight(target, *peer) > own).count();
        if ahead < selected { 1.0 / senders as f64 } else { 0.0 }
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
