//! Where a call runs and which kept blocks it imports first; docs/DESIGN.md, "Placement".

use std::time::Duration;

use cumintrail_config::{Deployment, Model, Preset, Store, Target};
use cumintrail_types::{Arena, BlockKey, Bytes, CallKey, StoreKey, TargetKey, Tokens};
use smallvec::SmallVec;

use crate::directory::{Directory, Kept};
use crate::links::Links;
use crate::{Fetch, FetchPlan};

const FETCH_MARGIN: Duration = Duration::from_millis(50);

/// Holds what a choice of target looks at.
#[derive(Debug)]
pub struct Context<'a> {
    /// The stores of the configuration.
    pub stores: &'a Arena<StoreKey, Store>,
    /// Piece length and text density.
    pub deployment: &'a Deployment,
    /// The weights of the preset in force.
    pub preset: &'a Preset,
    /// The model that is asked for.
    pub model: &'a Model,
    /// Where blocks probably are.
    pub directory: &'a Directory,
    /// How busy the links are.
    pub links: &'a Links,
}

/// Describes a target that could run the call now.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its key.
    pub key: TargetKey,
    /// Its declaration.
    pub target: &'a Target,
    /// Prompt tokens that it still has to compute for other calls.
    pub backlog: Tokens,
    /// Calls that it probably has.
    pub calls: u32,
    /// Whether this daemon may send it another call now.
    pub free: bool,
    /// Whether blocks may be imported, which needs the version that the keys are for.
    pub importable: bool,
}

/// Holds the estimate for one target and number of pieces.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The target.
    pub target: TargetKey,
    /// The weighted cost, in seconds of time to first token.
    pub cost: f64,
    /// The expected time to first token.
    pub first_token: Duration,
    /// Prompt tokens that the target will compute.
    pub recompute: Tokens,
    /// What to import first.
    pub plan: FetchPlan,
    /// The bytes that the imports take from links.
    pub link_bytes: Bytes,
}

/// Describes the call that is placed.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The call.
    pub call: CallKey,
    /// The block keys of the prompt's full pieces, in order.
    pub pieces: &'a [BlockKey],
    /// The length of the prompt.
    pub prompt: Tokens,
}

/// Chooses where a call runs, so that other policies can be measured in the same control state.
pub trait Placer {
    /// Chooses a target and what to import; nothing if the call should wait.
    fn place(
        &self,
        cx: &Context<'_>,
        request: &Request<'_>,
        candidates: &[Candidate<'_>],
    ) -> Option<Placement>;
}

/// Chooses the target and number of pieces with the lowest weighted cost.
#[derive(Debug, Clone, Copy, Default)]
pub struct CheapestPlacer;

impl Placer for CheapestPlacer {
    fn place(
        &self,
        cx: &Context<'_>,
        request: &Request<'_>,
        candidates: &[Candidate<'_>],
    ) -> Option<Placement> {
        let free = candidates.iter().filter(|c| c.free);
        let best = free.map(|c| best_on(cx, request.pieces, request.prompt, *c));
        best.min_by(|a, b| a.cost.total_cmp(&b.cost).then(a.target.cmp(&b.target)))
    }
}

/// Chooses the number of pieces to import for one target.
fn best_on(
    cx: &Context<'_>,
    pieces: &[BlockKey],
    prompt: Tokens,
    candidate: Candidate<'_>,
) -> Placement {
    let held = cx.directory.held_prefix(candidate.key, pieces);
    let mut fetches: SmallVec<[Kept; 4]> = SmallVec::new();
    let mut best = estimate(cx, prompt, candidate, held, &fetches);
    if !candidate.importable {
        return best;
    }
    for key in &pieces[held..] {
        let Some(kept) = cx.directory.kept(*key).first() else {
            break;
        };
        fetches.push(*kept);
        let next = estimate(cx, prompt, candidate, held, &fetches);
        if next.cost < best.cost {
            best = next;
        }
    }
    best
}

/// Estimates one target with `held` pieces in memory and `fetches` imported.
pub fn estimate(
    cx: &Context<'_>,
    prompt: Tokens,
    candidate: Candidate<'_>,
    held: usize,
    fetches: &[Kept],
) -> Placement {
    let piece = cx.deployment.piece.0;
    let obtained = Tokens((held + fetches.len()) as u32 * piece);
    let recompute = prompt.saturating_sub(obtained);
    let speed = f64::from(candidate.target.prefill_per_second);
    let wait = f64::from(candidate.backlog.0) / speed;
    let prefill = f64::from(recompute.0) / speed;
    let link_bytes: Bytes = fetches.iter().map(|k| k.sealed.length).sum();
    let transfer = transfer_time(cx, fetches).as_secs_f64();
    let first_token = wait.max(transfer) + prefill;

    let saved = f64::from(fetches.len() as u32 * piece) / speed;
    let preset = cx.preset;
    let cost = preset.first_token_weight * first_token
        + preset.recompute_weight * prefill
        + preset.link_weight * transfer;
    let fetches = fetches.iter().map(|k| Fetch { store: k.store, sealed: k.sealed }).collect();
    Placement {
        target: candidate.key,
        cost,
        first_token: Duration::from_secs_f64(first_token),
        recompute,
        plan: FetchPlan {
            fetches,
            within: Duration::from_secs_f64(wait.max(saved)) + FETCH_MARGIN,
        },
        link_bytes,
    }
}

/// Estimates the time until the slowest store has delivered its part.
fn transfer_time(cx: &Context<'_>, fetches: &[Kept]) -> Duration {
    let mut by_store: SmallVec<[(StoreKey, Bytes); 2]> = SmallVec::new();
    for kept in fetches {
        match by_store.iter_mut().find(|(store, _)| *store == kept.store) {
            Some((_, bytes)) => *bytes += kept.sealed.length,
            None => by_store.push((kept.store, kept.sealed.length)),
        }
    }
    let times = by_store.iter().map(|(key, bytes)| {
        let declared = cx.stores.get(*key).map_or(Bytes(1), |s| s.link_per_second);
        cx.links.estimate(*key, *bytes, declared)
    });
    times.max().unwrap_or_default()
}
