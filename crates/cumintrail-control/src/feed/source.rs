//! Chooses where a daemon gets tables and lists of parts from: the platform, or a reader of its
//! failure domain.
//!
//! Answers the load of idle deployments: the platform counts requests, and each change of the
//! registry would otherwise wake every daemon for a request of its own.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use cumintrail_types::Moment;
use smallvec::SmallVec;

use crate::membership::rendezvous_weight;

/// Maximum age of followed tables; beyond it, the daemon reads them from the platform itself.
///
/// The age is the sum of the reader's own wait for changes, its minimum interval between requests
/// and the wait of the follower's request; docs/PLATFORM.md, "Readers and followers".
pub const MAX_FOLLOWED_AGE: Duration = Duration::from_millis(1_700);
/// How long a reader that failed is passed over while another source is available.
const PENALTY: Duration = Duration::from_secs(2);

/// Names the readers of a failure domain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReaderAssignment {
    /// The readers that this daemon follows; empty if it reads the platform itself.
    pub readers: SmallVec<[SocketAddr; 2]>,
    /// Whether other daemons of the failure domain follow this one.
    pub has_followers: bool,
    /// The number of daemons of the whole deployment that read the platform.
    pub reader_count: usize,
    /// The number of daemons in the failure domain, this one included.
    pub domain_daemons: usize,
}

/// A source of tables and of lists of parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FeedSource {
    /// The platform and the stores themselves.
    Platform,
    /// A reader of the failure domain.
    Reader(SocketAddr),
}

/// Tracks the readers of a failure domain as one follower observes them.
#[derive(Debug)]
pub struct FeedSourceChoice {
    own: SocketAddr,
    readers: SmallVec<[SocketAddr; 2]>,
    passed_over_until: HashMap<SocketAddr, Moment>,
}

impl FeedSourceChoice {
    /// Creates the choice of the daemon at `own`, which reads the platform at first.
    pub fn new(own: SocketAddr) -> Self {
        Self { own, readers: SmallVec::new(), passed_over_until: HashMap::new() }
    }

    /// Sets the readers; each follower prefers one by a hash, so that they share the followers.
    pub fn assign(&mut self, readers: &[SocketAddr]) {
        self.readers = readers.iter().copied().filter(|reader| *reader != self.own).collect();
        let own = self.own;
        self.readers.sort_by_key(|reader| std::cmp::Reverse(rendezvous_weight(own, *reader)));
        self.passed_over_until.retain(|reader, _| readers.contains(reader));
    }

    /// Returns the source of the next request: the preferred reader that did not fail recently, or
    /// the platform.
    pub fn choose(&self, now: Moment) -> FeedSource {
        let is_usable = |reader: &&SocketAddr| {
            self.passed_over_until.get(*reader).is_none_or(|until| *until <= now)
        };
        self.readers
            .iter()
            .find(is_usable)
            .map_or(FeedSource::Platform, |reader| FeedSource::Reader(*reader))
    }

    /// Records that a reader did not respond, or that it does not read the platform.
    pub fn record_failure(&mut self, now: Moment, reader: SocketAddr) {
        self.passed_over_until.insert(reader, now + PENALTY);
    }

    /// Records a response of a reader with tables that were current at `as_of`.
    ///
    /// A reader whose tables are too old is passed over if another one may have newer tables.
    pub fn record_response(&mut self, now: Moment, reader: SocketAddr, as_of: Moment) {
        if now.since(as_of) >= MAX_FOLLOWED_AGE && self.readers.len() > 1 {
            self.record_failure(now, reader);
        } else {
            self.passed_over_until.remove(&reader);
        }
    }
}
