//! Chooses the target of a call and the stored blocks that the target imports first;
//! docs/DESIGN.md, "Placement".

mod affinity;
mod sources;

use std::time::Duration;

use cumintrail_config::{Deployment, Model, Preset, Store, Target};
use cumintrail_types::{
    Arena, BlockKey, Bytes, CallKey, DomainKey, Moment, StoreKey, TargetKey, Tokens,
};
use smallvec::SmallVec;

pub use self::affinity::AffinityPlacer;
pub(crate) use self::affinity::memory_limit;
use self::sources::Sources;
use crate::directory::Directory;
use crate::links::Links;
use crate::parts::PartPlans;
use crate::{Fetch, FetchPlan};

/// Constant part of the timeout of a fetch.
const FETCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(50);
/// The timeout of a fetch, in multiples of the time that recomputing its blocks would take.
const FETCH_TIMEOUT_FACTOR: f64 = 2.0;
/// Expected wait at a target with a call in each slot, beyond the wait that its last report
/// implies.
///
/// Reports lag, so a target with more calls is more likely to be busier than its report says.
const UNREPORTED_WAIT_AT_FULL_LOAD_SECONDS: f64 = 1.6;

/// Describes the state that a choice of target depends on.
#[derive(Debug)]
pub struct Context<'a> {
    /// The current time.
    pub now: Moment,
    /// The stores of the configuration.
    pub stores: &'a Arena<StoreKey, Store>,
    /// The deployment, which sets the tokens per prefix block.
    pub deployment: &'a Deployment,
    /// The preset in force, which sets the cost weights.
    pub preset: &'a Preset,
    /// The requested model.
    pub model: &'a Model,
    /// The blocks that are cached in engines or stored in stores, as far as this daemon knows.
    pub directory: &'a Directory,
    /// The load and the observed slowdown of the links of stores.
    pub links: &'a Links,
    /// Tokens of the prompt's leading parts that managed stores would deliver.
    pub tokens_read: Tokens,
}

/// Describes a target that could run the call.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The target's key.
    pub key: TargetKey,
    /// The target's declaration.
    pub target: &'a Target,
    /// Prompt tokens that the target still has to compute for other calls.
    pub backlog: Tokens,
    /// The expected number of calls at the target, from all daemons.
    pub calls: u32,
    /// The expected time until the target has a free slot.
    pub slot_wait: Duration,
    /// Whether this daemon may send another call to the target now.
    pub available: bool,
    /// Whether the target may import blocks: it must have loaded the weight version of the block
    /// keys.
    pub can_import: bool,
    /// The fraction of the target's memory that calls occupy.
    pub memory_used: f64,
    /// The fraction of the target's memory that one token occupies.
    pub memory_per_token: f64,
    /// The ratio of observed to expected times to first token.
    pub slowdown: f64,
    /// The delay of the most overdue first token.
    pub overdue: Duration,
    /// The cost of a call to another failure domain, in seconds; zero in the own domain and where
    /// traffic between domains has no price.
    pub crossing_seconds: f64,
}

impl Candidate<'_> {
    /// Returns the expected seconds until the target starts to compute the prompt.
    pub fn wait(&self) -> f64 {
        let backlog = f64::from(self.backlog.0) / f64::from(self.target.prefill_tokens_per_second);
        let used = f64::from(self.calls) / f64::from(self.target.slots.max(1));
        let unreported = used * UNREPORTED_WAIT_AT_FULL_LOAD_SECONDS;
        backlog.max(self.slot_wait.as_secs_f64()) + unreported
    }
}

/// Describes a call's run on one target, with its imports and estimates.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The target.
    pub target: TargetKey,
    /// The weighted cost, in seconds of time to first token.
    pub cost: f64,
    /// The expected time until the target can compute and all imports have arrived.
    pub wait: Duration,
    /// The expected time to first token.
    pub first_token: Duration,
    /// Prompt tokens that the target will compute.
    pub recompute: Tokens,
    /// The blocks to import before the prompt is computed.
    pub plan: FetchPlan,
    /// Bytes that the imports transfer over links.
    pub link_bytes: Bytes,
    /// The parts to read from and save to managed stores.
    pub parts: PartPlans,
    /// The fraction of the target's memory that calls occupy, this one included.
    pub memory_used: f64,
}

/// Describes the call to place.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The call.
    pub call: CallKey,
    /// Keys of the prompt's full prefix blocks or of its parts, in order.
    pub blocks: &'a [BlockKey],
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The length of the parts that the prompt may share with others.
    pub shared: Tokens,
    /// Expected tokens of the call's prompt and output in the engine's KV cache.
    pub kv_tokens: Tokens,
    /// The route's objective for the time to first token, if the route sets one.
    pub objective: Option<Duration>,
    /// The location of the longest shared part that a managed store delivers or will store.
    pub part_location: Option<PartLocation>,
}

/// Describes where the longest shared part of a prompt is stored.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PartLocation {
    /// The failure domain of the store.
    pub domain: DomainKey,
    /// Seconds that the transfer of the part occupies the store's link within that domain.
    pub transfer_seconds: f64,
}

/// Chooses where a call runs.
///
/// A trait, so that other policies can be measured with the same control state.
pub trait Placer {
    /// Chooses a target and the blocks to import; `None` if the call should wait.
    fn place(
        &self,
        cx: &Context<'_>,
        request: &Request<'_>,
        candidates: &[Candidate<'_>],
    ) -> Option<Placement>;

    /// Returns the delay after which the caller should retry, if the call should be refused because
    /// dispatching it now would delay other calls too much.
    fn retry_after(&self, _request: &Request<'_>, _placement: &Placement) -> Option<Duration> {
        None
    }

    /// Returns whether calls of client accounts at their fair share wait in this daemon for a busy
    /// target, rather than in the target's queue.
    fn queues_at_daemon(&self) -> bool {
        true
    }
}

/// Chooses the target and the number of imported blocks with the lowest weighted cost.
#[derive(Debug, Clone, Copy, Default)]
pub struct CheapestPlacer;

impl Placer for CheapestPlacer {
    fn place(
        &self,
        cx: &Context<'_>,
        request: &Request<'_>,
        candidates: &[Candidate<'_>],
    ) -> Option<Placement> {
        let sources = Sources::new(cx, request.blocks);
        let groups = groups(cx, request, candidates);
        let options = groups.iter().map(|group| (group, sources.cheapest(cx, request, group)));
        let best = options.min_by(|(a, x), (b, y)| {
            let by_cost = x.cost.total_cmp(&y.cost);
            by_cost.then(a.candidate.key.cmp(&b.candidate.key))
        });
        best.map(|(group, option)| sources.placement(cx, request, group, &option))
    }
}

/// Represents all targets with the same number of cached leading blocks, prefill rate, cost of
/// crossing and `can_import`.
///
/// The target with the shortest wait is the best of them for any number of imported blocks.
#[derive(Debug, Clone, Copy)]
struct Group<'a> {
    cached: usize,
    candidate: Candidate<'a>,
    wait: f64,
}

fn groups<'a>(
    cx: &Context<'_>,
    request: &Request<'_>,
    candidates: &[Candidate<'a>],
) -> SmallVec<[Group<'a>; 16]> {
    let cached = cx.directory.cached_prefixes(request.blocks);
    let mut groups: SmallVec<[Group<'a>; 16]> = SmallVec::new();
    for candidate in candidates.iter().filter(|c| c.available) {
        let found = cached.binary_search_by_key(&candidate.key, |(target, _)| *target);
        let cached = found.map_or(0, |at| cached[at].1);
        let new = Group { cached, candidate: *candidate, wait: candidate.wait() };
        match groups.iter_mut().find(|g| g.is_equivalent(&new)) {
            Some(group) if (new.wait, candidate.key) < (group.wait, group.candidate.key) => {
                *group = new;
            }
            Some(_) => {}
            None => groups.push(new),
        }
    }
    groups
}

impl Group<'_> {
    fn is_equivalent(&self, other: &Self) -> bool {
        let is_outside = |group: &Self| group.candidate.crossing_seconds > 0.0;
        let speed = |group: &Self| group.candidate.target.prefill_tokens_per_second;
        self.cached == other.cached
            && is_outside(self) == is_outside(other)
            && speed(self) == speed(other)
            && self.candidate.can_import == other.candidate.can_import
    }
}

/// Estimates the cost of importing some blocks to one target and computing the rest there.
#[derive(Debug, Clone, Copy)]
struct CostEstimate {
    cost: f64,
    /// Seconds until the target can compute and all imports have arrived.
    start: f64,
    first_token: f64,
}

impl CostEstimate {
    fn new(preset: &Preset, wait: f64, transfer: f64, prefill: f64, link: f64) -> Self {
        let start = wait.max(transfer);
        let first_token = start + prefill;
        let cost = preset.first_token_weight * first_token
            + preset.recompute_weight * prefill
            + preset.link_weight * link;
        Self { cost, start, first_token }
    }
}

/// Returns the timeout of a fetch that saves `saved` seconds of computing, after a wait of `wait`
/// seconds for the target.
fn fetch_timeout(wait: f64, saved: f64) -> Duration {
    Duration::from_secs_f64(wait + saved * FETCH_TIMEOUT_FACTOR) + FETCH_TIMEOUT_MARGIN
}

fn fetch_plan(fetches: SmallVec<[Fetch; 4]>, wait: f64, saved: f64) -> FetchPlan {
    FetchPlan { fetches, timeout: fetch_timeout(wait, saved) }
}
