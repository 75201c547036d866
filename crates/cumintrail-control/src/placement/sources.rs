//! Where the pieces of one prompt can be imported from, as sums over the prompt.

use std::time::Duration;

use cumintrail_types::{BlockKey, Bytes, StoreKey, Tokens};
use smallvec::SmallVec;

use super::{Context, CostEstimate, Group, Placement, Request, fetch_plan};
use crate::Fetch;
use crate::directory::StoredBlock;
use crate::links::{TransferBytes, TransferEstimate};
use crate::parts::PartPlans;

/// Names the store that each piece would come from, and prices ranges of pieces.
#[derive(Debug)]
pub(super) struct Sources {
    chosen: SmallVec<[Option<StoredBlock>; 16]>,
    stores: SmallVec<[Source; 2]>,
}

/// Holds what the pieces before each position take from one store.
#[derive(Debug)]
struct Source {
    store: StoreKey,
    transfer_estimate: TransferEstimate,
    /// Seconds that a byte takes on the link as declared.
    seconds_per_byte: f64,
    prefix_sums: SmallVec<[TransferBytes; 17]>,
}

/// Names a number of pieces to import and its price.
#[derive(Debug, Clone, Copy)]
pub(super) struct Choice {
    pub(super) cost: f64,
    imported: usize,
    estimate: CostEstimate,
}

impl Sources {
    /// Picks a store for each piece, the one that delivers it first.
    pub(super) fn new(cx: &Context<'_>, blocks: &[BlockKey]) -> Self {
        let mut sources = Self { chosen: SmallVec::new(), stores: SmallVec::new() };
        for key in blocks {
            let places = cx.directory.stored(*key);
            let timed = places.filter_map(|kept| Some((sources.arrival(cx, &kept)?, kept)));
            let first = timed.min_by(|(a, x), (b, y)| a.total_cmp(b).then(x.store.cmp(&y.store)));
            let chosen = first.map(|(_, kept)| kept);
            sources.append(cx, chosen);
        }
        sources
    }

    /// Returns when a block would have arrived, after the pieces before it.
    fn arrival(&self, cx: &Context<'_>, kept: &StoredBlock) -> Option<f64> {
        let known = self.stores.iter().find(|s| s.store == kept.store);
        let mut load = known.and_then(|s| s.prefix_sums.last()).copied().unwrap_or_default();
        load.add(kept.sealed.length, kept.tier);
        let transfer_estimate = match known {
            Some(source) => source.transfer_estimate,
            None => cx.links.estimate(cx.now, kept.store, cx.stores.get(kept.store)?),
        };
        Some(transfer_estimate.seconds(load))
    }

    fn append(&mut self, cx: &Context<'_>, chosen: Option<StoredBlock>) {
        let position = self.chosen.len();
        self.chosen.push(chosen);
        if let Some(kept) = chosen
            && !self.stores.iter().any(|s| s.store == kept.store)
            && let Some(declared) = cx.stores.get(kept.store)
        {
            self.stores.push(Source {
                store: kept.store,
                transfer_estimate: cx.links.estimate(cx.now, kept.store, declared),
                seconds_per_byte: 1.0 / declared.link_per_second.0.max(1) as f64,
                prefix_sums: SmallVec::from_elem(TransferBytes::default(), position + 1),
            });
        }
        for source in &mut self.stores {
            let mut load = source.prefix_sums.last().copied().unwrap_or_default();
            if let Some(kept) = chosen.filter(|k| k.store == source.store) {
                load.add(kept.sealed.length, kept.tier);
            }
            source.prefix_sums.push(load);
        }
    }

    /// Finds the cheapest number of pieces to import for a group of targets.
    pub(super) fn cheapest(
        &self,
        cx: &Context<'_>,
        request: &Request<'_>,
        group: &Group<'_>,
    ) -> Choice {
        let choice = |imported: usize| {
            let estimate = self.estimate(cx, request, group, imported);
            Choice { cost: estimate.cost, imported, estimate }
        };
        let none = choice(0);
        if !group.candidate.can_import {
            return none;
        }
        let kept = self.chosen[group.cached..].iter().take_while(|k| k.is_some()).count();
        (1..=kept)
            .map(choice)
            .fold(none, |best, next| if next.cost < best.cost { next } else { best })
    }

    fn estimate(
        &self,
        cx: &Context<'_>,
        request: &Request<'_>,
        group: &Group<'_>,
        imported: usize,
    ) -> CostEstimate {
        let (from, to) = (group.cached, group.cached + imported);
        let (mut transfer, mut link) = (0.0_f64, 0.0);
        for source in &self.stores {
            let load = source.prefix_sums[to].saturating_sub(source.prefix_sums[from]);
            transfer = transfer.max(source.transfer_estimate.seconds(load));
            link += load.link.0 as f64 * source.seconds_per_byte;
        }
        let obtained = Tokens(to as u32 * cx.deployment.piece.0);
        let recompute = request.prompt.saturating_sub(obtained);
        let prefill_rate = f64::from(group.candidate.target.prefill_per_second);
        let prefill = f64::from(recompute.0) / prefill_rate;
        CostEstimate::new(cx.preset, group.wait, transfer, prefill, link)
    }

    /// Turns a choice into orders.
    pub(super) fn placement(
        &self,
        cx: &Context<'_>,
        request: &Request<'_>,
        group: &Group<'_>,
        choice: &Choice,
    ) -> Placement {
        let to = group.cached + choice.imported;
        let imported = self.chosen[group.cached..to].iter().flatten();
        let fetches: SmallVec<[Fetch; 4]> =
            imported.clone().map(|k| Fetch { store: k.store, sealed: k.sealed }).collect();
        let link_bytes: Bytes = imported.map(|k| k.sealed.length).sum();
        let block_tokens = cx.deployment.piece.0;
        let prefill_rate = f64::from(group.candidate.target.prefill_per_second);
        let saved = f64::from(choice.imported as u32 * block_tokens) / prefill_rate;
        Placement {
            target: group.candidate.key,
            cost: choice.cost,
            wait: Duration::from_secs_f64(choice.estimate.start),
            first_token: Duration::from_secs_f64(choice.estimate.first_token),
            recompute: request.prompt.saturating_sub(Tokens(to as u32 * block_tokens)),
            plan: fetch_plan(fetches, group.wait, saved),
            link_bytes,
            parts: PartPlans::default(),
            memory_used: 0.0,
        }
    }
}
