//! Digests: what this daemon tells peers and takes from them.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_types::Moment;
use rand::Rng;

use super::Control;
use crate::placement::Placer;
use crate::{Action, Actions, PeerDigest};

/// The shortest time between two digests, however much changes.
const URGENT_GAP: Duration = Duration::from_millis(100);
/// Client accounts whose use one digest tells at most, the busiest first.
const MAX_WANTS: usize = 64;

impl<P: Placer> Control<P> {
    /// Brings the next digest forward, since something changed that peers should know soon.
    pub(super) fn hasten_digest(&mut self, now: Moment) {
        let soonest = now.max(self.last_digest + URGENT_GAP);
        self.next_digest = self.next_digest.min(soonest);
    }

    pub(super) fn order_digests(&mut self, now: Moment, actions: &mut Actions) {
        if self.next_digest > now {
            return;
        }
        self.last_digest = now;
        let interval = self.identity.digest_interval;
        self.next_digest = now + interval.mul_f64(self.rng.random_range(0.9..1.1));
        let (own, domain) = (self.identity.address, self.identity.domain.clone());
        let common = PeerDigest {
            vm: self.identity.vm.clone(),
            domain: domain.clone(),
            incarnation: self.identity.incarnation,
            address: Some(own),
            generation: self.generation(),
            freshness: self.freshness(now),
            leaving: Vec::new(),
            targets: Vec::new(),
            stored: std::mem::take(&mut self.fresh_kept),
            wants: self.wants(),
        };
        for to in self.membership.choose_peers(own, &domain, &mut self.rng) {
            let mut digest = common.clone();
            self.membership.fill(now, to, &mut digest);
            actions.push(Action::SendDigest { to, digest });
        }
    }

    /// Counts the calls that each client account has here, waiting ones included.
    fn wants(&self) -> Vec<(Arc<str>, u32)> {
        let accounts = self.snapshot.iter().flat_map(|s| s.accounts.iter());
        let mut wants: Vec<(Arc<str>, u32)> = accounts
            .map(|(key, account)| (account.name.clone(), self.admission.in_flight(key)))
            .filter(|(_, calls)| *calls > 0)
            .collect();
        wants.sort_unstable_by_key(|(_, calls)| std::cmp::Reverse(*calls));
        wants.truncate(MAX_WANTS);
        wants
    }

    pub(super) fn take_digest(&mut self, now: Moment, digest: &PeerDigest, actions: &mut Actions) {
        self.hear_reads(now, digest, actions);
        for news in self.membership.take_digest(now, digest) {
            self.take_news(now, &news);
        }
        if !digest.leaving.is_empty() {
            self.hasten_digest(now);
        }
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        for (address, sealed, tier) in &digest.stored {
            let store = snapshot.stores.iter().find(|(_, s)| s.address == *address);
            if let Some((store, _)) = store {
                let kept = crate::directory::Kept { store, sealed: *sealed, tier: *tier };
                self.directory.add_kept(kept);
            }
        }
    }
}
