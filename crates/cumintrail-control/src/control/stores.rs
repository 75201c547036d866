//! Schedules reads of stores and handles the responses.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use cumintrail_config::Snapshot;
use cumintrail_types::{Bytes, Moment, Sealed, StoreKey, Tier};

use super::Control;
use crate::directory::{StoreRank, StoredBlock};
use crate::membership::Liveness;
use crate::placement::Placer;
use crate::store_sync::{StoreRead, StoreResponse};
use crate::{Action, Actions};

/// The maximum delay of a listing page while imports use the store's link.
const MAX_PAGE_DELAY: Duration = Duration::from_secs(5);

impl<P: Placer> Control<P> {
    /// Ranks the stores: those of the own failure domain first, within a domain in an order that
    /// differs between daemons.
    pub(super) fn rank_stores(&mut self, snapshot: &Snapshot) {
        for (key, store) in snapshot.stores.iter() {
            let domain = snapshot.domains.get(store.domain);
            let mut hasher = DefaultHasher::new();
            (&self.identity.vm, &store.name).hash(&mut hasher);
            let other_domain = domain.is_none_or(|domain| *domain != self.identity.domain);
            let rank = StoreRank { other_domain, tie_breaker: hasher.finish() };
            self.directory.stored_blocks_mut().set_rank(key, rank);
        }
    }

    /// Starts the reads that are due, with the pages of only one listing at a time.
    ///
    /// A daemon serves calls without a complete directory, so listing pages wait, up to a limit,
    /// while imports use the store's link.
    pub(super) fn start_store_reads(&mut self, now: Moment, actions: &mut Actions) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let listed = self.store_to_list(now);
        for (key, state) in self.stores.iter_mut() {
            let retired = snapshot.stores.get(key).is_none_or(|store| store.retired);
            let Some(read) = state.following.due(now).filter(|_| !retired) else {
                continue;
            };
            if let StoreRead::Listing { .. } = read {
                let in_use = self.links.usage(key).0 > Bytes(0);
                let may_wait = now.since(state.following.due_at()) < MAX_PAGE_DELAY;
                if listed != Some(key) || (in_use && may_wait) {
                    continue;
                }
            }
            let ticket = state.following.start_read(now, read);
            actions.push(Action::ReadStore { store: key, ticket, read });
        }
    }

    /// Returns the store with a listing in progress, or the lowest ranked with a listing due.
    fn store_to_list(&self, now: Moment) -> Option<StoreKey> {
        let in_progress = self.stores.iter().find(|(_, state)| state.following.is_listing());
        let waiting = self.stores.iter().filter(|(_, state)| {
            matches!(state.following.due(now), Some(StoreRead::Listing { .. }))
        });
        let first = || waiting.min_by_key(|(key, _)| self.directory.stored_blocks().rank(*key));
        in_progress.or_else(first).map(|(key, _)| key)
    }

    pub(super) fn handle_store_response(
        &mut self,
        now: Moment,
        store: StoreKey,
        request_id: u32,
        response: &StoreResponse,
    ) {
        let Some(state) = self.stores.get_mut(store) else {
            return;
        };
        let Some(read) = state.following.finish_read(request_id) else {
            return;
        };
        state.liveness = Liveness::Live;
        let known = self.directory.stored_blocks_mut();
        known.set_hidden(store, false);
        state.following.handle_response(now, store, (read, response), known, &mut self.rng);
    }

    /// Hides the blocks of a store that did not respond, without removing them.
    pub(super) fn handle_store_silence(&mut self, now: Moment, store: StoreKey, request_id: u32) {
        let Some(state) = self.stores.get_mut(store) else {
            return;
        };
        if state.following.finish_read(request_id).is_some() {
            state.liveness = Liveness::Silent;
            state.following.handle_failure(now, &mut self.rng);
            self.directory.stored_blocks_mut().set_hidden(store, true);
        }
    }

    /// Adds a block to the directory again, since the store may not have freed it.
    pub(super) fn handle_failed_free(&mut self, store: StoreKey, sealed: Sealed) {
        self.directory.add_stored(StoredBlock { store, sealed, tier: Tier::Disk });
    }

    /// Returns the stores that exports may go to.
    ///
    /// These are all usable stores if the directory knows all blocks of each. In a larger
    /// deployment only daemons of the store's failure domain learn of an exported block, so exports
    /// go to the fully known stores of the own failure domain. If there are none, they go to any
    /// fully known store, or else to any usable store.
    pub(super) fn export_stores(&self) -> Vec<StoreKey> {
        let declared = self.snapshot.iter().flat_map(|s| s.stores.iter());
        let usable = declared.filter(|(key, store)| {
            let live = self.stores.get(*key).is_some_and(|s| s.liveness != Liveness::Silent);
            live && !store.retired
        });
        let usable: Vec<StoreKey> = usable.map(|(key, _)| key).collect();
        let known = self.directory.stored_blocks();
        let fully_known = |key: &StoreKey| {
            let synced = self.stores.get(*key).is_some_and(|s| !s.following.is_skipped());
            synced && !known.is_partial(*key)
        };
        let fully_known: Vec<StoreKey> = usable.iter().copied().filter(fully_known).collect();
        if fully_known.len() == usable.len() {
            return usable;
        }
        let own =
            fully_known.iter().copied().filter(|key| !known.rank(*key).other_domain).collect();
        let preferred = [own, fully_known, usable].into_iter().find(|stores| !stores.is_empty());
        preferred.unwrap_or_default()
    }
}
