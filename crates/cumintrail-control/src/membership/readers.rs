//! The daemons of each failure domain, and those of them that read the platform for the others;
//! docs/PLATFORM.md, "Readers and followers".

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::Moment;
use smallvec::SmallVec;

use super::rendezvous::weight;
use super::{Liveness, Membership, PLATFORM_HASH_ADDRESS};
use crate::DomainSize;
use crate::feed::ReaderAssignment;

/// Number of daemons of a failure domain from which on only some of them read the platform.
const MIN_FOLLOWED_DOMAIN: usize = 6;
/// Number of daemons that read the platform in such a domain.
const READERS_PER_DOMAIN: usize = 2;
/// How long the size of a failure domain counts after a daemon of the domain counted its peers.
const DOMAIN_SIZE_RETENTION: Duration = Duration::from_secs(30);

impl Membership {
    /// Assigns the readers of the platform to a daemon, given with its processor share.
    ///
    /// In a domain with at least `MIN_FOLLOWED_DOMAIN` daemons, those two with the largest
    /// processor share are readers and the others follow them, if `may_follow` is set; elsewhere
    /// each daemon reads.
    pub fn assign_readers(
        &self,
        now: Moment,
        own: (SocketAddr, u16),
        own_domain: &Arc<str>,
        may_follow: bool,
    ) -> ReaderAssignment {
        let usable = self.peers().filter(|(address, peer)| {
            *address != own.0
                && peer.domain == *own_domain
                && peer.liveness != Liveness::Silent
                && !peer.leaving
        });
        let usable = usable.map(|(address, peer)| (address, peer.processor_share));
        let mut near: Vec<(SocketAddr, u16)> = usable.chain([own]).collect();
        near.sort_by_key(|(address, share)| {
            Reverse((*share, weight(PLATFORM_HASH_ADDRESS, *address)))
        });
        let is_split = |daemons: usize| may_follow && daemons >= MIN_FOLLOWED_DOMAIN;
        let sizes = self.domain_sizes(now, own.0, own_domain);
        let sizes = sizes.iter().map(|size| size.daemons as usize);
        let reader_count = sizes.map(|n| if is_split(n) { READERS_PER_DOMAIN } else { n }).sum();
        let first = near.iter().take(READERS_PER_DOMAIN).map(|(address, _)| *address);
        let is_reader = first.clone().any(|address| address == own.0);
        let is_follower = is_split(near.len()) && !is_reader;
        ReaderAssignment {
            readers: if is_follower { first.collect() } else { SmallVec::new() },
            has_followers: is_split(near.len()) && is_reader,
            reader_count,
            domain_daemons: near.len(),
        }
    }

    /// Returns the number of daemons of each failure domain: those of the own domain as known here,
    /// those of others as one of their daemons counted them, or as known here if none did.
    pub fn domain_sizes(
        &self,
        now: Moment,
        own: SocketAddr,
        own_domain: &Arc<str>,
    ) -> Vec<DomainSize> {
        let mut known: BTreeMap<&Arc<str>, u32> = BTreeMap::from([(own_domain, 1)]);
        for (_, peer) in self.peers().filter(|(a, p)| *a != own && !p.domain.is_empty()) {
            *known.entry(&peer.domain).or_default() += 1;
        }
        let counted = self.domain_counts.iter().filter(|(domain, (_, at))| {
            *domain != own_domain && now.since(*at) < DOMAIN_SIZE_RETENTION
        });
        let mut sizes: BTreeMap<&Arc<str>, DomainSize> = counted
            .map(|(domain, (daemons, at))| {
                let (daemons, age) = (*daemons, now.since(*at));
                (domain, DomainSize { domain: domain.clone(), daemons, age })
            })
            .collect();
        for (domain, daemons) in known {
            let age = if domain == own_domain { Duration::ZERO } else { DOMAIN_SIZE_RETENTION };
            let size = DomainSize { domain: domain.clone(), daemons, age };
            sizes.entry(domain).or_insert(size);
        }
        sizes.into_values().collect()
    }

    /// Returns the number of daemons of the deployment, `own` and silent ones included.
    pub fn daemon_count(&self, now: Moment, own: SocketAddr, own_domain: &Arc<str>) -> usize {
        let sizes = self.domain_sizes(now, own, own_domain);
        sizes.iter().map(|size| size.daemons as usize).sum()
    }

    /// Records how many daemons failure domains have, from a peer's digest; the latest count of a
    /// domain stays.
    pub(super) fn record_domain_sizes(&mut self, now: Moment, sizes: &[DomainSize]) {
        for size in sizes.iter().filter(|size| size.age < DOMAIN_SIZE_RETENTION) {
            let counted = (size.daemons, now - size.age);
            let known = self.domain_counts.entry(size.domain.clone()).or_insert(counted);
            if known.1 < counted.1 {
                *known = counted;
            }
        }
    }
}
