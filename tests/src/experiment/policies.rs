//! The placement policies under comparison.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use cumintrail_control::directory::StoredBlock;
use cumintrail_control::parts::PartPlans;
use cumintrail_control::placement::{
    Candidate, CheapestPlacer, Context, Placement, Placer, Request,
};
use cumintrail_control::{Fetch, FetchPlan};
use cumintrail_types::{Bytes, Key, Moment, StoreKey, Tier, Tokens};
use smallvec::SmallVec;

use super::Policy;
use super::world::{BLOCK_BYTES, BLOCK_TOKENS, World, prefill_time};

/// Places calls by the policy under test.
#[derive(Debug)]
pub struct PolicyPlacer {
    /// The policy under test.
    pub policy: Policy,
    /// The exact state of engines and stores; only the oracle reads it.
    pub world: Rc<RefCell<World>>,
}

impl Placer for PolicyPlacer {
    fn place(
        &self,
        cx: &Context<'_>,
        request: &Request<'_>,
        candidates: &[Candidate<'_>],
    ) -> Option<Placement> {
        let free = candidates.iter().filter(|c| c.available);
        let cached = |c: &Candidate<'_>| cx.directory.cached_prefix(c.key, request.blocks);
        let chosen = match self.policy {
            Policy::Ours => return CheapestPlacer.place(cx, request, candidates),
            Policy::Oracle => return self.exhaustive(cx, request, candidates),
            Policy::Random => free.min_by_key(|c| mix(request.call.0, c.key.0.into())),
            Policy::LeastLoaded | Policy::AlwaysFetch => free.min_by_key(|c| (c.backlog, c.calls)),
            Policy::Affinity => free.max_by_key(|c| (cached(c), Reverse(c.backlog))),
            Policy::AlwaysRecompute => free.min_by_key(|c| {
                let rest = request.prompt.0 - cached(c) as u32 * BLOCK_TOKENS;
                c.backlog.0 + rest
            }),
        };
        let chosen = chosen?;
        let cached_blocks = cached(chosen);
        let mut fetches: SmallVec<[Fetch; 4]> = SmallVec::new();
        if self.policy == Policy::AlwaysFetch {
            let stored = request.blocks[cached_blocks..]
                .iter()
                .map_while(|k| cx.directory.stored(*k).next());
            fetches.extend(stored.map(|k: StoredBlock| Fetch { store: k.store, sealed: k.sealed }));
        }
        let obtained = (cached_blocks + fetches.len()) as u32 * BLOCK_TOKENS;
        let recompute = Tokens(request.prompt.0 - obtained);
        let link_bytes = Bytes(fetches.len() as u64 * BLOCK_BYTES);
        let first_token = prefill_time(chosen.backlog.0 + recompute.0);
        let plan = FetchPlan { fetches, timeout: Duration::from_secs(60) };
        Some(Placement {
            target: chosen.key,
            cost: 0.0,
            wait: Duration::ZERO,
            first_token,
            recompute,
            plan,
            link_bytes,
            parts: PartPlans::default(),
            memory_used: 0.0,
        })
    }

    /// Only [`Policy::Ours`] queues calls at the daemon; with the other policies, calls queue at
    /// engines.
    fn queues_at_daemon(&self) -> bool {
        self.policy == Policy::Ours
    }
}

impl PolicyPlacer {
    /// Returns the cheapest combination of target and number of fetched blocks, from the exact
    /// queues, memory contents and link use.
    fn exhaustive(
        &self,
        cx: &Context<'_>,
        request: &Request<'_>,
        candidates: &[Candidate<'_>],
    ) -> Option<Placement> {
        let world = self.world.borrow();
        let now = world.now;
        let tried = candidates.iter().flat_map(|candidate| {
            let engine = &world.engines[candidate.key.index()];
            let cached_blocks =
                request.blocks.iter().take_while(|k| engine.memory.contains(**k)).count();
            let ready = engine.ready_at(now);
            let mut links = vec![(Moment(0), Moment(0)); world.stores.len()];
            let (mut fetches, mut end) = (SmallVec::<[Fetch; 4]>::new(), now);
            let mut options = Vec::new();
            for taken in 0..=request.blocks.len() - cached_blocks {
                let obtained = (cached_blocks + taken) as u32 * BLOCK_TOKENS;
                let prefill = prefill_time(request.prompt.0 - obtained);
                let first_token = ready.max(end).since(now) + prefill;
                options.push(exact(cx, candidate, first_token, prefill, &fetches));
                let Some(key) = request.blocks.get(cached_blocks + taken) else { break };
                let alive = world.stores.iter().enumerate().filter(|(_, s)| s.alive);
                let ways = alive.filter_map(|(i, store)| {
                    let (sealed, tier): (_, Tier) = store.sealed(*key)?;
                    let (mut link, mut disk) = links[i];
                    let end = store.read_end(now, tier, &mut link, &mut disk);
                    Some((end, i, sealed, (link, disk)))
                });
                let Some((at, i, sealed, busy)) = ways.min_by_key(|way| (way.0, way.1)) else {
                    break;
                };
                links[i] = busy;
                end = end.max(at);
                fetches.push(Fetch { store: StoreKey::from_index(i), sealed });
            }
            options
        });
        tried.min_by(|a, b| a.cost.total_cmp(&b.cost).then(a.target.cmp(&b.target)))
    }
}

fn exact(
    cx: &Context<'_>,
    candidate: &Candidate<'_>,
    first_token: Duration,
    prefill: Duration,
    fetches: &SmallVec<[Fetch; 4]>,
) -> Placement {
    let link_bytes = Bytes(fetches.len() as u64 * BLOCK_BYTES);
    let link = link_bytes.0 as f64 / super::world::LINK_BYTES_PER_SECOND as f64;
    let cost = cx.preset.first_token_weight * first_token.as_secs_f64()
        + cx.preset.recompute_weight * prefill.as_secs_f64()
        + cx.preset.link_weight * link;
    let plan = FetchPlan { fetches: fetches.clone(), timeout: Duration::from_secs(60) };
    let recompute = Tokens(
        (prefill.as_secs_f64() * f64::from(candidate.target.prefill_tokens_per_second)) as u32,
    );
    Placement {
        target: candidate.key,
        cost,
        wait: Duration::ZERO,
        first_token,
        recompute,
        plan,
        link_bytes,
        parts: PartPlans::default(),
        memory_used: 0.0,
    }
}

/// Hashes two numbers, so that a pseudorandom choice needs no generator state.
fn mix(a: u64, b: u64) -> u64 {
    let mut x = a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.wrapping_mul(0xd1b5_4a32_d192_ed03);
    x = (x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ (x >> 29)
}
