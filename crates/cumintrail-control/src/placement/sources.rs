//! Stores that the blocks of one prompt can be imported from, with prefix sums over the prompt.

use std::time::Duration;

use cumintrail_types::{BlockKey, Bytes, StoreKey, Tokens};
use smallvec::SmallVec;

use super::{Context, CostEstimate, Group, Placement, Request, fetch_plan};
use crate::Fetch;
use crate::directory::StoredBlock;
use crate::links::{TransferBytes, TransferEstimate};
use crate::parts::PartPlans;

/// Lists the stored copy that each block would be imported from, and estimates the cost of ranges
/// of blocks.
#[derive(Debug)]
pub(super) struct Sources {
    chosen: SmallVec<[Option<StoredBlock>; 16]>,
    stores: SmallVec<[Source; 2]>,
}

/// Sums up the bytes that the blocks before each position take from one store.
#[derive(Debug)]
struct Source {
    store: StoreKey,
    transfer_estimate: TransferEstimate,
    /// Seconds per byte at the declared rate of the link.
    seconds_per_byte: f64,
    prefix_sums: SmallVec<[TransferBytes; 17]>,
}

/// Describes a number of blocks to import and its estimated cost.
#[derive(Debug, Clone, Copy)]
pub(super) struct Choice {
    pub(super) cost: f64,
    imported: usize,
    estimate: CostEstimate,
}

impl Sources {
    /// Chooses for each block the store that is expected to deliver it first.
    pub(super) fn new(cx: &Context<'_>, blocks: &[BlockKey]) -> Self {
        let mut sources = Self { chosen: SmallVec::new(), stores: SmallVec::new() };
        for key in blocks {
            let copies = cx.directory.stored(*key);
            let timed = copies.filter_map(|copy| Some((sources.arrival(cx, &copy)?, copy)));
            let first = timed.min_by(|(a, x), (b, y)| a.total_cmp(b).then(x.store.cmp(&y.store)));
            let chosen = first.map(|(_, copy)| copy);
            sources.append(cx, chosen);
        }
        sources
    }

    /// Returns the seconds until a block would arrive, after the blocks before it from the same
    /// store.
    fn arrival(&self, cx: &Context<'_>, copy: &StoredBlock) -> Option<f64> {
        let known = self.stores.iter().find(|s| s.store == copy.store);
        let mut load = known.and_then(|s| s.prefix_sums.last()).copied().unwrap_or_default();
        load.add(copy.sealed.length, copy.tier);
        let transfer_estimate = match known {
            Some(source) => source.transfer_estimate,
            None => cx.links.estimate(cx.now, copy.store, cx.stores.get(copy.store)?),
        };
        Some(transfer_estimate.seconds(load))
    }

    fn append(&mut self, cx: &Context<'_>, chosen: Option<StoredBlock>) {
        let position = self.chosen.len();
        self.chosen.push(chosen);
        if let Some(copy) = chosen
            && !self.stores.iter().any(|s| s.store == copy.store)
            && let Some(declared) = cx.stores.get(copy.store)
        {
            self.stores.push(Source {
                store: copy.store,
                transfer_estimate: cx.links.estimate(cx.now, copy.store, declared),
                seconds_per_byte: 1.0 / declared.link_bytes_per_second.0.max(1) as f64,
                prefix_sums: SmallVec::from_elem(TransferBytes::default(), position + 1),
            });
        }
        for source in &mut self.stores {
            let mut load = source.prefix_sums.last().copied().unwrap_or_default();
            if let Some(copy) = chosen.filter(|k| k.store == source.store) {
                load.add(copy.sealed.length, copy.tier);
            }
            source.prefix_sums.push(load);
        }
    }

    /// Returns the number of blocks with the lowest cost to import for a group of targets.
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
        let importable = self.chosen[group.cached..].iter().take_while(|k| k.is_some()).count();
        (1..=importable)
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
        let obtained = Tokens(to as u32 * cx.deployment.block_tokens.0);
        let recompute = request.prompt.saturating_sub(obtained);
        let prefill_rate = f64::from(group.candidate.target.prefill_tokens_per_second);
        let prefill = f64::from(recompute.0) / prefill_rate;
        let estimate = CostEstimate::new(cx.preset, group.wait, transfer, prefill, link);
        let crossing = cx.preset.first_token_weight * group.candidate.crossing_seconds;
        CostEstimate { cost: estimate.cost + crossing, ..estimate }
    }

    /// Returns the placement for a choice, with the fetches that it needs.
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
        let block_tokens = cx.deployment.block_tokens.0;
        let prefill_rate = f64::from(group.candidate.target.prefill_tokens_per_second);
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
