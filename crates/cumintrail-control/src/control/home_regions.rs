//! Calls that are restricted to regions: where they, their bodies and their KV cache go.

use cumintrail_config::Snapshot;
use cumintrail_types::{DomainKey, Refusal, RefusalCode};
use smallvec::SmallVec;

use super::Control;
use crate::home_regions::AllowedRegions;
use crate::membership::Peer;
use crate::parts::PartStore;
use crate::placement::Placer;
use crate::{Arrival, Call};

impl<P: Placer> Control<P> {
    /// Returns the list of regions that restricts a call here; `None` if none does.
    fn restriction<'a>(&self, arrival: &'a Arrival) -> Option<&'a AllowedRegions> {
        arrival.options.allowed_regions.as_ref().filter(|_| !self.regions.is_empty())
    }

    /// Returns whether regions restrict a call.
    pub(super) fn is_restricted(&self, arrival: &Arrival) -> bool {
        self.restriction(arrival).is_some()
    }

    /// Returns the failure domains that a call may reach; `None` for all.
    pub(super) fn allowed_domains(
        &self,
        snapshot: &Snapshot,
        arrival: &Arrival,
    ) -> Option<SmallVec<[DomainKey; 8]>> {
        let allowed = self.restriction(arrival)?;
        let domains = snapshot.domains.iter();
        let reached = domains.filter(|(_, name)| self.regions.may_reach(allowed, name));
        Some(reached.map(|(key, _)| key).collect())
    }

    /// Returns whether a peer may get the body of a call.
    pub(super) fn may_forward_to(&self, call: &Call, peer: &Peer) -> bool {
        let allowed = self.restriction(&call.arrival);
        allowed.is_none_or(|allowed| self.regions.may_forward(allowed, &peer.domain))
    }

    /// Returns the stores of `all` to and from which the KV cache of a call may be transferred.
    pub(super) fn allowed_stores(&self, all: &[PartStore], arrival: &Arrival) -> Vec<PartStore> {
        let Some(snapshot) = &self.snapshot else {
            return Vec::new();
        };
        let domains = self.allowed_domains(snapshot, arrival);
        let is_allowed = |store: &&PartStore| {
            let domain = snapshot.stores.get(store.key).map(|declared| declared.domain);
            domains.as_ref().is_none_or(|domains| domain.is_some_and(|d| domains.contains(&d)))
        };
        all.iter().filter(is_allowed).copied().collect()
    }

    /// Counts the refusal of a call for which its regions have no usable target.
    pub(super) fn count_region_refusal(
        &mut self,
        call: cumintrail_types::CallKey,
        refusal: &Refusal,
    ) {
        let is_restricted = self.calls.get(&call).is_some_and(|c| self.is_restricted(&c.arrival));
        if refusal.code == RefusalCode::NoTarget && is_restricted {
            self.region_refusals += 1;
        }
    }
}
