//! What is learned of kept blocks.

use cumintrail_config::Snapshot;
use cumintrail_types::{
    BlockKey, Bytes, CallKey, Incarnation, Moment, Sealed, StoreKey, TargetKey, Tier, WriteId,
};
use rand::Rng;
use smallvec::SmallVec;

use super::Control;
use crate::directory::Kept;
use crate::keeping::{NotWorth, Planned, Room};
use crate::links::Load;
use crate::placement::Placer;
use crate::{Action, Actions, Export, Fetch, FetchOutcome, FetchPlan};

impl<P: Placer> Control<P> {
    /// Notes the imports of a dispatch on their links.
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

    fn loads(&self, plan: &FetchPlan) -> SmallVec<[(StoreKey, Load); 2]> {
        let mut loads: SmallVec<[(StoreKey, Load); 2]> = SmallVec::new();
        for Fetch { store, sealed } in &plan.fetches {
            let places = self.directory.kept(sealed.key);
            let tier = places.filter(|k| k.store == *store).map(|k| k.tier).next();
            let at = loads.iter().position(|(s, _)| s == store).unwrap_or(loads.len());
            if at == loads.len() {
                loads.push((*store, Load::default()));
            }
            loads[at].1.add(sealed.length, tier.unwrap_or(Tier::Disk));
        }
        loads
    }

    pub(super) fn take_fetches(
        &mut self,
        now: Moment,
        call: CallKey,
        target: TargetKey,
        outcomes: &[(StoreKey, BlockKey, FetchOutcome)],
    ) {
        for (store, key, outcome) in outcomes {
            match outcome {
                FetchOutcome::Imported => {
                    self.directory.change_engine(target, &[*key], &[]);
                    self.directory.stores_mut().promote(*store, *key);
                }
                FetchOutcome::Missing | FetchOutcome::Mismatch => {
                    self.directory.stores_mut().remove(*store, *key);
                }
                FetchOutcome::Failed => {}
            }
        }
        let whole = outcomes.iter().all(|(_, _, outcome)| *outcome == FetchOutcome::Imported);
        self.links.finish(now, call, whole);
    }

    pub(super) fn take_cache_change(
        &mut self,
        target: TargetKey,
        incarnation: Incarnation,
        _gap: bool,
        stored: &[BlockKey],
        evicted: &[BlockKey],
    ) {
        let current = self.targets.get(target).map(super::state::TargetState::incarnation);
        if current.is_some_and(|c| c.0 > 0 && c != incarnation) {
            self.directory.clear_engine(target);
        }
        self.directory.change_engine(target, stored, evicted);
    }

    pub(super) fn take_export(
        &mut self,
        now: Moment,
        export: Export,
        sealed: Option<(Sealed, Tier)>,
        actions: &mut Actions,
    ) {
        self.keeping.finish(export.key);
        if let Some((sealed, tier)) = sealed {
            self.directory.add_kept(Kept { store: export.store, sealed, tier });
            let declared = self.snapshot.as_ref().and_then(|s| s.stores.get(export.store));
            self.fresh_kept.extend(declared.map(|s| (s.address, sealed, tier)));
        }
        self.start_exports(now, actions);
    }

    /// Orders planned exports while few are under way, freeing what is worth less in full stores.
    pub(super) fn start_exports(&mut self, now: Moment, actions: &mut Actions) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        while let Some(planned) = self.keeping.next(now) {
            let Planned { target, store, key } = planned;
            let Some(room) = self
                .room(&snapshot, store)
                .filter(|_| !self.directory.is_kept(key) && self.directory.is_held(key))
            else {
                continue;
            };
            match self.keeping.make_room(now, &self.directory, &planned, room) {
                Ok(None) => {}
                Ok(Some(sealed)) => {
                    self.directory.stores_mut().remove(store, sealed.key);
                    actions.push(Action::Free { store, sealed });
                }
                Err(NotWorth) => continue,
            }
            self.keeping.start(now, key);
            let write_id = self.random_write_id();
            actions.push(Action::Export(Export { target, store, key, write_id }));
        }
    }

    fn room(&self, snapshot: &Snapshot, store: StoreKey) -> Option<Room> {
        let declared = snapshot.stores.get(store)?;
        let tokens = u64::from(snapshot.deployment.piece.0);
        let largest = snapshot.models.iter().map(|(_, model)| model.state_per_token.0).max();
        let block = Bytes(tokens * largest.unwrap_or_default());
        Some(Room {
            capacity: declared.capacity,
            used: self.directory.stores().bytes(store),
            block,
        })
    }

    pub(super) fn random_write_id(&mut self) -> WriteId {
        WriteId(self.rng.random())
    }
}
