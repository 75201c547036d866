//! Where the pieces of one prompt can be imported from, as sums over the prompt.

use std::time::Duration;

use cumintrail_types::{BlockKey, Bytes, StoreKey, Tokens};
use smallvec::SmallVec;

use super::{Context, Group, Placement, Price, Request, fetch_plan};
use crate::Fetch;
use crate::directory::StoredBlock;
use crate::links::{Forecast, Load};
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
    forecast: Forecast,
    /// Seconds that a byte takes on the link as declared.
    per_byte: f64,
    before: SmallVec<[Load; 17]>,
}

/// Names a number of pieces to import and its price.
#[derive(Debug, Clone, Copy)]
pub(super) struct Choice {
    pub(super) cost: f64,
    taken: usize,
    price: Price,
}

impl Sources {
    /// Picks a store for each piece, the one that delivers it first.
    pub(super) fn new(cx: &Context<'_>, pieces: &[BlockKey]) -> Self {
        let mut sources = Self { chosen: SmallVec::new(), stores: SmallVec::new() };
        for key in pieces {
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
        let mut load = known.and_then(|s| s.before.last()).copied().unwrap_or_default();
        load.add(kept.sealed.length, kept.tier);
        let forecast = match known {
            Some(source) => source.forecast,
            None => cx.links.forecast(cx.now, kept.store, cx.stores.get(kept.store)?),
        };
        Some(forecast.seconds(load))
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
                forecast: cx.links.forecast(cx.now, kept.store, declared),
                per_byte: 1.0 / declared.link_per_second.0.max(1) as f64,
                before: SmallVec::from_elem(Load::default(), position + 1),
            });
        }
        for source in &mut self.stores {
            let mut load = source.before.last().copied().unwrap_or_default();
            if let Some(kept) = chosen.filter(|k| k.store == source.store) {
                load.add(kept.sealed.length, kept.tier);
            }
            source.before.push(load);
        }
    }

    /// Finds the cheapest number of pieces to import for a group of targets.
    pub(super) fn cheapest(
        &self,
        cx: &Context<'_>,
        request: &Request<'_>,
        group: &Group<'_>,
    ) -> Choice {
        let choice = |taken: usize| {
            let price = self.price(cx, request, group, taken);
            Choice { cost: price.cost, taken, price }
        };
        let none = choice(0);
        if !group.candidate.importable {
            return none;
        }
        let kept = self.chosen[group.held..].iter().take_while(|k| k.is_some()).count();
        (1..=kept)
            .map(choice)
            .fold(none, |best, next| if next.cost < best.cost { next } else { best })
    }

    fn price(
        &self,
        cx: &Context<'_>,
        request: &Request<'_>,
        group: &Group<'_>,
        taken: usize,
    ) -> Price {
        let (from, to) = (group.held, group.held + taken);
        let (mut transfer, mut link) = (0.0_f64, 0.0);
        for source in &self.stores {
            let load = source.before[to].since(source.before[from]);
            transfer = transfer.max(source.forecast.seconds(load));
            link += load.link.0 as f64 * source.per_byte;
        }
        let obtained = Tokens(to as u32 * cx.deployment.piece.0);
        let recompute = request.prompt.saturating_sub(obtained);
        let speed = f64::from(group.candidate.target.prefill_per_second);
        let prefill = f64::from(recompute.0) / speed;
        Price::new(cx.preset, group.wait, transfer, prefill, link)
    }

    /// Turns a choice into orders.
    pub(super) fn placement(
        &self,
        cx: &Context<'_>,
        request: &Request<'_>,
        group: &Group<'_>,
        choice: &Choice,
    ) -> Placement {
        let to = group.held + choice.taken;
        let taken = self.chosen[group.held..to].iter().flatten();
        let fetches: SmallVec<[Fetch; 4]> =
            taken.clone().map(|k| Fetch { store: k.store, sealed: k.sealed }).collect();
        let link_bytes: Bytes = taken.map(|k| k.sealed.length).sum();
        let piece = cx.deployment.piece.0;
        let speed = f64::from(group.candidate.target.prefill_per_second);
        let saved = f64::from(choice.taken as u32 * piece) / speed;
        Placement {
            target: group.candidate.key,
            cost: choice.cost,
            wait: Duration::from_secs_f64(choice.price.begin),
            first_token: Duration::from_secs_f64(choice.price.first_token),
            recompute: request.prompt.saturating_sub(Tokens(to as u32 * piece)),
            plan: fetch_plan(fetches, group.wait, saved),
            link_bytes,
            parts: PartPlans::default(),
            memory: 0.0,
        }
    }
}
