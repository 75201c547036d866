//! Handlers of imports, exports and cache changes of blocks.

use cumintrail_config::Snapshot;
use cumintrail_types::{
    BlockKey, Bytes, CallKey, Incarnation, Moment, Sealed, StoreKey, TargetKey, Tier, WriteId,
};
use rand::Rng;
use smallvec::SmallVec;

use super::Control;
use crate::directory::StoredBlock;
use crate::export_planner::{PlannedExport, StoreSpace, TooFewUses};
use crate::links::TransferBytes;
use crate::placement::Placer;
use crate::{Action, Actions, Export, Fetch, FetchOutcome, FetchPlan};

impl<P: Placer> Control<P> {
    /// Records the imports of a dispatch as transfers on the links of their stores.
    pub(super) fn start_fetches(&mut self, now: Moment, call: CallKey, plan: &FetchPlan) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        for (store, load) in self.loads(plan) {
            if let Some(declared) = snapshot.stores.get(store) {
                self.links.start(now, call, store, load, declared);
            }
        }
    }

    /// Sums up the bytes that a plan imports from each store.
    fn loads(&self, plan: &FetchPlan) -> SmallVec<[(StoreKey, TransferBytes); 2]> {
        let mut loads: SmallVec<[(StoreKey, TransferBytes); 2]> = SmallVec::new();
        for Fetch { store, sealed } in &plan.fetches {
            let copies = self.directory.stored(sealed.key);
            let tier = copies.filter(|b| b.store == *store).map(|b| b.tier).next();
            let at = loads.iter().position(|(s, _)| s == store).unwrap_or(loads.len());
            if at == loads.len() {
                loads.push((*store, TransferBytes::default()));
            }
            loads[at].1.add(sealed.length, tier.unwrap_or(Tier::Disk));
        }
        loads
    }

    pub(super) fn handle_fetches(
        &mut self,
        now: Moment,
        call: CallKey,
        target: TargetKey,
        outcomes: &[(StoreKey, BlockKey, FetchOutcome)],
    ) {
        for (store, key, outcome) in outcomes {
            match outcome {
                FetchOutcome::Imported => {
                    self.directory.update_engine_cache(target, &[*key], &[]);
                    self.directory.stored_blocks_mut().promote(*store, *key);
                }
                FetchOutcome::Missing | FetchOutcome::Mismatch => {
                    self.directory.stored_blocks_mut().remove(*store, *key);
                }
                FetchOutcome::Failed => {}
            }
        }
        let all_imported =
            outcomes.iter().all(|(_, _, outcome)| *outcome == FetchOutcome::Imported);
        self.links.finish(now, call, all_imported);
    }

    pub(super) fn handle_cache_change(
        &mut self,
        target: TargetKey,
        incarnation: Incarnation,
        _gap: bool,
        stored: &[BlockKey],
        evicted: &[BlockKey],
    ) {
        let current = self.targets.get(target).map(super::state::TargetState::incarnation);
        if current.is_some_and(|c| c.0 > 0 && c != incarnation) {
            self.directory.clear_engine_cache(target);
        }
        self.directory.update_engine_cache(target, stored, evicted);
    }

    pub(super) fn handle_export(
        &mut self,
        now: Moment,
        export: Export,
        sealed: Option<(Sealed, Tier)>,
        actions: &mut Actions,
    ) {
        self.export_planner.end_export(export.key);
        if let Some((sealed, tier)) = sealed {
            self.directory.add_stored(StoredBlock { store: export.store, sealed, tier });
            let declared = self.snapshot.as_ref().and_then(|s| s.stores.get(export.store));
            self.newly_stored.extend(declared.map(|s| (s.address, sealed, tier)));
        }
        self.start_exports(now, actions);
    }

    /// Starts queued exports up to the concurrency limit, after freeing a block if a store is full.
    pub(super) fn start_exports(&mut self, now: Moment, actions: &mut Actions) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        while let Some(planned) = self.export_planner.next_export(now) {
            let PlannedExport { target, store, key } = planned;
            let Some(space) = self
                .space(&snapshot, store)
                .filter(|_| !self.directory.is_stored(key) && self.directory.is_cached(key))
            else {
                continue;
            };
            match self.export_planner.choose_victim(now, &self.directory, &planned, space) {
                Ok(None) => {}
                Ok(Some(sealed)) => {
                    self.directory.stored_blocks_mut().remove(store, sealed.key);
                    actions.push(Action::Free { store, sealed });
                }
                Err(TooFewUses) => continue,
            }
            self.export_planner.start_export(now, key);
            let write_id = self.random_write_id();
            actions.push(Action::Export(Export { target, store, key, write_id }));
        }
    }

    /// Returns the space of a store and the space of the largest model's block.
    fn space(&self, snapshot: &Snapshot, store: StoreKey) -> Option<StoreSpace> {
        let declared = snapshot.stores.get(store)?;
        let tokens = u64::from(snapshot.deployment.block_tokens.0);
        let largest = snapshot.models.iter().map(|(_, model)| model.state_bytes_per_token.0).max();
        let block = Bytes(tokens * largest.unwrap_or_default());
        Some(StoreSpace {
            capacity: declared.capacity,
            used: self.directory.stored_blocks().bytes(store),
            block,
        })
    }

    pub(super) fn random_write_id(&mut self) -> WriteId {
        WriteId(self.rng.random())
    }
}
