//! What is learned of kept blocks.

use std::time::Duration;

use cumintrail_types::{
    BlockKey, Bytes, CallKey, Incarnation, Moment, Sealed, StoreKey, TargetKey, Tier, WriteId,
};
use rand::Rng;

use super::Control;
use crate::directory::Kept;
use crate::membership::Liveness;
use crate::placement::Placer;
use crate::{Export, FetchOutcome};

impl<P: Placer> Control<P> {
    pub(super) fn take_fetches(
        &mut self,
        _call: CallKey,
        target: TargetKey,
        outcomes: &[(StoreKey, BlockKey, FetchOutcome)],
        took: Duration,
    ) {
        for (store, key, outcome) in outcomes {
            let places = self.directory.kept(*key);
            let length =
                places.iter().find(|k| k.store == *store).map_or(Bytes(0), |k| k.sealed.length);
            let imported = *outcome == FetchOutcome::Imported;
            let arrived = if imported { length } else { Bytes(0) };
            self.links.finish(*store, length, arrived, took);
            match outcome {
                FetchOutcome::Imported => self.directory.change_engine(target, &[*key], &[]),
                FetchOutcome::Missing | FetchOutcome::Mismatch => {
                    self.directory.remove_kept(*store, *key);
                }
                FetchOutcome::Failed => {}
            }
        }
    }

    pub(super) fn take_cache_change(
        &mut self,
        target: TargetKey,
        incarnation: Incarnation,
        gap: bool,
        stored: &[BlockKey],
        evicted: &[BlockKey],
    ) {
        let current = self.targets.get(target).map(super::state::TargetState::incarnation);
        if gap || current != Some(incarnation) {
            self.directory.clear_engine(target);
        }
        self.directory.change_engine(target, stored, evicted);
    }

    pub(super) fn take_export(
        &mut self,
        _now: Moment,
        export: Export,
        sealed: Option<(Sealed, Tier)>,
    ) {
        if let Some((sealed, tier)) = sealed {
            self.directory.add_kept(Kept { store: export.store, sealed, tier });
            let declared = self.snapshot.as_ref().and_then(|s| s.stores.get(export.store));
            self.fresh_kept.extend(declared.map(|s| (s.address, sealed, tier)));
        }
    }

    pub(super) fn take_listing(
        &mut self,
        now: Moment,
        store: StoreKey,
        incarnation: Incarnation,
        first: bool,
        blocks: &[(Sealed, Tier)],
    ) {
        let Some(state) = self.stores.get_mut(store) else {
            return;
        };
        state.liveness = Liveness::Live;
        state.listed = Some(now);
        if first || state.incarnation != Some(incarnation) {
            self.directory.clear_store(store);
        }
        state.incarnation = Some(incarnation);
        for (sealed, tier) in blocks {
            self.directory.add_kept(Kept { store, sealed: *sealed, tier: *tier });
        }
    }

    pub(super) fn take_store_silence(&mut self, _now: Moment, store: StoreKey) {
        if let Some(state) = self.stores.get_mut(store) {
            state.liveness = Liveness::Silent;
            self.directory.clear_store(store);
        }
    }

    pub(super) fn live_stores(&self, _now: Moment) -> Vec<StoreKey> {
        let declared = self.snapshot.iter().flat_map(|s| s.stores.iter());
        let usable = declared.filter(|(key, store)| {
            let live = self.stores.get(*key).is_some_and(|s| s.liveness != Liveness::Silent);
            live && !store.retired
        });
        usable.map(|(key, _)| key).collect()
    }

    pub(super) fn random_write_id(&mut self) -> WriteId {
        WriteId(self.rng.random())
    }
}
