//! How the responses of addresses end; docs/DESIGN.md, "Relayed calls".

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cumintrail_types::Moment;

/// How long a target that did not state the start of its process is not asked for it again.
const IDENTIFICATION_PAUSE: Duration = Duration::from_secs(10);

/// Records which addresses end responses with their connections, for use by one thread.
///
/// [`ResponseEnds::prune`] bounds it by the number of targets.
#[derive(Debug, Default)]
pub struct ResponseEnds {
    addresses: HashMap<SocketAddr, AddressRecord>,
}

#[derive(Debug, Default)]
struct AddressRecord {
    /// Whether a response has ended with its connection.
    ends_by_close: bool,
    /// When an identity request did not show which process responds.
    unidentified: Option<Moment>,
}

impl ResponseEnds {
    /// Records whether a response of an address ends with its connection.
    pub fn record(&mut self, at: SocketAddr, ends_by_close: bool) {
        self.addresses.entry(at).or_default().ends_by_close |= ends_by_close;
    }

    /// Records that an identity request did not show which process responds at an address.
    pub fn record_unidentified(&mut self, now: Moment, at: SocketAddr) {
        self.addresses.entry(at).or_default().unidentified = Some(now);
    }

    /// Returns whether the process at an address is to be known before a call is sent there, so that
    /// the end of the response can be told from that of the process.
    pub fn need_process(&self, now: Moment, at: SocketAddr) -> bool {
        self.addresses.get(&at).is_some_and(|record| {
            let is_paused = |since| now.since(since) < IDENTIFICATION_PAUSE;
            record.ends_by_close && !record.unidentified.is_some_and(is_paused)
        })
    }

    /// Forgets the addresses for which `is_target` returns false.
    pub fn prune(&mut self, is_target: impl Fn(SocketAddr) -> bool) {
        self.addresses.retain(|at, _| is_target(*at));
    }
}
