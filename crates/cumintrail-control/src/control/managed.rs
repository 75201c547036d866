//! Parts of prompts in managed stores: plans the reads and saves of calls, and frees unused parts.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_types::{BlockKey, Generation, Moment, StoreKey, Tokens};

use super::Control;
use crate::parts::{
    MAX_UPDATE_AGE, PartPlans, PartStore, PartsUpdate, READ_TIMEOUT, SETTLE_DELAY,
    cache_salts_in_use, name_hash,
};
use crate::placement::{PartLocation, Placer};
use crate::{Action, Actions, Arrival};

/// Maximum age of the last platform response, from its request, for plans that read or free parts.
///
/// Parts of replaced weights are freed only after a longer delay, so that none is freed during a
/// read.
const MAX_RESPONSE_AGE: Duration = Duration::from_millis(2_900);
/// Time for which a cache salt must have been out of use before its parts are freed.
const FREE_DELAY: Duration = Duration::from_millis(4_700);
/// Minimum interval between two searches for parts to free.
const FREE_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum time for which a cache salt that went out of use stays recorded.
const REPLACED_SALT_RETENTION: Duration = Duration::from_secs(120);

const _: () = assert!(
    FREE_DELAY.as_millis() > MAX_RESPONSE_AGE.as_millis() + READ_TIMEOUT.as_millis()
        && SETTLE_DELAY.as_millis() > MAX_UPDATE_AGE.as_millis() + READ_TIMEOUT.as_millis()
);

/// Tracks the managed stores and the cache salts of the configuration in force.
#[derive(Debug, Default)]
pub(super) struct ManagedStores {
    /// The secret that cache salts are derived from.
    pub secret: Arc<str>,
    /// Stores that parts may be saved to.
    stores: Vec<PartStore>,
    /// Prompt tokens that the fastest engine computes per second.
    prefill_per_second: f64,
    salts_in_use: Vec<BlockKey>,
    /// Cache salts that went out of use, and when.
    replaced_salts: Vec<(BlockKey, Moment)>,
    /// When a part was last saved under each cache salt that was not in use here.
    unused_saves: HashMap<BlockKey, Moment>,
    /// The generation in force, and when it or the cache salts in use last changed.
    declared: Option<(Generation, Moment)>,
    /// When the last request that the platform responded to was sent.
    platform_requested: Moment,
    next_free_at: Moment,
}

impl ManagedStores {
    /// Records that the platform responded to a request for the declarations of operators.
    pub fn record_platform_response(&mut self, requested: Moment) {
        self.platform_requested = self.platform_requested.max(requested);
    }

    /// Applies the stores and the inputs of cache salts in a snapshot.
    pub fn apply_configuration(&mut self, now: Moment, snapshot: &Snapshot) {
        let stores = snapshot.stores.iter().filter(|(_, s)| s.stores_parts && !s.retired);
        let bytes_per_token =
            snapshot.models.iter().map(|(_, model)| model.state_bytes_per_token.0);
        let bytes_per_token = bytes_per_token.max().unwrap_or_default() as f64;
        let part_store = |(key, store): (StoreKey, &cumintrail_config::Store)| PartStore {
            key,
            name_hash: name_hash(&store.name),
            capacity_tokens: store.capacity.0,
            delay_seconds: store.transfer_delay.as_secs_f64(),
            seconds_per_token: bytes_per_token / store.link_bytes_per_second.0.max(1) as f64,
        };
        self.stores = stores.map(part_store).collect();
        self.prefill_per_second = max_prefill_per_second(snapshot);
        let in_use = cache_salts_in_use(&self.secret, snapshot);
        let replaced = self.salts_in_use.iter().filter(|salt| !in_use.contains(salt));
        self.replaced_salts.extend(replaced.map(|salt| (*salt, now)));
        self.replaced_salts.retain(|(_, at)| now.since(*at) < REPLACED_SALT_RETENTION);
        let is_same_generation = |(known, _): &(Generation, Moment)| *known == snapshot.generation;
        if !self.declared.as_ref().is_some_and(is_same_generation) || self.salts_in_use != in_use {
            self.declared = Some((snapshot.generation, now));
        }
        self.salts_in_use = in_use;
    }

    /// Records the cache salts under which other daemons saved parts though this one has them out of
    /// use: they may have read newer declarations.
    fn record_saves(&mut self, now: Moment, update: &PartsUpdate) {
        self.unused_saves.retain(|_, at| now.since(*at) < REPLACED_SALT_RETENTION);
        let saved = update.stored.iter().filter_map(|part| part.cache_salt);
        for salt in saved.filter(|salt| !self.salts_in_use.contains(salt)) {
            let at = self.unused_saves.entry(salt).or_insert(now);
            // A complete list repeats parts that were saved before.
            if !update.complete {
                *at = now;
            }
        }
    }

    /// Returns whether no daemon can still read parts under a cache salt.
    ///
    /// A salt that this daemon never had in use may belong to declarations between the last two that
    /// it read, so that it counts as out of use since the last change. One under which a part was
    /// saved was in use then.
    fn may_free(&self, now: Moment, salt: Option<BlockKey>) -> bool {
        let known = self.replaced_salts.iter().rev().find(|(replaced, _)| Some(*replaced) == salt);
        let since = known.map(|(_, at)| *at).or(self.declared.map(|(_, changed)| changed));
        let saved = salt.and_then(|salt| self.unused_saves.get(&salt).copied());
        let since = since.map(|since| saved.map_or(since, |saved| since.max(saved)));
        salt.is_none_or(|salt| !self.salts_in_use.contains(&salt))
            && since.is_some_and(|since| now.since(since) >= FREE_DELAY)
    }
}

impl<P: Placer> Control<P> {
    pub(super) fn handle_parts(
        &mut self,
        now: Moment,
        requested: Moment,
        store: StoreKey,
        update: PartsUpdate,
    ) {
        self.managed_stores.record_saves(now, &update);
        self.part_index.record(requested, now, store, update);
    }

    /// Plans the reads and saves of a call's parts in managed stores.
    pub(super) fn plan_parts(&self, now: Moment, arrival: &Arrival) -> PartPlans {
        // Parts under a cache salt that is out of use may already be freed: another daemon may have
        // learned of the change earlier than this one.
        let is_in_use = |salt| self.managed_stores.salts_in_use.contains(&salt);
        if arrival.options.block_ends.is_empty()
            || !arrival.options.cache_salt.is_some_and(is_in_use)
        {
            return PartPlans::default();
        }
        let prompt = (&*arrival.blocks, &*arrival.options.block_ends);
        let prefill_per_second = self.managed_stores.prefill_per_second;
        let may_read = self.knows_salts_in_use(now);
        let all = &self.managed_stores.stores;
        if !self.is_restricted(arrival) {
            return self.part_index.plan(now, all, prompt, prefill_per_second, may_read);
        }
        let stores = self.allowed_stores(all, arrival);
        self.part_index.plan(now, &stores, prompt, prefill_per_second, may_read)
    }

    /// Returns the location of the longest part of a prompt that is read from or saved to a store.
    pub(super) fn part_location(
        &self,
        snapshot: &Snapshot,
        arrival: &Arrival,
        plans: &PartPlans,
    ) -> Option<PartLocation> {
        let ends = &arrival.options.block_ends;
        let starts = std::iter::once(&Tokens(0)).chain(ends.iter());
        let lengths = ends.iter().zip(starts).map(|(end, start)| end.saturating_sub(*start));
        let located = plans.parts.iter().zip(lengths).filter_map(|(plan, tokens)| {
            Some((tokens, plan.read.map(|(store, _)| store).or(plan.save)?))
        });
        let (tokens, store) = located.max_by_key(|(tokens, _)| *tokens)?;
        let part_store = self.managed_stores.stores.iter().find(|s| s.key == store)?;
        let domain = snapshot.stores.get(store)?.domain;
        Some(PartLocation { domain, transfer_seconds: part_store.transfer_seconds(tokens) })
    }

    /// Returns whether this daemon would have learned of a change of the cache salts in use: the
    /// last platform response is recent, or enough peers recently echoed a digest of this daemon.
    fn knows_salts_in_use(&self, now: Moment) -> bool {
        let limit = now - MAX_RESPONSE_AGE;
        self.managed_stores.platform_requested >= limit
            || self.membership.received_from_half(self.identity.address, limit)
    }

    /// Returns whether any store has parts to free.
    pub(super) fn has_unused_parts(&self, now: Moment) -> bool {
        self.managed_stores.stores.iter().any(|store| {
            let may_free = |salt| self.managed_stores.may_free(now, salt);
            self.part_index.unused(now, store.key, may_free).is_some()
        })
    }

    /// Orders unused parts to be freed, if this daemon holds the lease, does not hand it over and
    /// received a recent platform response.
    pub(super) fn free_unused_parts(&mut self, now: Moment, actions: &mut Actions) {
        let Some(lease) = self.rollout.lease().filter(|lease| lease.may_send(now)) else {
            return;
        };
        if self.managed_stores.next_free_at > now
            || self.managed_stores.platform_requested < now - MAX_RESPONSE_AGE
            || self.stop_pending
        {
            return;
        }
        self.managed_stores.next_free_at = now + FREE_INTERVAL;
        for store in self.managed_stores.stores.clone() {
            let may_free = |salt| self.managed_stores.may_free(now, salt);
            let Some((epoch, parts)) = self.part_index.unused(now, store.key, may_free) else {
                continue;
            };
            // Removed from the index at once, so that the parts are not ordered to be freed again
            // before the store's updates list them as removed.
            self.part_index.remove(store.key, &parts);
            self.rollout.record_order(now);
            let not_after = lease.send_until();
            actions.push(Action::FreeParts { store: store.key, epoch, parts, not_after });
        }
    }
}

/// Returns the prompt tokens that the fastest engine computes per second.
fn max_prefill_per_second(snapshot: &Snapshot) -> f64 {
    let engines = snapshot.targets.iter().map(|(_, target)| target);
    let engines = engines.filter(|t| matches!(t.kind, TargetKind::Engine(_)) && !t.retired);
    f64::from(engines.map(|target| target.prefill_tokens_per_second).max().unwrap_or(1))
}
