//! Parts of prompts in managed stores: what calls are told of them, and which are freed.

use std::sync::Arc;
use std::time::Duration;

use cumintrail_config::{Snapshot, TargetKind};
use cumintrail_types::{BlockKey, Moment, StoreKey, Tokens};

use super::Control;
use crate::parts::{
    KNOWLEDGE_LIFE, PartPlans, PartStore, PartsHeard, READ_LIFE, SETTLING, place_of, roots_in_use,
};
use crate::placement::{Near, Placer};
use crate::{Action, Actions, Arrival};

/// How long after the platform's last answer reads are still planned.
///
/// Whoever frees parts of replaced weights waits longer, so that none is freed under a read.
const ANSWER_LIFE: Duration = Duration::from_millis(2_900);
/// How long a root must have been out of use before parts below it are freed.
const FREE_AFTER: Duration = Duration::from_millis(4_700);
/// The pause between two looks for parts to free.
const FREE_INTERVAL: Duration = Duration::from_millis(200);
/// How long ago a root that is not in use any more is remembered.
const ROOT_LIFE: Duration = Duration::from_secs(120);

const _: () = assert!(
    FREE_AFTER.as_millis() > ANSWER_LIFE.as_millis() + READ_LIFE.as_millis()
        && SETTLING.as_millis() > KNOWLEDGE_LIFE.as_millis() + READ_LIFE.as_millis()
);

/// Remembers what is needed for parts in managed stores.
#[derive(Debug, Default)]
pub(super) struct Managed {
    pub secret: Arc<str>,
    /// Stores that parts are kept in, with their share.
    stores: Vec<PartStore>,
    /// The prompt tokens that an engine computes a second.
    prefill: f64,
    in_use: Vec<BlockKey>,
    /// Roots that went out of use, and when.
    replaced: Vec<(BlockKey, Moment)>,
    /// When the first configuration was taken.
    started: Option<Moment>,
    /// When the question was asked that the platform answered last.
    answered: Moment,
    next_free: Moment,
}

impl Managed {
    /// Notes that the platform answered a question about what operators declare.
    pub fn note_answer(&mut self, asked: Moment) {
        self.answered = self.answered.max(asked);
    }

    /// Takes what a snapshot says of stores and of what names parts.
    pub fn take_configuration(&mut self, now: Moment, snapshot: &Snapshot) {
        self.started.get_or_insert(now);
        let stores = snapshot.stores.iter().filter(|(_, s)| s.keeps_parts && !s.retired);
        let state_of_token = snapshot.models.iter().map(|(_, model)| model.state_per_token.0);
        let state_of_token = state_of_token.max().unwrap_or_default() as f64;
        let share = |(key, store): (StoreKey, &cumintrail_config::Store)| PartStore {
            key,
            place: place_of(&store.name),
            room: store.capacity.0,
            delay: store.transfer_delay.as_secs_f64(),
            per_token: state_of_token / store.link_per_second.0.max(1) as f64,
        };
        self.stores = stores.map(share).collect();
        self.prefill = prefill_of(snapshot);
        let in_use = roots_in_use(&self.secret, snapshot);
        let gone = self.in_use.iter().filter(|root| !in_use.contains(root));
        self.replaced.extend(gone.map(|root| (*root, now)));
        self.replaced.retain(|(_, at)| now.since(*at) < ROOT_LIFE);
        self.in_use = in_use;
    }

    /// Tells whether nobody reads parts below a root any more.
    fn may_free(&self, now: Moment, root: Option<BlockKey>) -> bool {
        let known = self.replaced.iter().rev().find(|(replaced, _)| Some(*replaced) == root);
        let since = known.map(|(_, at)| *at).or(self.started);
        root.is_none_or(|root| !self.in_use.contains(&root))
            && since.is_some_and(|since| now.since(since) >= FREE_AFTER)
    }
}

impl<P: Placer> Control<P> {
    pub(super) fn take_parts(
        &mut self,
        now: Moment,
        asked: Moment,
        store: StoreKey,
        heard: PartsHeard,
    ) {
        self.parts.take(asked, now, store, heard);
    }

    /// Plans what managed stores deliver and take for a call.
    pub(super) fn plan_parts(&self, now: Moment, arrival: &Arrival) -> PartPlans {
        // Parts below a root that is out of use are freed, however late this daemon learned of it.
        let is_in_use = |root| self.managed.in_use.contains(&root);
        if arrival.terms.ends.is_empty() || !arrival.terms.root.is_some_and(is_in_use) {
            return PartPlans::default();
        }
        let prompt = (&*arrival.pieces, &*arrival.terms.ends);
        let (stores, prefill) = (&self.managed.stores, self.managed.prefill);
        self.parts.plan(now, stores, prompt, prefill, self.knows_roots(now))
    }

    /// Tells where the longest shared part of a prompt is kept, or will be.
    pub(super) fn near_parts(
        &self,
        snapshot: &Snapshot,
        arrival: &Arrival,
        plans: &PartPlans,
    ) -> Option<Near> {
        let ends = &arrival.terms.ends;
        let begins = std::iter::once(&Tokens(0)).chain(ends.iter());
        let lengths = ends.iter().zip(begins).map(|(end, begin)| end.saturating_sub(*begin));
        let kept = plans.parts.iter().zip(lengths).filter_map(|(plan, tokens)| {
            Some((tokens, plan.read.map(|(store, _)| store).or(plan.save)?))
        });
        let (tokens, store) = kept.max_by_key(|(tokens, _)| *tokens)?;
        let described = self.managed.stores.iter().find(|s| s.key == store)?;
        let domain = snapshot.stores.get(store)?.domain;
        Some(Near { domain, seconds: described.seconds(tokens) })
    }

    /// Tells whether the platform answered of late.
    pub(super) fn hears_platform(&self, now: Moment) -> bool {
        self.managed.answered >= now - ANSWER_LIFE
    }

    /// Tells whether this daemon would know if the names of parts had changed.
    fn knows_roots(&self, now: Moment) -> bool {
        let limit = now - ANSWER_LIFE;
        self.managed.answered >= limit
            || self.membership.received_from_half(self.identity.address, limit)
    }

    /// Tells whether there is anything to free.
    pub(super) fn has_unused_parts(&self, now: Moment) -> bool {
        self.managed.stores.iter().any(|store| {
            let may_free = |root| self.managed.may_free(now, root);
            self.parts.unused(now, store.key, may_free).is_some()
        })
    }

    /// Orders parts to be freed that nobody reads any more, while this daemon holds the lease.
    pub(super) fn order_frees(&mut self, now: Moment, actions: &mut Actions) {
        let Some(lease) = self.rollout.lease().filter(|lease| lease.may_send(now)) else {
            return;
        };
        if self.managed.next_free > now
            || self.managed.answered < now - ANSWER_LIFE
            || self.handing_over
        {
            return;
        }
        self.managed.next_free = now + FREE_INTERVAL;
        for store in self.managed.stores.clone() {
            let may_free = |root| self.managed.may_free(now, root);
            let Some((epoch, parts)) = self.parts.unused(now, store.key, may_free) else {
                continue;
            };
            // Events tell what is gone; until then it is not ordered again.
            self.parts.forget(store.key, &parts);
            self.rollout.note_order(now);
            let not_after = lease.send_until();
            actions.push(Action::FreeParts { store: store.key, epoch, parts, not_after });
        }
    }
}

/// Returns the prompt tokens that the quickest engine computes a second.
fn prefill_of(snapshot: &Snapshot) -> f64 {
    let engines = snapshot.targets.iter().map(|(_, target)| target);
    let engines = engines.filter(|t| matches!(t.kind, TargetKind::Engine(_)) && !t.retired);
    f64::from(engines.map(|target| target.prefill_per_second).max().unwrap_or(1))
}
